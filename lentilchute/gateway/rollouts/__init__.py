"""Roll-outs: moving a service's traffic to another software version of its upstreams."""
