"""Upstreams: their states, and the adapters that talk to them."""
