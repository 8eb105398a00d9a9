"""Stand-ins (simulators) for the platform, an engine and a plain service."""
