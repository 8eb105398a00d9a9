"""Membership of nodes and the messages between them."""
