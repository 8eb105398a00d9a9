"""The operators' interface of a node."""
