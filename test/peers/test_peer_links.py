"""Tests of the links between nodes: authentication and damaged or dropped frames."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from silent_proxy import Silence, SilentProxy

import lentilchute.gateway.node
import lentilchute.node  # noqa: F401 - registers the product's messages
from lentilchute import ids
from lentilchute.gateway.rollouts.messages import RolloutNotice
from lentilchute.http.messages import split_address
from lentilchute.http.socket_io import connect
from lentilchute.peers import codec, links, peer_structs
from lentilchute.peers.compatibility import EARLIER_MESSAGES
from lentilchute.peers.frames import FrameError, FrameReader, FrameWriter, derive_key
from lentilchute.peers.heartbeats import PeerInfo
from lentilchute.peers.links import LinkIdentity, PeerLinks
from lentilchute.scheduler import messages
from lentilchute.util.reserved_address import AddressReservations

KEY = "a-shared-key-of-16"
ACK = messages.SchedulerAck(ids.ServiceName("agenda-core"))


class Node:
    """A node's links and the messages that they received."""

    def __init__(self, name: str, key: str = KEY) -> None:
        self.name = ids.InstanceId(name)
        self.received: list[tuple[str, object]] = []
        identity = LinkIdentity(self.name, ids.IncarnationId(f"{name}.1"), key)
        self.links = PeerLinks(identity, self._receive, lambda size: bytes(size))
        self.changed = trio.Event()

    def _receive(self, sender: ids.InstanceId, message: object) -> None:
        self.received.append((sender, message))
        self.changed.set()


def run_pair(
    body: Callable[[Node, Node, str], Awaitable[None]], second_key: str = KEY
) -> tuple[Node, Node]:
    """Run ``body`` with two nodes, the second listening at the address given to it."""
    nodes: list[Node] = []

    async def main() -> None:
        first, second = Node("entry-1"), Node("entry-2", second_key)
        nodes.extend((first, second))
        reservations = AddressReservations()
        address = reservations.reserve()
        async with trio.open_nursery() as nursery:
            await nursery.start(second.links.run, address)
            await nursery.start(first.links.run, reservations.reserve())
            with trio.fail_after(10):
                await body(first, second, address)
            nursery.cancel_scope.cancel()
        reservations.close()

    trio.run(main)
    return nodes[0], nodes[1]


def test_a_message_is_delivered_with_its_senders_name() -> None:
    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()

    _, second = run_pair(body)
    assert second.received == [("entry-1", ACK)]


def test_a_node_with_another_key_is_refused() -> None:
    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        stream = await trio.open_tcp_stream(*split_address(address))
        hello_key = derive_key(KEY, "hello")
        await stream.send_all(FrameWriter(hello_key).frame(b"\0"))
        assert await stream.receive_some(100) == b""

    _, second = run_pair(body, second_key="quite-another-key!")
    assert second.received == []


def test_garbage_closes_the_connection_and_the_node_keeps_serving() -> None:
    async def body(first: Node, second: Node, address: str) -> None:
        stream = await trio.open_tcp_stream(*split_address(address))
        await stream.send_all(b"\xff" * 64)
        assert await stream.receive_some(100) == b""
        first.links.send(second.name, address, ACK)
        await second.changed.wait()

    _, second = run_pair(body)
    assert second.received == [("entry-1", ACK)]


# A message of a later build, 99, closed the link, and with it went what was queued behind it.
def test_a_message_of_a_later_build_is_left_unread_and_the_link_stays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    later = bytes([12, 0, 99, 11, 0, 1, 0, 0, 0, 1, 65, 0, 0])
    monkeypatch.setattr(links, "OWN_MESSAGES", links.OWN_MESSAGES | {99})

    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        second.changed = trio.Event()
        first.links._enqueue(second.name, address, later)
        first.links.send(second.name, address, ACK)
        await second.changed.wait()

    first, second = run_pair(body)
    assert second.received == [("entry-1", ACK)] * 2
    assert (first.links.withheld_messages, second.links.unknown_messages) == (0, 1)


# A value that only a later build's enumeration has made the message invalid, which closed the link.
def test_a_message_with_a_value_of_a_later_build_is_dropped_and_the_link_stays() -> None:
    reply = peer_structs.PathReply(number=1, state="later")
    unknown = codec.write_struct(peer_structs.PeerMessage(path_reply=reply))

    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        second.changed = trio.Event()
        first.links._enqueue(second.name, address, unknown)
        first.links.send(second.name, address, ACK)
        await second.changed.wait()

    _, second = run_pair(body)
    assert second.received == [("entry-1", ACK)] * 2
    assert second.links.unknown_messages == 1


