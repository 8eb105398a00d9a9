"""Adapter for the users' platform: its names, formats and calls, decoded into the package's types.

The adapter makes no decisions, and no other module names a header, field or path of the platform.
"""
