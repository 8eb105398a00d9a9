"""Stand-in for the platform's metadata store: rows, their changes, transactions, and a restore.

A restore puts back an earlier copy: later rows are lost, versions go back and are given out again,
and ``Store-Era`` rises by one in all answers. Without ``names_era`` there is no such header.
"""

import asyncio
import base64
import copy
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http1 import Answer, Request

Key = tuple[str, str, str]
"""Table, part and key of a row."""
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


@dataclass
class Rows:
    """What a restore puts back."""

    version: int = 0
    values: dict[Key, tuple[bytes, int]] = field(default_factory=dict)
    gone: dict[Key, int] = field(default_factory=dict)


class Store:
    """The rows and the calls that nodes make; ``put`` and ``drop`` are for operator and engines."""

    def __init__(self, *, first_era: int | None = None) -> None:
        self.rows = Rows()
        self.era = first_era
        self.is_away = False
        """Answers 503 while the store is away."""
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: dict[str, Any], part: str = "") -> int:
        """Write a row and return the version."""
        self.rows.version += 1
        self._set((table, part, key), json.dumps(value).encode())
        return self._wake()

    def drop(self, table: str, key: str) -> int:
        """Remove a row and return the version."""
        self.rows.version += 1
        self._remove((table, "", key))
        return self._wake()

    def copy(self) -> Rows:
        """Return a copy to restore later."""
        return copy.deepcopy(self.rows)

    def restore(self, rows: Rows) -> None:
        """Come back from a copy."""
        self.rows = copy.deepcopy(rows)
        if self.era is not None:
            self.era += 1
        self._wake()

    def count(self, table: str) -> int:
        """Return how many rows a table has."""
        return sum(key[0] == table for key in self.rows.values)

    def _set(self, key: Key, value: bytes) -> None:
        self.rows.values[key] = value, self.rows.version
        self.rows.gone.pop(key, None)

    def _remove(self, key: Key) -> None:
        if self.rows.values.pop(key, None) is not None:
            self.rows.gone[key] = self.rows.version

    def _wake(self) -> int:
        self._changed.set()
        self._changed = asyncio.Event()
        return self.rows.version

    async def handle(self, request: Request) -> Answer:
        """Answer one call of a node."""
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.is_away:
            return self._answer(503, {})
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/rows-get":
            return self._answer(200, self._page(query))
        if url.path == "/api/rows-feed":
            return await self._feed(query)
        if url.path == "/api/rows-tx":
            return self._transact(json.loads(request.body))
        if url.path == "/api/rows-parts":
            parts = sorted({key[1] for key in self.rows.values if key[0] == query["table"]})
            return self._answer(200, {"parts": parts})
        return self._answer(404, {})

    def _answer(self, status: int, body: dict[str, Any]) -> Answer:
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        stated = {**body, "ver": self.rows.version, "now-ms": int(time.monotonic() * 1000)}
        return Answer(status, headers, json.dumps(stated).encode())

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        place = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in sorted(key for key in self.rows.values if key[:2] == place):
            if key[2] < query.get("from", "") or ("to" in query and key[2] >= query["to"]):
                continue
            size += len(self.rows.values[key][0]) * 4 // 3
            if len(rows) == limit or (rows and size > PAGE_BYTES):
                return {"rows": rows, "truncated": True}
            rows.append(self._body(key))
        return {"rows": rows, "truncated": False}

    def _body(self, key: Key) -> dict[str, Any]:
        value, version = self.rows.values[key]
        text = base64.b64encode(value).decode()
        return {"table": key[0], "part": key[1], "key": key[2], "value": text, "ver": version}

    async def _feed(self, query: dict[str, str]) -> Answer:
        after, table = int(query["start-after"]), query["table"]
        deadline_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            if after > self.rows.version:
                return self._answer(410, {})
            found = [
                (version, self._body(key))
                for key, (_, version) in self.rows.values.items()
                if key[0] == table and version > after
            ]
            for (name, part, text), version in self.rows.gone.items():
                if name == table and version > after:
                    row = {"table": name, "part": part, "key": text, "ver": version}
                    found.append((version, {**row, "tombstone": True}))
            left_s = deadline_s - time.monotonic()
            if found or left_s <= 0:
                found.sort(key=lambda item: (item[0], item[1]["key"]))
                return self._answer(200, {"rows": [row for _, row in found]})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> Answer:
        for row in body["expected-rev"]:
            key = row["table"], row["part"], row["key"]
            if self.rows.values.get(key, (b"", 0))[1] != row["ver"]:
                return self._answer(412, {"rows": []})
        self.rows.version += 1
        for row in body["set-keys"]:
            self._set((row["table"], row["part"], row["key"]), base64.b64decode(row["value"]))
        for row in body["remove"]:
            self._remove((row["table"], row["part"], row["key"]))
        self._wake()
        return self._answer(200, {})
