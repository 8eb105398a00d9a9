"""The platform's headers in callers' requests and upstreams' answers."""

import xxhash

from ..http import messages as http_messages
from ..http.messages import (
    HOP_BY_HOP_HEADERS,
    Headers,
    header_value,
    without_headers,
)
from ..ids import ClientAccountId, PromptPartId, StreamId, UpstreamId
from ..util.lean_dataclasses import dataclass

# Names of the platform's headers, in lower case.
ATTEMPT_ID = "lentilchute-attempt-id"
DEADLINE_MS = "lentilchute-deadline-ms"
KEY = "lentilchute-key"
ACCOUNT = "lentilchute-tenant-name"
EXPECTED_UPSTREAM = "lentilchute-expect-instance"
UPSTREAM_ID = "lentilchute-instance-id"
TOKENS = "lentilchute-token-counts"
LENGTH_HINT = "lentilchute-length-hint"
PROMPT_PARTS = "lentilchute-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
STAMP = "lentilchute-engine-stamp"
NOT_EXECUTED = "lentilchute-not-executed"
LEAVING = "server-leaving"
REQUEST_LIMIT = "server-limit"
BRITTLE_LIMIT = "server-brittle"
ENGINE_LOAD = "lentilchute-engine-load"

MAX_STATED_COUNT = 100_000
MAX_SLOWDOWN = 1_000.0
"""Larger figures are not believed."""
MAX_CALL_TOKENS = 1_000_000_000
"""Far beyond the memory of any upstream; messages between nodes hold no counts over 2^31."""
MAX_PART_TOKENS = 10_000_000
MAX_PROMPT_PARTS = 64
"""Parts beyond these of a prompt are ignored; prompts have a few."""
MAX_ID_CHARACTERS = 128
"""A longer id of a part or a stream goes by its digest: ids are kept, and told to other nodes."""

_STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "expect",
    "kv-fetch",
    "kv-from",
    "lentilchute-cache-hold",
    "lentilchute-kv-backup",
    "lentilchute-pin-ms",
    ACCOUNT,
    DEADLINE_MS,
    EXPECTED_UPSTREAM,
    KEY,
}
"""Hop-by-hop headers, the caller's key, and headers that only the gateway may set."""


_HEX_DIGITS = frozenset("0123456789abcdef")


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other prompts may have as well."""

    part: PromptPartId
    tokens: int


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Decoded headers of a caller's request."""

    attempt_id: str
    remaining_time_s: float | None
    """How long the caller waits, measured from the arrival of the request."""
    account_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    has_token_counts: bool
    expected_output_tokens: int | None
    """The caller's estimate; correct in the median, but often far off."""
    resume_after: int | None
    """The caller already has the events up to this id."""
    resumed_stream: StreamId | None
    """The stream that the caller takes up, if it names it."""
    shared_prompt_parts: tuple[PromptPartId, ...]
    """The parts of the prompt that other requests may have as well, in order: all but the last."""
    prompt_parts: tuple[PromptPart, ...] = ()
    """All parts of the prompt, in order, as far as their sizes are stated."""

    @property
    def begun_stream(self) -> StreamId:
        """The name of the stream that the answer may be, for those who take it up."""
        return StreamId(_short_id(self.attempt_id))

    @property
    def size(self) -> float:
        """What the request is worth relative to others of its kind: an output token counts for
        ten of the prompt."""
        return self.prompt_tokens + 10.0 * self.max_output_tokens


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """What an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None
    """How long work takes there at the moment, relative to what is usual there; ``None`` if it
    does not say."""


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """Decoded headers of an upstream's answer."""

    attempt_id: str | None
    is_signed: bool
    """The answer carries the upstream's signature, as does every answer to an executed request."""
    is_not_executed: bool
    """The upstream declares that it did not execute the request."""
    has_encoding: bool
    """The body was altered on the way: callers do not request a content encoding."""
    is_leaving: bool
    """The upstream announces that it is leaving."""
    retry_after_s: float | None
    """How long the upstream wants no requests from this node, if its status is 503."""
    limit_per_s: float | None
    """Requests a second that the upstream takes at present, from all nodes together."""
    brittle_limit: int | None
    """The upstream falls over when it has to turn away more requests than this in a second."""
    load: StatedLoad | None = None

    def belongs_to(self, attempt_id: str, *, must_name: bool) -> bool:
        """Return whether this is the answer to a request, as far as its headers tell.

        ``must_name`` requires that it names the request, since another answer may arrive in its
        place.
        """
        if self.attempt_id is None:
            return not must_name
        return self.attempt_id == attempt_id


