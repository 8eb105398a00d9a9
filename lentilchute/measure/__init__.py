"""Simulation of the scheduler in virtual time against fake engines.

Run it with ``python -m lentilchute.measure``. The scheduling code is the code used in production;
only the callers, entries, engines and the network are simulated.
"""
