"""A simulated request and its result."""

from dataclasses import dataclass, field
from enum import Enum

from ..ids import BlockHash


class JobState(Enum):
    """State of a request; all but the first three are final."""

    NEW = "new"
    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    """The caller abandoned the request at its deadline."""
    ENGINE_CRASHED = "engine crashed"
    """The engine crashed while the request was queued or running there."""
    LOST = "lost"
    """The entry that held the request was killed."""


OPEN_STATES = frozenset({JobState.NEW, JobState.WAITING, JobState.RUNNING})


@dataclass(eq=False, slots=True)
class Job:
    """A caller's request and its progress. Times are virtual seconds."""

    number: int
    tier: int
    account: int
    arrival_s: float
    deadline_s: float
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int
    blocks: tuple[BlockHash, ...]
    origin: int = -1
    """Number of the job of the caller's first try."""
    is_poison: bool = False
    entry: int = 0
    tries: int = 1
    state: JobState = JobState.NEW
    engine: int | None = None
    engine_class: str = ""
    started_s: float | None = None
    first_token_s: float | None = None
    ended_s: float | None = None
    prefilled_tokens: float = 0.0
    repeated_tokens: int = 0
    """Prompt tokens that were prefilled although another engine had them cached."""
    cached_tokens: int = 0
    """Prompt tokens found in the cache of the request's engine."""
    ran_on: list[int] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether the request is not in a final state."""
        return self.state in OPEN_STATES

    @property
    def is_useful(self) -> bool:
        """Whether the caller received the complete answer by the deadline."""
        return (
            self.state is JobState.DONE
            and self.ended_s is not None
            and self.ended_s <= self.deadline_s
        )

    @property
    def token_gap_s(self) -> float:
        """Mean time between the answer's tokens."""
        if self.first_token_s is None or self.ended_s is None or self.output_tokens < 2:
            return 0.0
        return (self.ended_s - self.first_token_s) / (self.output_tokens - 1)
