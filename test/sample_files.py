"""A minimal valid service document and node settings, as texts that tests modify."""

DOCUMENT = f"""\
service: drafts
upstreams:
  - kind: engine
    selector: drafters
tiers:
  - name: top
  - name: bulk
client_accounts:
  - name: sfax
    key_sha256: {"ab" * 32}
"""

SETTINGS = """\
instance: entry-1
availability_zone: tunis-a
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {table: "127.0.0.1:4", objects: "127.0.0.1:5", instances: "127.0.0.1:6"}
shared_key: 0123456789abcdef
entry:
  max_connections: 7
"""
