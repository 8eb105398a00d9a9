"""Simulation of the scheduler in virtual time against fake engines.

Run it with ``python -m lentilchute.measure``. The scheduling code is the code used in production;
callers, entries, engines, the network and the platform's listing are simulated.
"""
