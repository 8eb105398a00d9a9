"""Authenticated TCP links between nodes.

Messages on a link go one way: a node opens a link to each peer that it sends to. When a link
breaks, its queued messages are dropped; a later refresh or poll makes up for each of them. The
receiver confirms that bytes arrive (``link_proof.py``), so that a connection that has gone silent
is replaced.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import trio

from ..errors import UserError
from ..events import Event, log_event
from ..http.messages import READ_BYTES, split_address
from ..http.server import open_listeners
from ..http.socket_io import connect, read_some, write_now
from ..ids import IncarnationId, InstanceId
from ..util.lean_dataclasses import dataclass
from ..util.shared_ticks import sleep_to_tick
from . import peer_structs
from .codec import (
    UnknownValueError,
    decode_message,
    encode_message,
    message_number_of,
    read_struct,
    write_struct,
)
from .compatibility import OWN_MESSAGES, is_of_later_build, message_number, stated_messages
from .frames import (
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    FrameError,
    FrameReader,
    FrameWriter,
    derive_key,
)
from .heartbeats import PeerInfo
from .link_proof import ConfirmationPace, LinkProof

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
"""An outbound link without a message for this long is closed at the next check."""
IDLE_CHECK_INTERVAL_S = 5.0
PROOF_CHECK_INTERVAL_S = 0.25
PROBE = b""
"""An empty frame, which asks for a confirmation and says nothing else."""
CONFIRMATION = b""
MAX_CONFIRMATION_BYTES = 64
RECEIVE_TIMEOUT_S = 90.0
"""An inbound link without a byte for this long is closed."""
RETRY_INTERVAL_S = 0.2
MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_INBOUND_LINKS = 2_048

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)

Receiver = Callable[[InstanceId, Any], None]
"""Called with the sending instance and the message, synchronously for each decoded message."""

RandomBytes = Callable[[int], bytes]


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity of this node on its links, and the key that all nodes share."""

    instance: InstanceId
    incarnation: IncarnationId
    shared_key: str


