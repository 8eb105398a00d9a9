"""The gateway: a node that forwards HTTP requests on configured routes to upstreams."""