# A node was sent a message that its build doesn't read, and closed the link each time.
@pytest.mark.parametrize("is_open", [False, True], ids=["queued", "written at once"])
def test_a_message_that_a_peer_does_not_understand_is_withheld(
    is_open: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    notice = RolloutNotice(())
    # An earlier build names no messages in its greeting.
    monkeypatch.setattr(links, "stated_messages", lambda numbers: EARLIER_MESSAGES)

    async def body(first: Node, second: Node, address: str) -> None:
        if is_open:
            first.links.send(second.name, address, ACK)
            await second.changed.wait()
            second.changed = trio.Event()
        first.links.send(second.name, address, notice)
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        assert first.links.understands(second.name, address, messages.SchedulerAck)
        assert not first.links.understands(second.name, address, RolloutNotice)

    first, second = run_pair(body)
    assert second.received == [("entry-1", ACK)] * (2 if is_open else 1)
    assert first.links.withheld_messages == 1


def test_a_greeting_names_all_messages_that_the_build_reads() -> None:
    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        for message_type in codec.registered_messages().values():
            assert first.links.understands(second.name, address, message_type), message_type
        # A node that starts again at another address may run another build there.
        assert not first.links.understands(second.name, "127.0.0.1:1", type(ACK))

    run_pair(body)


@given(st.lists(st.binary(max_size=40), min_size=2, max_size=5), st.data())
def test_changed_dropped_and_repeated_frames_are_detected(
    payloads: list[bytes], data: st.DataObject
) -> None:
    key = derive_key(KEY, "messages", b"n")
    writer = FrameWriter(key)
    frames = [writer.frame(payload) for payload in payloads]
    assert FrameReader(key).feed(b"".join(frames)) == payloads
    fault = data.draw(st.sampled_from(["drop", "repeat", "flip"]))
    at = data.draw(st.integers(0, len(frames) - 2))
    if fault == "drop":
        del frames[at]
    elif fault == "repeat":
        frames.insert(at, frames[at])
    else:
        flipped = bytearray(frames[at])
        flipped[data.draw(st.integers(4, len(flipped) - 1))] ^= 1
        frames[at] = bytes(flipped)
    try:
        read = FrameReader(key).feed(b"".join(frames))
    except FrameError:
        return
    raise AssertionError(f"{fault} at {at} passed: {read}")


def test_a_broadcast_is_encoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    encoded: list[object] = []

    def encode(message: object, now_s: float) -> bytes:
        encoded.append(message)
        return codec.encode_message(message, now_s)

    monkeypatch.setattr(links, "encode_message", encode)

    async def body(first: Node, second: Node, address: str) -> None:
        peers = [peer_info("entry-2", address), peer_info("entry-3", address)]
        first.links.broadcast(peers, ACK)
        await second.changed.wait()

    run_pair(body)
    assert encoded == [ACK]


def test_an_idle_link_closes_and_the_next_message_opens_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(links, "IDLE_CHECK_INTERVAL_S", 0.05)
    opened: list[int] = []

    async def count(host: str, port: int) -> trio.SocketStream:
        opened.append(port)
        return await connect(host, port)

    monkeypatch.setattr(links, "connect", count)

    async def body(first: Node, second: Node, address: str) -> None:
        for _ in range(2):
            second.changed = trio.Event()
            first.links.send(second.name, address, ACK)
            await second.changed.wait()
            # The link closes after one idle time, and its task ends after another.
            await trio.sleep(0.5)

    _, second = run_pair(body)
    assert len(second.received) == len(opened) == 2


def test_messages_on_an_open_link_are_written_at_once_and_in_order() -> None:
    count = 5

    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        # Let the link's task wait again, with the connection open.
        await trio.testing.wait_all_tasks_blocked()
        sent_bytes = first.links.sent_bytes
        for number in range(count):
            first.links.send(second.name, address, acknowledgement(number))
            assert first.links.sent_bytes > sent_bytes
            sent_bytes = first.links.sent_bytes
        while len(second.received) <= count:
            second.changed = trio.Event()
            await second.changed.wait()

    _, second = run_pair(body)
    assert [message for _, message in second.received[1:]] == [
        acknowledgement(number) for number in range(count)
    ]


def test_a_link_whose_connection_takes_no_more_bytes_sends_the_rest_later() -> None:
    count, size = 60, 200_000

    async def body(first: Node, second: Node, address: str) -> None:
        first.links.send(second.name, address, ACK)
        await second.changed.wait()
        await trio.testing.wait_all_tasks_blocked()
        for number in range(count):
            first.links.send(second.name, address, acknowledgement(number, size))
        while len(second.received) <= count:
            second.changed = trio.Event()
            await second.changed.wait()

    _, second = run_pair(body)
    assert [message for _, message in second.received[1:]] == [
        acknowledgement(number, size) for number in range(count)
    ]


CONTACT_S = 3.0
"""Nodes are in touch again this long after their connections were harmed."""


def run_silenced(directions: Silence, *, is_idle: bool) -> tuple[Node, Node]:
    """Silence the link of two nodes, let it rest or carry on, and send ``ACK`` after
    ``CONTACT_S``."""

    async def body(first: Node, second: Node, address: str) -> None:
        reservations = AddressReservations()
        proxy = SilentProxy(reservations.reserve(), address)
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            first.links.send(second.name, proxy.address, acknowledgement(0))
            await second.changed.wait()
            proxy.silence(directions)
            end_s = trio.current_time() + CONTACT_S
            while trio.current_time() < end_s:
                await trio.sleep(0.4)
                if not is_idle:
                    first.links.send(second.name, proxy.address, acknowledgement(1))
            second.received.clear()
            second.changed = trio.Event()
            first.links.send(second.name, proxy.address, ACK)
            with trio.move_on_after(1.0):
                while ACK not in [message for _, message in second.received]:
                    second.changed = trio.Event()
                    await second.changed.wait()
            nursery.cancel_scope.cancel()
        reservations.close()

    return run_pair(body)


# Nodes went on writing to a connection that had gone silent, and never heard of each other again.
@pytest.mark.parametrize("is_idle", [False, True], ids=["used", "idle"])
@pytest.mark.parametrize(
    "directions", list(Silence.__members__.values()), ids=lambda item: item.name
)
def test_a_silent_connection_is_replaced_in_time(directions: Silence, is_idle: bool) -> None:
    first, second = run_silenced(directions, is_idle=is_idle)
    assert [message for _, message in second.received][-1:] == [ACK]
    assert first.links.silent_links == 1


# Confirmations that come in time must keep a link, however seldom it is used.
def test_a_link_that_is_heard_is_kept() -> None:
    opened = []

    async def body(first: Node, second: Node, address: str) -> None:
        reservations = AddressReservations()
        proxy = SilentProxy(reservations.reserve(), address)
        async with trio.open_nursery() as nursery:
            await nursery.start(proxy.run)
            for number in range(3):
                first.links.send(second.name, proxy.address, acknowledgement(number))
                await trio.sleep(2.0)
            nursery.cancel_scope.cancel()
        opened.append(proxy.accepted)
        reservations.close()

    first, second = run_pair(body)
    assert len(second.received) == 3
    assert (opened, first.links.silent_links) == ([1], 0)


def earlier_hello(name: str) -> bytes:
    """Return the greeting of a build that neither sends nor reads confirmations."""
    hello = peer_structs.Hello(
        instance=name,
        incarnation=f"{name}.1",
        nonce=bytes(links.NONCE_BYTES),
        understands=sorted(EARLIER_MESSAGES),
    )
    return codec.write_struct(hello)


# A build that reads no confirmations would run into a full buffer some day.
def test_a_sender_of_an_earlier_build_gets_no_confirmations() -> None:
    async def body(first: Node, second: Node, address: str) -> None:
        stream = await trio.open_tcp_stream(*split_address(address))
        await stream.send_all(FrameWriter(derive_key(KEY, "hello")).frame(earlier_hello("entry-9")))
        assert await stream.receive_some(10_000)
        nonce = bytes(links.NONCE_BYTES)
        writer = FrameWriter(derive_key(KEY, "messages", nonce, nonce))
        for _ in range(3):
            await stream.send_all(writer.frame(codec.encode_message(ACK, trio.current_time())))
            await trio.sleep(0.6)
        with pytest.raises(trio.TooSlowError), trio.fail_after(0.1):
            await stream.receive_some(1)

    _, second = run_pair(body)
    assert second.received == [("entry-9", ACK)] * 3


# A build that confirms nothing takes an empty frame for an invalid message, and is not silent.
def test_a_receiver_of_an_earlier_build_is_not_probed() -> None:
    received: list[bytes] = []
    connections: list[trio.SocketStream] = []

    async def serve(stream: trio.SocketStream) -> None:
        connections.append(stream)
        greeted = await stream.receive_some(10_000)
        hello_key = derive_key(KEY, "hello")
        assert FrameReader(hello_key).feed(bytes(greeted))
        nonce = bytes(links.NONCE_BYTES)
        welcome = FrameWriter(derive_key(KEY, "welcome", nonce))
        await stream.send_all(welcome.frame(earlier_hello("entry-9")))
        reader = FrameReader(derive_key(KEY, "messages", nonce, nonce))
        while data := await stream.receive_some(10_000):
            received.extend(reader.feed(bytes(data)))

    async def body(first: Node, second: Node, address: str) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            for _ in range(2):
                first.links.send(ids.InstanceId("entry-9"), f"127.0.0.1:{port}", ACK)
                await trio.sleep(2.5)
            nursery.cancel_scope.cancel()

    first, _ = run_pair(body)
    assert received == [codec.encode_message(ACK, 0.0)] * 2
    assert (len(connections), first.links.silent_links) == (1, 0)


def acknowledgement(number: int, size: int = 1) -> messages.SchedulerAck:
    return messages.SchedulerAck(ids.ServiceName(f"agenda-{number}-" + "x" * size))


def peer_info(name: str, address: str) -> PeerInfo:
    return PeerInfo(
        instance=ids.InstanceId(name),
        incarnation=ids.IncarnationId(f"{name}.1"),
        generation=1,
        address=address,
        callers_address=address,
        zone=ids.AvailabilityZone("zone-1"),
        region="region-1",
        roles=(),
    )
