"""Small programs that take the place of the platform, an engine and a plain service."""
