"""All backends of a run in one process: one listener at every loopback address. Each answers at
once.
"""

from __future__ import annotations

import asyncio

import hiredis

from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic

EVERYWHERE = "0.0.0.0"  # reached at 127.0.0.0/8 only: the endpoints listed are all there
ANSWER = b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class Backend(asyncio.Protocol):
    """One connection of any backend."""

    served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """From asyncio: the connection is open; one from elsewhere than this machine is closed."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop has a class of its own
        self.reader = hiredis.Reader()
        if not transport.get_extra_info("peername")[0].startswith("127."):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """From asyncio: bytes came; each whole command is answered."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            Backend.served += 1
            self.transport.write(ANSWER)


class Backends:
    """The process that stands for all backends."""

    def __init__(self) -> None:
        self._port, self._lateness = 0, Lateness()

    async def begin(self, told: Words) -> Words:
        """Start, by the run's first words."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(Backend, EVERYWHERE, 0, backlog=4096)
        self._watching = loop.create_task(self._lateness.watch())
        self._port = self._server.sockets[0].getsockname()[1]
        return {"port": self._port}

    async def state(self, told: Words) -> Words:
        """What the run reads at the begin and the end of a window."""
        return {
            "messages_in": Backend.served,
            "traffic": traffic([self._port], local=True),
            "late": self._lateness.taken(),
        }


async def play() -> None:
    """Serve the run's commands until the standard input ends."""
    backends = Backends()
    await serve_commands({"begin": backends.begin, "state": backends.state})
