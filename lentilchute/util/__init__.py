"""Pure helpers without knowledge of the scheduler."""
