"""Verdicts on content that crashes upstreams, shared between schedulers."""

from dataclasses import dataclass
from enum import Enum

from .ids import Fingerprint


class PoisonState(Enum):
    """What is known of a fingerprint that was in flight when an upstream crashed."""

    SUSPECT = "suspect"
    CLEARED = "cleared"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class PoisonVerdict:
    """One scheduler's finding about a fingerprint, for its peers.

    ``crashes`` counts the crashes in which the content was in flight; a peer keeps the
    higher count.
    """

    fingerprint: Fingerprint
    state: PoisonState
    crashes: int
