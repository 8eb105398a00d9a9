"""The entry: accepts callers' requests and sees them through to their final answers."""
