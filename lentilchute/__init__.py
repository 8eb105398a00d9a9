"""Lentilchute, a request scheduler for heterogeneous engines.

The package is a library with thin daemons: decision modules do no I/O and receive the time and a
seeded random source as arguments, and network modules call them.
"""

__version__ = "0.1.0"
