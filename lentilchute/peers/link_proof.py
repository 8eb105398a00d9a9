"""Proof that an open connection between nodes still carries what is sent; free of I/O.

A connection may go silent without a reset, and what a node sends seldom fills the socket's buffer,
so that no write ever fails. The receiving side therefore confirms, on the same connection, that
bytes arrive; the sending side sends an empty frame where it has nothing else to send, and gives up
a connection on which a confirmation is overdue.

Messages are confirmed together: the receiver waits ``CONFIRM_INTERVAL_S`` between confirmations,
and the sender counts on one only for what it sends longer than that after the last::

    proof = LinkProof(now_s)
    proof.record_sent(now_s)
    proof.record_confirmed(now_s + 0.001)
    proof.is_silent(now_s + 10.0)      # False: nothing has been sent since
"""

CONFIRM_INTERVAL_S = 0.5
"""Time between two confirmations of one connection."""
CONFIRM_TIMEOUT_S = 1.5
"""A confirmation that takes longer is overdue. Lost packets delay it by less."""
MAX_CHECK_GAP_S = 1.0
"""After a longer pause of this process, confirmations may wait to be read."""


class LinkProof:
    """What the sending side of one connection knows of it."""

    def __init__(self, now_s: float) -> None:
        self._confirmed_s = now_s
        self._expected_since_s: float | None = None
        """Since when a confirmation is due, or ``None`` if nothing that was sent asks for one."""
        self._checked_s = now_s

    def record_sent(self, now_s: float) -> None:
        """Record that bytes were handed to the connection."""
        if self._expected_since_s is None and self._asks_for_confirmation(now_s):
            self._expected_since_s = now_s

    def record_confirmed(self, now_s: float) -> None:
        """Record a confirmation."""
        self._confirmed_s = now_s
        self._expected_since_s = None

    def needs_probe(self, now_s: float) -> bool:
        """Return whether something should be sent for the sake of a confirmation."""
        return self._expected_since_s is None and self._asks_for_confirmation(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether a confirmation is overdue. To be called every ``MAX_CHECK_GAP_S`` or more
        often."""
        gap_s, self._checked_s = now_s - self._checked_s, now_s
        if self._expected_since_s is None:
            return False
        if gap_s > MAX_CHECK_GAP_S:
            self._expected_since_s = now_s
        return now_s - self._expected_since_s > CONFIRM_TIMEOUT_S

    def unconfirmed_s(self, now_s: float) -> float:
        """Return the time since the last confirmation."""
        return now_s - self._confirmed_s

    def _asks_for_confirmation(self, now_s: float) -> bool:
        return now_s - self._confirmed_s >= CONFIRM_INTERVAL_S


class ConfirmationPace:
    """Decides when the receiving side confirms; free of I/O."""

    def __init__(self) -> None:
        self._last_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether bytes that arrived now are to be confirmed at once, and count it so."""
        if now_s - self._last_s < CONFIRM_INTERVAL_S:
            return False
        self._last_s = now_s
        return True
