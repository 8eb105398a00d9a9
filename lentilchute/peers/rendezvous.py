"""Rendezvous hashing: all nodes compute the same order of names for a key without coordination.

When a name is added or removed, only the keys for which it ranks first move::

    rendezvous_order("chute-fleet/0", ["entry-1", "entry-2", "entry-3"])
"""

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the highest weight ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the highest weight for ``key`` to the lowest."""
    return sorted(names, key=lambda name: (rendezvous_score(key, name), name), reverse=True)
