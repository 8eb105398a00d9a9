"""Stand-in for the platform's store: versioned rows, a change feed, and faults on demand."""

import base64
import json
from collections.abc import Callable, Iterable
from copy import deepcopy
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from ..http.messages import JSON_HEADER
from ..http.requests import HttpRequest, HttpServerSettings
from ..http.responder import Responder
from ..http.server import HttpServer
from ..platform import store as names


class StoreFaultMode(Enum):
    """Fault that the stand-in applies to each call."""

    NONE = "none"
    BUSY = "busy"
    """Status 503, without effect."""
    SILENT = "silent"
    """No answer, and no effect."""
    LOSE_ANSWERS = "lose-answers"
    """Calls take effect, but are never answered."""


@dataclass(slots=True)
class _Row:
    value: str | None
    version: int


@dataclass(slots=True)
class StoreState:
    """The rows of all tables; tests read and write them directly."""

    version: int = 0
    compacted_version: int = 0
    """A feed request that starts before this version is answered with status 410."""
    tables: dict[str, dict[str, _Row]] = field(default_factory=dict)
    era: int = 1
    """Rises by one with each restore."""
    clock_s: Callable[[], float] = field(default=lambda: 0.0)
    """The clock that answers name."""

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Set a row, or delete it with ``None``, and return the store's new version."""
        return self.put_together([(table, key, value)])

    def put_together(self, values: Iterable[tuple[str, str, bytes | None]]) -> int:
        """Set or delete rows in one transaction, which gives them all the same version."""
        self.version += 1
        for table, key, value in values:
            encoded = None if value is None else base64.b64encode(value).decode("ascii")
            self.tables.setdefault(table, {})[key] = _Row(encoded, self.version)
        return self.version

    def value(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or ``None`` if it does not exist."""
        row = self.tables.get(table, {}).get(key)
        return None if row is None or row.value is None else base64.b64decode(row.value)

    def copy(self) -> "StoreState":
        """Return a copy to restore the store from later."""
        return deepcopy(self)

    def restore(self, earlier: "StoreState") -> None:
        """Go back to an earlier copy: what was written since is lost, and its versions are given
        out again."""
        self.version = earlier.version
        self.compacted_version = earlier.compacted_version
        self.tables = deepcopy(earlier.tables)
        self.era += 1

    def compact(self) -> None:
        """Drop all changes up to now from the change feed."""
        self.compacted_version = self.version

    def rows(self, table: str, after: int, *, with_removed: bool) -> list[dict[str, Any]]:
        """Return the rows of a table that changed after a version, ordered by version."""
        found = self.tables.get(table, {})
        return [
            _row_body(table, key, row)
            for key, row in sorted(found.items(), key=lambda item: (item[1].version, item[0]))
            if row.version > after and (with_removed or row.value is not None)
        ]

    def current_version(self, table: str, key: str) -> int:
        """Return a row's version, or 0 if it does not exist."""
        row = self.tables.get(table, {}).get(key)
        return 0 if row is None or row.value is None else row.version


class StoreStandin:
    """Serves a ``StoreState`` over HTTP."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = StoreFaultMode.NONE
        self.calls = 0
        self.server = HttpServer(HttpServerSettings(), self._handle)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls += 1
        if self.mode is StoreFaultMode.BUSY:
            await responder.answer(503, ((names.ERA, str(self.state.era)),), b"")
            return
        if self.mode is StoreFaultMode.SILENT:
            await trio.sleep_forever()
        status, body = self._perform(request)
        era = str(self.state.era)
        if self.mode is StoreFaultMode.LOSE_ANSWERS:
            await trio.sleep_forever()
        headers = (JSON_HEADER, (names.ERA, era))
        await responder.answer(status, headers, json.dumps(body).encode())

    def _perform(self, request: HttpRequest) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == names.ROWS_GET_PATH:
            page = self._page(
                stored_name(query["table"], query.get("part", "")), -1, with_removed=False
            )
            in_range = [row for row in page["rows"] if _is_in_range(row["key"], query)]
            return 200, {**page, "rows": in_range}
        if url.path == names.ROWS_FEED_PATH:
            after = int(query["start-after"])
            if after < self.state.compacted_version or after > self.state.version:
                return 410, {}
            return 200, self._page(query["table"], after, with_removed=True)
        if url.path == names.ROWS_TX_PATH:
            return self._transact(json.loads(request.body))
        return 404, {}

    def _page(self, table: str, after: int, *, with_removed: bool) -> dict[str, Any]:
        rows = self.state.rows(table, after, with_removed=with_removed)
        return {
            "rows": rows,
            "truncated": False,
            "ver": self.state.version,
            "now-ms": self._now_ms(),
        }

    def _now_ms(self) -> int:
        return round(self.state.clock_s() * 1000)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        state = self.state
        for row in body["expected-rev"]:
            if state.current_version(_stored_table(row), row["key"]) != row["ver"]:
                return 412, {"rows": []}
        values = [(row, base64.b64decode(row["value"])) for row in body["set-keys"]]
        state.put_together(
            [(_stored_table(row), row["key"], value) for row, value in values]
            + [(_stored_table(row), row["key"], None) for row in body["remove"]]
        )
        return 200, {"ver": state.version, "now-ms": self._now_ms()}


def stored_name(table: str, part: str) -> str:
    """Return the name under which ``StoreState`` keeps a part of a table."""
    return f"{table}/{part}" if part else table


def _stored_table(row: dict[str, Any]) -> str:
    return stored_name(row["table"], row["part"])


def _is_in_range(key: str, query: dict[str, str]) -> bool:
    return query.get("from", "") <= key and ("to" not in query or key < query["to"])


def _row_body(table: str, key: str, row: _Row) -> dict[str, Any]:
    name, _, part = table.partition("/")
    body = {"table": name, "part": part, "key": key, "ver": row.version}
    if row.value is None:
        return {**body, "tombstone": True}
    return {**body, "value": row.value}
