"""Settings and switches of the engine stand-in."""

from dataclasses import dataclass

from .routes import WireModel


@dataclass(frozen=True, slots=True)
class EngineStandinSettings:
    """Initial assignment, speed and capacity of the stand-in."""

    listen: str = "127.0.0.1:0"
    name: str = "engine"
    model: str = "model"
    version: str = "1"
    adapters: tuple[str, ...] = ()
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 40.0
    """Rate of each stream, independent of the batch size."""
    max_batch: int = 64
    """Maximum number of concurrent requests; others wait in arrival order."""
    cache_tokens: int = 100_000
    block_tokens: int = 64
    load_lag_s: float = 1.0
    cache_event_lag_s: float = 0.5
    load_model_s: float = 5.0
    checks_fencing: bool = True
    kept_stream_s: float = 60.0
    """How long a finished stream can still be resumed."""
    seed: int = 0


class EngineControl(WireModel):
    """Switches; a control request replaces the ones that it contains."""

    slow_factor: float = 1.0
    frozen: bool = False
    """No request is answered and no work progresses."""
    leaving: bool = False
    cut_after_events: int = 0
    """Each stream connection is cut after this many events; 0 means never."""
    cut_streams: bool = False
    """Cuts all current streams once; they can be resumed."""
    crash: bool = False
    """Resets all connections once and discards all requests and the cache."""
    down_s: float = 0.5
    """How long connections are refused after a crash."""
    poison_marker: str = ""
    """A prompt that contains this text crashes the engine when it starts running."""
    crossed_answers: bool = False
    """Each answer carries the id and the text of the preceding request."""
    cache_event_gap_share: float = 0.0