def decode_call(headers: Headers) -> CallHeaders:
    """Decode a caller's headers; malformed values are treated as absent."""
    counts = _integers(header_value(headers, TOKENS), 2)
    prompt_tokens, output_tokens = counts or (0, 0)
    deadline_ms = _decimal(header_value(headers, DEADLINE_MS))
    parts = _prompt_parts(header_value(headers, PROMPT_PARTS))
    return CallHeaders(
        attempt_id=header_value(headers, ATTEMPT_ID) or "",
        remaining_time_s=None if deadline_ms is None else deadline_ms / 1000,
        account_key=header_value(headers, KEY),
        prompt_tokens=min(prompt_tokens, MAX_CALL_TOKENS),
        max_output_tokens=min(output_tokens, MAX_CALL_TOKENS),
        has_token_counts=counts is not None,
        expected_output_tokens=_integer(header_value(headers, LENGTH_HINT)),
        resume_after=_integer(header_value(headers, LAST_EVENT_ID)),
        resumed_stream=_stream_id(header_value(headers, RESUMES)),
        shared_prompt_parts=tuple(part.part for part in parts[:-1]),
        prompt_parts=parts if all(part.tokens > 0 for part in parts) else (),
    )


def upstream_headers(
    headers: Headers,
    *,
    upstream: UpstreamId,
    account: ClientAccountId | None,
    remaining_time_s: float,
    resume_after: int | None,
) -> Headers:
    """Return the headers to send upstream in place of the caller's ``headers``.

    ``resume_after`` is the id of the last event that the caller has, if the request resumes a
    stream.
    """
    dropped = _STRIPPED_HEADERS if resume_after is None else _STRIPPED_HEADERS | {LAST_EVENT_ID}
    added = [
        (DEADLINE_MS, str(max(1, int(remaining_time_s * 1000)))),
        (EXPECTED_UPSTREAM, str(upstream)),
    ]
    if account is not None:
        added.append((ACCOUNT, str(account)))
    if resume_after is not None:
        added.append((LAST_EVENT_ID, str(resume_after)))
    return (*without_headers(headers, dropped), *added)


def decode_answer(headers: Headers) -> AnswerHeaders:
    """Decode the headers of an upstream's answer."""
    encoding = header_value(headers, "content-encoding")
    return AnswerHeaders(
        attempt_id=header_value(headers, ATTEMPT_ID),
        is_signed=header_value(headers, STAMP) is not None,
        is_not_executed=header_value(headers, NOT_EXECUTED) is not None,
        has_encoding=encoding is not None and encoding.strip().lower() != "identity",
        is_leaving=header_value(headers, LEAVING) == "1",
        retry_after_s=_decimal(header_value(headers, http_messages.RETRY_AFTER_HEADER)),
        limit_per_s=_decimal(header_value(headers, REQUEST_LIMIT)),
        brittle_limit=_integer(header_value(headers, BRITTLE_LIMIT)),
        load=_stated_load(header_value(headers, ENGINE_LOAD)),
    )


def _stated_load(text: str | None) -> StatedLoad | None:
    """Decode a load such as ``3,0,8`` or ``3,0,8,140``, whose last figure is in hundredths."""
    counts = _integers(text, 4) or _integers(text, 3)
    if counts is None or not 0 < counts[2] <= MAX_STATED_COUNT:
        return None
    running, waiting, slots = (min(count, MAX_STATED_COUNT) for count in counts[:3])
    slowdown = None
    if len(counts) == 4 and 0 < counts[3] <= 100 * MAX_SLOWDOWN:
        slowdown = counts[3] / 100
    return StatedLoad(running, waiting, slots, slowdown)


def _stream_id(text: str | None) -> StreamId | None:
    return StreamId(_short_id(text.strip())) if text and text.strip() else None


def _short_id(text: str) -> str:
    if len(text) <= MAX_ID_CHARACTERS:
        return text
    return xxhash.xxh3_128_hexdigest(text.encode("utf-8"))


def _prompt_parts(text: str | None) -> tuple[PromptPart, ...]:
    """Return the parts in a list such as ``5c1e07a2:800,91bd3f06:410``.

    A part without a proper size has 0 tokens.
    """
    items = (text or "").split(",", MAX_PROMPT_PARTS)[:MAX_PROMPT_PARTS]
    pairs = [item.strip().partition(":")[::2] for item in items]
    are_valid = all(part and set(part.lower()) <= _HEX_DIGITS for part, _ in pairs)
    if not are_valid:
        return ()
    return tuple(
        PromptPart(
            PromptPartId(_short_id(part.lower())), min(_integer(tokens) or 0, MAX_PART_TOKENS)
        )
        for part, tokens in pairs
    )


def _integers(text: str | None, count: int) -> list[int] | None:
    values = [_integer(item.strip()) for item in (text or "").split(",")]
    found = [value for value in values if value is not None]
    return found if len(found) == len(values) == count else None


def _integer(text: str | None) -> int | None:
    is_number = text is not None and text.isascii() and text.isdecimal() and len(text) <= 15
    return int(text) if is_number and text is not None else None


def _decimal(text: str | None) -> float | None:
    whole, _, fraction = (text or "").strip().partition(".")
    if not (whole + fraction).isascii() or not (whole + fraction).isdecimal() or len(whole) > 12:
        return None
    return float(f"{whole or 0}.{fraction or 0}")
