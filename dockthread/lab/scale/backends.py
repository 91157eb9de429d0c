"""One process that stands in for all backends of a run and answers every request at once."""

from __future__ import annotations

import asyncio

import hiredis

from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic

# Listens on all addresses, because each listed endpoint has its own address in 127.0.0.0/8.
EVERYWHERE = "0.0.0.0"
ANSWER = b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class Backend(asyncio.Protocol):
    """A connection to any of the backends."""

    served = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and abort connections that come from another machine."""
        # uvloop has its own transport class.
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.reader = hiredis.Reader()
        if not transport.get_extra_info("peername")[0].startswith("127."):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete command in the received bytes."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            Backend.served += 1
            self.transport.write(ANSWER)


class Backends:
    """The process that stands in for all backends."""

    def __init__(self) -> None:
        self._port, self._lateness = 0, Lateness()

    async def begin(self, told: Words) -> Words:
        """Open the listener and return its port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(Backend, EVERYWHERE, 0, backlog=4096)
        self._watching = loop.create_task(self._lateness.watch())
        self._port = self._server.sockets[0].getsockname()[1]
        return {"port": self._port}

    async def state(self, told: Words) -> Words:
        """Return the readings that the run takes at both ends of a window."""
        return {
            "messages_in": Backend.served,
            "traffic": traffic([self._port], local=True),
            "late": self._lateness.taken(),
        }


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    backends = Backends()
    await serve_commands({"begin": backends.begin, "state": backends.state})
