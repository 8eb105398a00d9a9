"""Selects the entries that a caller uses, from a listing that any known entry returns."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import trio
from pydantic import BaseModel, Field, ValidationError
from result import Err

from ..http.client import ClientRequest, HttpClient

REFRESH_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """An entry from a listing."""

    instance: str
    address: str
    availability_zone: str


class _EntryFields(BaseModel):
    instance: str
    address: Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
    availability_zone: str


class _EntriesAnswer(BaseModel):
    entries: tuple[_EntryFields, ...]
    keep_s: Annotated[float, Field(ge=0, le=3_600)]


class CallerEntries:
    """The listing of entries, cached for its lifetime; those of the caller's zone come first."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        availability_zone: str,
        rng: random.Random,
        client_for: Callable[[str], HttpClient],
    ) -> None:
        self._seeds = seeds
        self._zone = availability_zone
        self._rng = rng
        self._client_for = client_for
        self._entries: list[KnownEntry] = []
        self._valid_until_s = float("-inf")
        self._refresh_lock = trio.Lock()

    async def choose(self, unreachable: frozenset[str]) -> KnownEntry | None:
        """Return an entry whose address is not in ``unreachable``; ``None`` if there is none."""
        async with self._refresh_lock:
            if trio.current_time() >= self._valid_until_s:
                await self._refresh()
        for entry in self._entries:
            if entry.address not in unreachable:
                return entry
        return None

    def invalidate(self) -> None:
        """Invalidate the listing, so that it is fetched before the next choice."""
        self._valid_until_s = float("-inf")

    async def _refresh(self) -> None:
        known = [entry.address for entry in self._entries]
        self._entries = []
        others = [seed for seed in self._seeds if seed not in known]
        for address in known + others:
            # The lifetime counts from before the request, since the answer may be slow.
            requested_s = trio.current_time()
            answer = await self._fetch_from(address)
            if answer is not None and answer.entries:
                self._apply(answer)
                self._valid_until_s = requested_s + answer.keep_s
                return

    async def _fetch_from(self, address: str) -> _EntriesAnswer | None:
        request = ClientRequest("GET", "/entries", head_timeout_s=REFRESH_TIMEOUT_S)
        answer = await self._client_for(address).call(request)
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return None
        try:
            return _EntriesAnswer.model_validate_json(answer.ok_value.body)
        except ValidationError:
            return None

    def _apply(self, answer: _EntriesAnswer) -> None:
        entries = [
            KnownEntry(line.instance, line.address, line.availability_zone)
            for line in answer.entries
        ]
        # A random order within each zone spreads callers over the entries.
        self._rng.shuffle(entries)
        entries.sort(key=lambda entry: entry.availability_zone != self._zone)
        self._entries = entries
