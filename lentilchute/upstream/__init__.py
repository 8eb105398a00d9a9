"""Upstreams: which of them take new work, and the adapters that call them."""
