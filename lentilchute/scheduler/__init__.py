"""Order and placement of the waiting requests of one shard."""
