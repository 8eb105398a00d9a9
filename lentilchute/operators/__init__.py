"""HTTP interface of a node for operators: server, client and message models."""
