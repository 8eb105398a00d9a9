"""Measurement of the scheduler's decisions in virtual time against fake engines.

Started as ``python -m lentilchute.measure``; the decision code is the package's own.
"""
