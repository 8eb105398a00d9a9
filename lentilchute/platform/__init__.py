"""The users' platform: its names, formats and calls, decoded once into the package's own types.

Nothing here decides anything, and no other module names a header, a field or a path of the
platform.
"""
