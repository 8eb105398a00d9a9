"""Loopback addresses that no other process can take before they are used.

A port that was only found free may be taken before it is bound. A reservation stays bound without
listening, so that the kernel gives the port to nobody who asks for any free port; a server that
binds the port by its number, with ``SO_REUSEADDR`` as trio sets it, succeeds all the same.
"""

import socket


class ReservedAddress:
    """A loopback address, reserved until ``close`` or the end of the process."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.text = f"127.0.0.1:{self._socket.getsockname()[1]}"
        """The address as ``host:port``."""

    def close(self) -> None:
        """Give the address up."""
        self._socket.close()


class AddressReservations:
    """Reservations that are given up together."""

    def __init__(self) -> None:
        self._reserved: list[ReservedAddress] = []

    def reserve(self) -> str:
        """Reserve another address and return it as ``host:port``."""
        self._reserved.append(ReservedAddress())
        return self._reserved[-1].text

    def close(self) -> None:
        """Give all addresses up."""
        for address in self._reserved:
            address.close()
        self._reserved.clear()
