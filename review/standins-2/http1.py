"""Small HTTP/1.1 server and client for the stand-ins, on asyncio and nothing else."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

LIMIT_BYTES = 16 * 1024 * 1024


@dataclass
class Request:
    """A request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer; ``chunks`` is sent in place of ``body``, piece by piece, if it is not empty."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    chunks: list[bytes] = field(default_factory=list)
    gap_s: float = 0.0
    is_complete: bool = True
    """For an answer that was read: its end was there."""


Handler = Callable[[Request], Awaitable[Answer | None]]
"""Returns the answer, or ``None`` to close the connection without one."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_close: bool
) -> tuple[bytes, bool]:
    """Return a body and whether it was complete."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return b"".join(parts), True
                parts.append(part[:-2])
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        return (await reader.read(LIMIT_BYTES), True) if until_close else (b"", True)
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except (ConnectionError, ValueError):
        return b"", False


class Listener:
    """A server with its open connections."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Refuse connections, and break off those that are open."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def serve(host: str, port: int, handler: Handler) -> Listener:
    """Serve ``handler`` at an address; each connection carries one request at a time."""
    listener = Listener()

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        listener.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body, _ = await read_body(reader, head[1], until_close=False)
                answer = await handler(Request(method, target, head[1], body))
                if answer is None:
                    break
                await _write(writer, answer)
        listener.writers.discard(writer)
        writer.close()

    listener.server = await asyncio.start_server(
        connected, host, port, limit=LIMIT_BYTES, backlog=512
    )
    return listener


async def _write(writer: asyncio.StreamWriter, answer: Answer) -> None:
    lines = [f"HTTP/1.1 {answer.status} X"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    if not answer.chunks:
        lines.append(f"Content-Length: {len(answer.body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + answer.body)
        await writer.drain()
        return
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    for chunk in answer.chunks:
        writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        await writer.drain()
        await asyncio.sleep(answer.gap_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection; status 0 stands for no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method not in ("GET", "DELETE"):
                lines.append(f"Content-Length: {len(body)}")
            lines.append("Connection: close")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, is_complete=False)
            got, is_complete = await read_body(reader, head[1], until_close=True)
            status = int(head[0].split(" ")[1])
            return Answer(status, head[1], got, is_complete=is_complete)
    except (TimeoutError, OSError):
        return Answer(0, is_complete=False)
    finally:
        if writer is not None:
            writer.close()
