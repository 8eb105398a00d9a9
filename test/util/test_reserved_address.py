"""Tests of reserved addresses: only a server that names the port gets it."""

import socket

import trio

from lentilchute.http.messages import split_address
from lentilchute.util.reserved_address import AddressReservations, ReservedAddress


def test_no_other_socket_gets_a_reserved_port_by_chance() -> None:
    reservations = AddressReservations()
    reserved = {reservations.reserve() for _ in range(200)}
    assert len(reserved) == 200
    others = [socket.socket() for _ in range(400)]
    for other in others:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(("127.0.0.1", 0))
    taken = {f"127.0.0.1:{other.getsockname()[1]}" for other in others}
    for other in others:
        other.close()
    reservations.close()
    assert not reserved & taken


def test_servers_bind_a_reserved_port_again_and_again() -> None:
    address = ReservedAddress()
    host, port = split_address(address.text)

    async def serve_once() -> None:
        listeners = await trio.open_tcp_listeners(port, host=host)
        caller = await trio.open_tcp_stream(host, port)
        accepted = await listeners[0].accept()
        await accepted.aclose()
        await caller.aclose()
        await listeners[0].aclose()

    for _ in range(3):
        trio.run(serve_once)
    address.close()
