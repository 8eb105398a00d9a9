"""Queueing and placement of the requests of a shard."""
