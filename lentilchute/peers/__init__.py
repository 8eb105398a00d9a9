"""Other nodes: who is alive, and the messages between nodes."""
