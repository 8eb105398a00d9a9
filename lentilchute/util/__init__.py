"""Pure helpers without I/O that several modules share."""
