"""A proxy whose open connections can go silent without a reset, while new ones work."""

from enum import Flag, auto

import trio

from lentilchute.http.messages import split_address


class Silence(Flag):
    """Directions in which nothing passes any more."""

    TO_RECEIVER = auto()
    TO_SENDER = auto()
    BOTH = TO_RECEIVER | TO_SENDER


class SilentProxy:
    """Passes connections on to one address."""

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.accepted = 0
        self._target = target
        self._silenced: dict[int, Silence] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, port = split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def silence(self, directions: Silence = Silence.BOTH) -> None:
        """Pass nothing more on the connections that are open now."""
        for number in range(self.accepted):
            self._silenced[number] = self._silenced.get(number, Silence(0)) | directions

    async def _serve(self, stream: trio.SocketStream) -> None:
        number, self.accepted = self.accepted, self.accepted + 1
        target = await trio.open_tcp_stream(*split_address(self._target))
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, number, Silence.TO_RECEIVER, stream, target)
            nursery.start_soon(self._pass_on, number, Silence.TO_SENDER, target, stream)

    async def _pass_on(
        self,
        number: int,
        direction: Silence,
        source: trio.SocketStream,
        target: trio.SocketStream,
    ) -> None:
        try:
            while data := await source.receive_some(65_536):
                if direction not in self._silenced.get(number, Silence(0)):
                    await target.send_all(data)
            if number not in self._silenced:
                await target.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(target)
