"""Reads and writes on streams with fewer system calls than trio's own.

trio tries to read before it waits, and passes through its scheduler after each write. Both are
wasted on a connection that carries one event at a time: a read mostly has to wait, and a write
mostly fits into the socket's buffer. Streams that are not TCP sockets use trio's own calls.
"""

import fcntl
import ipaddress
import os
import socket
import struct
import sys
import termios

import trio

LINGER_RESET = struct.pack("ii", 1, 0)
"""``SO_LINGER`` enabled with a time of 0: closing the socket sends a reset."""


async def connect(host: str, port: int) -> trio.SocketStream:
    """Connect to a port. Raises ``OSError`` when that fails, also for what is no address."""
    try:
        return await _connect(host, port)
    except (OverflowError, UnicodeError, ValueError) as error:
        raise OSError(f"no address: {error}") from error


async def _connect(host: str, port: int) -> trio.SocketStream:
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        return await trio.open_tcp_stream(host, port)
    # An IP number needs none of the tasks by which trio tries several addresses.
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    connection = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await connection.connect((host, port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


async def read_some(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes:
    """Return the next bytes of a stream, or none at its end.

    Raises ``trio.BrokenResourceError`` when the connection failed, and ``trio.ClosedResourceError``
    when this side closed it.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(max_bytes))
    descriptor = _descriptor(stream)
    while True:
        await trio.lowlevel.wait_readable(descriptor)
        try:
            return os.read(descriptor, max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


def write_now(stream: trio.abc.SendStream, data: bytes | memoryview) -> int:
    """Write what a stream takes without waiting, and return the number of bytes written.

    Raises as ``read_some`` does.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(_descriptor(stream), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def read_now(stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes | None:
    """Return the bytes of a stream that are there, none at its end, ``None`` if nothing has come.

    Raises as ``read_some`` does. Streams that are not TCP sockets have nothing at hand.
    """
    if not isinstance(stream, trio.SocketStream):
        return None
    try:
        return os.read(_descriptor(stream), max_bytes)
    except BlockingIOError:
        return None
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


async def close_now(stream: trio.abc.AsyncResource) -> None:
    """Close a stream without waiting; a TCP socket needs no pass through the scheduler for it."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
    else:
        await trio.aclose_forcefully(stream)


def withdraw_unacknowledged(stream: trio.abc.SendStream) -> None:
    """Have the close of a stream discard what its peer has not acknowledged.

    After a close the kernel goes on delivering it otherwise, for as long as the peer or the path to
    it is silent. A stream of which all is acknowledged is closed as usual, since a reset that is
    lost would leave the peer with an open connection.
    """
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return
    held = fcntl.ioctl(_descriptor(stream), termios.TIOCOUTQ, bytes(4))
    if int.from_bytes(held, sys.byteorder):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def _descriptor(stream: trio.SocketStream) -> int:
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError("the socket is closed")
    return descriptor
