"""Settings and switches of the engine's stand-in."""

from dataclasses import dataclass

from .routes import WireModel


@dataclass(frozen=True, slots=True)
class EngineStandinSettings:
    """What the stand-in holds at its start, and how fast it is."""

    listen: str = "127.0.0.1:0"
    name: str = "engine"
    model: str = "model"
    version: str = "1"
    adapters: tuple[str, ...] = ()
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 40.0
    """Rate of each stream."""
    max_batch: int = 64
    """Requests that run at once; others wait in arrival order."""
    cache_tokens: int = 100_000
    block_tokens: int = 64
    load_lag_s: float = 1.0
    cache_event_lag_s: float = 0.5
    load_model_s: float = 5.0
    checks_fencing: bool = True
    kept_stream_s: float = 60.0
    """How long a finished stream can be resumed."""
    seed: int = 0


class EngineControl(WireModel):
    """Switches; a control request replaces those that it names."""

    slow_factor: float = 1.0
    frozen: bool = False
    """Nothing is answered and nothing makes progress."""
    leaving: bool = False
    cut_after_events: int = 0
    """Each connection of a stream is cut after so many events; 0 for never."""
    cut_streams: bool = False
    """Cuts all streams once; they can be resumed."""
    crash: bool = False
    """Resets all connections once and forgets all requests and the cache."""
    down_s: float = 0.5
    """How long connections are refused after a crash."""
    poison_marker: str = ""
    """A prompt that holds this text crashes the engine as it begins to run."""
    crossed_answers: bool = False
    """An answer carries the id and the text of the request before it."""
    cache_event_gap_share: float = 0.0
