"""Client of the platform's store: tables of rows, read in full or by their changes."""

import base64
import binascii
import json
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from ..http.client import ClientRequest, HttpAnswer, HttpClient, HttpClientSettings, HttpFault
from ..http.messages import header_value
from ..util.lean_dataclasses import dataclass

ROWS_GET_PATH = "/api/rows-get"
ROWS_FEED_PATH = "/api/rows-feed"
ROWS_TX_PATH = "/api/rows-tx"
ERA = "store-era"
"""Header of all answers; rises when the store has come back from an older copy."""

CONNECT_TIMEOUT_S = 1.0
"""The platform's own callers also allow one second for a new connection."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Bounds the memory for an answer; a page of rows is at most 1 MB before encoding."""
IDLE_TIMEOUT_S = 4.0
"""A connection idle for longer is not reused: it may have been dropped silently."""
MAX_ERA_DIGITS = 15
PAGE_ROWS = 500
"""Rows to request per page; the store returns no more than this at once."""


class StoreFault(Enum):
    """Why a call to the store failed."""

    NOT_APPLIED = "nothing-done"
    """The store refused the call, or the call was not sent; nothing was applied."""
    UNKNOWN = "unknown-outcome"
    """The call may have been applied, or may still be applied later: there was no usable answer."""
    CONFLICT = "conflict"
    """The version of a conditional write did not match; nothing was applied."""
    FORBIDDEN = "forbidden"
    """This client may not write to the table."""
    HISTORY_GONE = "history-gone"
    """The store no longer has the changes since that version; the table must be read in full."""
    OLD_ERA = "old-era"
    """The answer is from before the store came back from an older copy."""
    UNREADABLE = "unreadable"
    """The answer does not match the documented format."""


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row of a table; ``value`` is ``None`` for a removed row."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TablePage:
    """Rows of a table as of one version of the store."""

    rows: tuple[StoreRow, ...]
    version: int
    now_s: float
    """The store's monotonic clock at the time of the answer."""
    era: int = 0
    """Era of the store in which the rows were read; versions of two eras cannot be compared."""


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A new value for a row, or its removal if ``value`` is ``None``.

    ``expected_version`` makes the whole transaction conditional on the row's version; 0 requires
    that the row does not exist. All writes of a transaction are to one part of their tables.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None
    part: str = ""


