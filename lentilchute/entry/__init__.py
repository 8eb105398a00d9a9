"""Requests at the entry that accepted them, from acceptance to the final answer."""
