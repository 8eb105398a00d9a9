"""Choice of an upstream for one ticket."""

from dataclasses import dataclass

from .ids import UpstreamId
from .tickets import Ticket
from .upstream_load import UpstreamLoad


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream with room for a ticket, and what placing it there is expected to take."""

    load: UpstreamLoad
    uncached_tokens: int
    first_token_s: float


class UpstreamPool:
    """All upstreams of one shard."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return an upstream's load, or ``None``."""
        return self._loads.get(upstream)

    def known(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return an upstream's load; one not yet added gets no new work."""
        load = self._loads.get(upstream)
        if load is None:
            load = UpstreamLoad(upstream, None)
            self._loads[upstream] = load
        return load

    def discard(self, upstream: UpstreamId) -> None:
        """Forget an upstream."""
        self._loads.pop(upstream, None)

    def all(self) -> list[UpstreamLoad]:
        """Return every upstream."""
        return list(self._loads.values())

    def has_open(self, ticket: Ticket) -> bool:
        """Tell whether any upstream may get this ticket once it has room."""
        return any(load.is_open for load in self._loads.values()) and any(
            load.is_open and load.upstream not in ticket.excluded for load in self._loads.values()
        )

    def choose(self, ticket: Ticket, reserved_shares: tuple[float, ...]) -> Choice | None:
        """Return the upstream with room that answers first, or ``None`` when none has room."""
        best: Choice | None = None
        for load in self._loads.values():
            if not load.is_open or load.upstream in ticket.excluded:
                continue
            uncached_tokens = ticket.prompt_tokens
            if not load.has_room(ticket.tier, uncached_tokens, reserved_shares):
                continue
            first_token_s = load.wait_s() + uncached_tokens / load.prefill_tokens_per_s
            choice = Choice(load, uncached_tokens, first_token_s)
            if best is None or _rank(choice) < _rank(best):
                best = choice
        return best


def _rank(choice: Choice) -> tuple[float, float]:
    load = choice.load
    return choice.first_token_s, load.streams / max(load.stream_limit, 1)