class StoreClient:
    """Calls the store at one address. Each call is sent once; retries are left to the caller."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._client = HttpClient(
            address,
            HttpClientSettings(
                connect_timeout_s=CONNECT_TIMEOUT_S,
                head_timeout_s=timeout_s,
                read_timeout_s=timeout_s,
                write_timeout_s=timeout_s,
                idle_timeout_s=IDLE_TIMEOUT_S,
            ),
        )
        self.calls = 0
        self.era = 0
        """Highest era of the store that is known."""
        self.era_listeners: list[Callable[[], None]] = []
        """Called when the era has risen: rows written lately may be gone, and versions go back."""

    def learn_era(self, era: int) -> None:
        """Apply an era that the store or a peer has named; a lower one changes nothing."""
        if era <= self.era:
            return
        is_first = self.era == 0
        self.era = era
        if not is_first:
            for listener in self.era_listeners:
                listener()

    async def read_table(self, table: str) -> Result[TablePage, StoreFault]:
        """Return all rows of a table, in its empty part."""
        return await self.read_part(table, "")

    async def read_part(
        self, table: str, part: str, from_key: str | None = None, to_key: str | None = None
    ) -> Result[TablePage, StoreFault]:
        """Return all rows of one part of a table, or those from one key up to another, which is
        left out."""
        rows: list[StoreRow] = []
        version: int | None = None
        start = from_key
        era: int | None = None
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if start is not None:
                query["from"] = start
            if to_key is not None:
                query["to"] = to_key
            answered = await self._get(ROWS_GET_PATH, query)
            if isinstance(answered, Err):
                return answered
            page = _decode_page(answered.ok_value)
            if isinstance(page, Err):
                return page
            if era is not None and era != self.era:
                return Err(StoreFault.OLD_ERA)
            era = self.era
            rows += page.ok_value.rows
            # Later pages may hold newer rows: changes are read from the first page's version.
            version = page.ok_value.version if version is None else version
            now_s = page.ok_value.now_s
            if not answered.ok_value.get("truncated") or not page.ok_value.rows:
                return Ok(TablePage(tuple(rows), version, now_s, era))
            start = page.ok_value.rows[-1].key + "\0"

    async def read_changes(self, table: str, after_version: int) -> Result[TablePage, StoreFault]:
        """Return the rows that changed after a version, without waiting for new changes."""
        query = {"table": table, "start-after": after_version, "wait-ms": 0}
        answered = await self._get(ROWS_FEED_PATH, query)
        if isinstance(answered, Err):
            return answered
        era = self.era
        return _decode_page(answered.ok_value).map(lambda page: replace(page, era=era))

    async def write(self, writes: tuple[RowWrite, ...]) -> Result[int, StoreFault]:
        """Apply writes in one transaction and return the store's new version."""
        body = {
            "expected-rev": [
                {**_row_id(write), "ver": write.expected_version}
                for write in writes
                if write.expected_version is not None
            ],
            "set-keys": [
                {**_row_id(write), "value": base64.b64encode(write.value).decode("ascii")}
                for write in writes
                if write.value is not None
            ],
            "remove": [_row_id(write) for write in writes if write.value is None],
        }
        request = ClientRequest(
            "POST",
            ROWS_TX_PATH,
            (("content-type", "application/json"),),
            json.dumps(body).encode(),
        )
        answered = await self._call(request)
        if isinstance(answered, Err):
            return answered
        version = answered.ok_value.get("ver")
        return Ok(version) if isinstance(version, int) else Err(StoreFault.UNREADABLE)

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def _get(self, path: str, query: dict[str, Any]) -> Result[dict[str, Any], StoreFault]:
        return await self._call(ClientRequest("GET", f"{path}?{urlencode(query)}"))

    async def _call(self, request: ClientRequest) -> Result[dict[str, Any], StoreFault]:
        self.calls += 1
        answered = await self._client.call(request, max_body_bytes=MAX_ANSWER_BYTES)
        if isinstance(answered, Err):
            is_unsent = answered.err_value is HttpFault.NOT_SENT
            return Err(StoreFault.NOT_APPLIED if is_unsent else StoreFault.UNKNOWN)
        era = header_value(answered.ok_value.headers, ERA) or ""
        if era.isascii() and era.isdecimal() and len(era) <= MAX_ERA_DIGITS:
            if int(era) < self.era:
                return Err(StoreFault.OLD_ERA)
            self.learn_era(int(era))
        return _decode_answer(answered.ok_value)


def _row_id(write: RowWrite) -> dict[str, str]:
    return {"table": write.table, "part": write.part, "key": write.key}


_FAULT_BY_STATUS = {
    403: StoreFault.FORBIDDEN,
    410: StoreFault.HISTORY_GONE,
    412: StoreFault.CONFLICT,
    429: StoreFault.NOT_APPLIED,
    503: StoreFault.NOT_APPLIED,
}


def _decode_answer(answer: HttpAnswer) -> Result[dict[str, Any], StoreFault]:
    if answer.status != 200:
        return Err(_FAULT_BY_STATUS.get(answer.status, StoreFault.UNKNOWN))
    try:
        body = json.loads(answer.body)
    except ValueError:
        return Err(StoreFault.UNREADABLE)
    return Ok(body) if isinstance(body, dict) else Err(StoreFault.UNREADABLE)


def _decode_page(body: dict[str, Any]) -> Result[TablePage, StoreFault]:
    rows, version, now_ms = body.get("rows"), body.get("ver"), body.get("now-ms")
    if not isinstance(rows, list) or not isinstance(version, int):
        return Err(StoreFault.UNREADABLE)
    now_s = now_ms / 1000 if isinstance(now_ms, (int, float)) else 0.0
    decoded = tuple(_decode_row(row) for row in rows if _is_row(row))
    return Ok(TablePage(decoded, version, now_s))


def _is_row(row: Any) -> bool:
    if not isinstance(row, dict):
        return False
    return isinstance(row.get("key"), str) and isinstance(row.get("ver"), int)


def _decode_row(row: dict[str, Any]) -> StoreRow:
    if row.get("tombstone"):
        return StoreRow(row["key"], row["ver"], None)
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Another writer stored an invalid value; the row decoder rejects and logs empty bytes.
        value = b""
    return StoreRow(row["key"], row["ver"], value)