class PeerLinks:
    """All inbound and outbound links of one node."""

    def __init__(
        self, identity: LinkIdentity, receiver: Receiver, random_bytes: RandomBytes
    ) -> None:
        self.identity = identity
        self.receiver = receiver
        self.random_bytes = random_bytes
        self.sent_bytes = 0
        self.received_bytes = 0
        self.unknown_messages = 0
        """Messages of later builds that were received and left unread."""
        self.withheld_messages = 0
        """Messages that were not sent to a peer that doesn't understand them."""
        self.silent_links = 0
        """Connections that were given up because nothing that was sent arrived any more."""
        self._links: dict[tuple[InstanceId, str], _OutboundLink] = {}
        self._inbound_count = 0
        self._nursery: trio.Nursery | None = None

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait for peers."""
        return sum(link.waiting_bytes for link in self._links.values())

    async def run(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links at ``address`` and serve all links until cancelled."""
        listeners = await open_listeners(address)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._close_idle)
            nursery.start_soon(self._prove_links)
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started(address)

    def send(self, instance: InstanceId, address: str, message: object) -> None:
        """Queue a message for a peer; it is dropped when the link breaks or its queue is full."""
        self._enqueue(instance, address, encode_message(message, trio.current_time()))

    def broadcast(self, peers: Iterable[PeerInfo], message: object) -> None:
        """Queue one message for several peers; it is encoded once."""
        payload = encode_message(message, trio.current_time())
        for peer in peers:
            self._enqueue(peer.instance, peer.address, payload)

    def understands(self, instance: InstanceId, address: str, message_type: type[Any]) -> bool:
        """Return whether a peer reads messages of a type, as it said last; false if there is no
        link to it or it has said nothing yet."""
        link = self._links.get((instance, address))
        return link is not None and message_number_of(message_type) in link.understood

    def _enqueue(self, instance: InstanceId, address: str, payload: bytes) -> None:
        if self._nursery is None:
            return
        link = self._links.get((instance, address))
        if link is None:
            link = _OutboundLink(self, instance, address)
            self._links[instance, address] = link
            self._nursery.start_soon(self._run_link, link)
        link.send(payload)

    async def _close_idle(self) -> None:
        while True:
            await sleep_to_tick(IDLE_CHECK_INTERVAL_S)
            for link in self._links.values():
                link.close_if_idle(trio.current_time())

    async def _prove_links(self) -> None:
        while True:
            await sleep_to_tick(PROOF_CHECK_INTERVAL_S)
            for link in self._links.values():
                link.prove(trio.current_time())

    def start_task(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task of a link beside it; the links must be running."""
        assert self._nursery is not None
        self._nursery.start_soon(task)

    async def _run_link(self, link: "_OutboundLink") -> None:
        try:
            await link.run()
        finally:
            del self._links[link.instance, link.address]

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self._inbound_count >= MAX_INBOUND_LINKS:
            await trio.aclose_forcefully(stream)
            return
        self._inbound_count += 1
        try:
            await _InboundLink(self, stream).run()
        except FrameError as error:
            log_event(Event.PEER_LINK_REFUSED, reason=str(error))
        except _CONNECTION_ERRORS:
            pass
        finally:
            self._inbound_count -= 1
            await trio.aclose_forcefully(stream)


class _OutboundLink:
    """Sends messages to one peer and connects as needed, until the idle timeout.

    A message on an open link is written at once. It is queued for the link's task while there is no
    connection, or while the connection takes no more bytes.
    """

    def __init__(self, links: PeerLinks, instance: InstanceId, address: str) -> None:
        self.instance = instance
        self.address = address
        self._links = links
        self._payloads: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = trio.Event()
        self._waits_since_s: float | None = None
        self._open: tuple[trio.SocketStream, FrameWriter] | None = None
        """The connection, while all earlier messages have been written."""
        self._unsent = b""
        self._is_broken = False
        self._proof: LinkProof | None = None
        """Proof that the open connection is heard; ``None`` if the peer confirms nothing."""
        self.understood: frozenset[int] = frozenset()
        """Numbers of the messages that the peer reads, as its last greeting said."""

    @property
    def waiting_bytes(self) -> int:
        """Bytes that the peer has not taken."""
        return self._queued_bytes + len(self._unsent)

    def send(self, payload: bytes) -> None:
        """Write an encoded message or queue it; it is dropped when the queue is full."""
        if self._open is None or len(payload) > MAX_FRAME_BYTES:
            # The link's task reports a message that is too large for a frame.
            self._enqueue(payload)
            return
        if not self._is_understood(payload):
            return
        stream, writer = self._open
        self._waits_since_s = trio.current_time()
        self._write_to_open(stream, writer.frame(payload))

    def _write_to_open(self, stream: trio.SocketStream, frame: bytes) -> None:
        try:
            self._write_now(stream, frame)
        except _CONNECTION_ERRORS:
            self._is_broken = True
        if self._unsent or self._is_broken:
            self._open = None
            self._wake.set()

    def prove(self, now_s: float) -> None:
        """Give up a connection whose confirmation is overdue, or ask for one where none is due."""
        proof = self._proof
        if proof is None or self._is_broken:
            return
        if proof.is_silent(now_s):
            self._links.silent_links += 1
            silent_s = round(proof.unconfirmed_s(now_s), 3)
            log_event(Event.PEER_LINK_SILENT, peer=self.instance, silent_s=silent_s)
            self._break()
        elif self._open is not None and proof.needs_probe(now_s):
            stream, writer = self._open
            self._write_to_open(stream, writer.frame(PROBE))

    def _break(self) -> None:
        """Have the link's task give up the connection."""
        self._is_broken = True
        self._open = None
        self._wake.set()

    def _is_understood(self, payload: bytes) -> bool:
        """Return whether the peer reads a message, and count it if not."""
        is_understood = message_number(payload) in self.understood
        self._links.withheld_messages += not is_understood
        return is_understood

    def _write_now(self, stream: trio.SocketStream, data: bytes) -> None:
        written = write_now(stream, data)
        self._links.sent_bytes += len(data)
        if self._proof is not None and data:
            self._proof.record_sent(trio.current_time())
        self._unsent = data[written:]

    def _enqueue(self, payload: bytes) -> None:
        if self._queued_bytes + len(payload) > MAX_QUEUED_BYTES:
            return
        self._payloads.append(payload)
        self._queued_bytes += len(payload)
        self._wake.set()

    def close_if_idle(self, now_s: float) -> None:
        """End the wait for a message if it has lasted for too long."""
        if self._waits_since_s is not None and now_s - self._waits_since_s >= IDLE_TIMEOUT_S:
            self._wake.set()

    async def run(self) -> None:
        """Send queued messages; a failure drops the queue, and the next message reconnects."""
        while await self._wait_for_payload():
            try:
                await self._connect_and_send()
            except _CONNECTION_ERRORS:
                self._clear_queue()
                await trio.sleep(RETRY_INTERVAL_S)
            except (FrameError, UserError) as error:
                log_event(Event.PEER_LINK_REFUSED, peer=self.instance, reason=str(error))
                self._clear_queue()
                await trio.sleep(RETRY_INTERVAL_S)

    async def _wait_for_payload(self) -> bool:
        if not self._payloads:
            self._wake = trio.Event()
            self._waits_since_s = trio.current_time()
            await self._wake.wait()
            self._waits_since_s = None
        return bool(self._payloads)

    async def _connect_and_send(self) -> None:
        host, port = split_address(self.address)
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await connect(host, port)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                writer, confirmations = await self._handshake(stream)
            if confirmations is not None:
                self._proof = LinkProof(trio.current_time())
                self._links.start_task(
                    partial(self._read_confirmations, stream, confirmations, self._proof)
                )
            while True:
                await self._write_queue(stream, writer)
                self._open = stream, writer
                has_more = await self._wait_for_payload()
                self._open = None
                if self._is_broken:
                    raise trio.BrokenResourceError("the connection failed")
                if not has_more and not self._unsent:
                    return
        finally:
            self._open = self._proof = None
            self._is_broken = False
            self._unsent = b""
            await trio.aclose_forcefully(stream)

    async def _write_queue(self, stream: trio.SocketStream, writer: FrameWriter) -> None:
        while self._unsent or self._payloads:
            if not self._unsent:
                frames = [
                    writer.frame(payload)
                    for payload in self._drain_queue()
                    if self._is_understood(payload)
                ]
                self._write_now(stream, b"".join(frames))
            if self._unsent:
                with trio.fail_after(WRITE_TIMEOUT_S):
                    await stream.send_all(self._unsent)
                self._unsent = b""

    async def _read_confirmations(
        self, stream: trio.SocketStream, reader: FrameReader, proof: LinkProof
    ) -> None:
        """Follow what the peer confirms, and notice when it closes the connection."""
        try:
            while data := await read_some(stream, READ_BYTES):
                if reader.feed(data):
                    proof.record_confirmed(trio.current_time())
        except FrameError as error:
            log_event(Event.PEER_LINK_REFUSED, peer=self.instance, reason=str(error))
        except _CONNECTION_ERRORS:
            pass
        if self._proof is proof:
            self._break()

    async def _handshake(self, stream: trio.SocketStream) -> tuple[FrameWriter, FrameReader | None]:
        """Exchange hellos with nonces, authenticated by the shared key on both sides.

        Returns the writer of messages, and the reader of confirmations if the peer sends any.
        """
        identity = self._links.identity
        nonce = self._links.random_bytes(NONCE_BYTES)
        key = derive_key(identity.shared_key, "hello")
        await stream.send_all(FrameWriter(key).frame(_hello(identity, nonce)))
        reader = FrameReader(derive_key(identity.shared_key, "welcome", nonce), MAX_HELLO_BYTES)
        peer, _ = await _read_hello(stream, reader)
        if peer.instance != self.instance:
            raise FrameError(f"connected to unexpected instance {peer.instance}")
        self.understood = stated_messages(peer.understands)
        writer = FrameWriter(derive_key(identity.shared_key, "messages", nonce, peer.nonce))
        if not peer.confirms:
            return writer, None
        confirm_key = derive_key(identity.shared_key, "confirmations", nonce, peer.nonce)
        return writer, FrameReader(confirm_key, MAX_CONFIRMATION_BYTES)

    def _drain_queue(self) -> list[bytes]:
        payloads = list(self._payloads)
        self._clear_queue()
        return payloads

    def _clear_queue(self) -> None:
        self._payloads.clear()
        self._queued_bytes = 0


class _InboundLink:
    """Receives messages from one peer."""

    def __init__(self, links: PeerLinks, stream: trio.SocketStream) -> None:
        self._links = links
        self._stream = stream

    async def run(self) -> None:
        """Receive until the link closes. Raises ``FrameError`` for an invalid frame."""
        with trio.fail_after(HELLO_TIMEOUT_S):
            sender, reader, confirmations = await self._accept_handshake()
        pace = ConfirmationPace()
        with trio.move_on_after(RECEIVE_TIMEOUT_S) as scope:
            while True:
                deadline_s = trio.current_time() + RECEIVE_TIMEOUT_S
                if deadline_s - scope.deadline > IDLE_CHECK_INTERVAL_S:
                    scope.deadline = deadline_s
                data = await read_some(self._stream, READ_BYTES)
                if not data:
                    return
                self._links.received_bytes += len(data)
                if confirmations is not None and pace.is_due(trio.current_time()):
                    self._confirm(confirmations)
                for payload in reader.feed(data):
                    if payload != PROBE:
                        self._deliver(sender, payload)

    def _confirm(self, writer: FrameWriter) -> None:
        """Tell the peer that its bytes arrive."""
        frame = writer.frame(CONFIRMATION)
        self._links.sent_bytes += len(frame)
        if write_now(self._stream, frame) < len(frame):
            raise trio.BrokenResourceError("the peer reads no confirmations")

    async def _accept_handshake(self) -> tuple[InstanceId, FrameReader, FrameWriter | None]:
        identity = self._links.identity
        hello_reader = FrameReader(derive_key(identity.shared_key, "hello"), MAX_HELLO_BYTES)
        peer, unread_bytes = await _read_hello(self._stream, hello_reader)
        nonce = self._links.random_bytes(NONCE_BYTES)
        key = derive_key(identity.shared_key, "welcome", peer.nonce)
        await self._stream.send_all(FrameWriter(key).frame(_hello(identity, nonce)))
        if unread_bytes:
            raise FrameError("data received before the handshake completed")
        messages_key = derive_key(identity.shared_key, "messages", peer.nonce, nonce)
        reader = FrameReader(messages_key)
        if not peer.confirms:
            return InstanceId(peer.instance), reader, None
        confirm_key = derive_key(identity.shared_key, "confirmations", peer.nonce, nonce)
        return InstanceId(peer.instance), reader, FrameWriter(confirm_key)

    def _deliver(self, sender: InstanceId, payload: bytes) -> None:
        if is_of_later_build(payload):
            self._links.unknown_messages += 1
            return
        decoded = decode_message(payload, trio.current_time())
        if isinstance(decoded.err(), UnknownValueError):
            self._links.unknown_messages += 1
            return
        if decoded.is_err():
            raise FrameError(f"from {sender}: {decoded.err()}")
        self._links.receiver(sender, decoded.ok())


def _hello(identity: LinkIdentity, nonce: bytes) -> bytes:
    hello = peer_structs.Hello(
        instance=identity.instance,
        incarnation=identity.incarnation,
        nonce=nonce,
        understands=sorted(OWN_MESSAGES),
        confirms=True,
    )
    return write_struct(hello)


async def _read_hello(stream: trio.SocketStream, reader: FrameReader) -> tuple[Any, bytes]:
    """Return the peer's hello and the bytes received after it."""
    while True:
        data = await stream.receive_some(MAX_HELLO_BYTES)
        if not data:
            raise trio.BrokenResourceError("connection closed before the hello")
        payloads = reader.feed(bytes(data))
        if payloads:
            break
    try:
        hello = read_struct(peer_structs.Hello(), payloads[0])
    except ValueError as error:
        raise FrameError(f"invalid hello: {error}") from error
    nonce = hello.nonce if isinstance(hello.nonce, bytes) else (hello.nonce or "").encode()
    if len(nonce) != NONCE_BYTES or not isinstance(hello.instance, str):
        raise FrameError("hello without a valid instance name or nonce")
    hello.nonce = nonce
    return hello, reader.unread_bytes()
