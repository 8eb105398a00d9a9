"""Lentilchute, a request scheduler for unlike engines.

The package is a library with thin daemons: decision modules are free of I/O and take the time and
a seeded random source as arguments, and network modules drive them.
"""

__version__ = "0.1.0"
