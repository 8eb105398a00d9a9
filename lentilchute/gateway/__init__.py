"""The gateway: a node that forwards HTTP requests on declared routes to upstreams of its choice."""
