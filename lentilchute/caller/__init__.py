"""Client for callers of the entries' HTTP interface."""
