"""One process that stands in for all backends of a run and answers every request at once."""

from __future__ import annotations

import asyncio

import hiredis

from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic

# Listens on all addresses, because each listed endpoint has its own address in 127.0.0.0/8.
ALL_ADDRESSES = "0.0.0.0"
RESPONSE = b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class BackendConnection(asyncio.Protocol):
    """A connection to any of the backends."""

    answered_requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and abort connections that come from another machine."""
        # uvloop has its own transport class.
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.parser = hiredis.Reader()
        if not transport.get_extra_info("peername")[0].startswith("127."):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete command in the received bytes."""
        self.parser.feed(data)
        while self.parser.gets() is not False:
            BackendConnection.answered_requests += 1
            self.transport.write(RESPONSE)


class BackendsProcess:
    """The process that stands in for all backends."""

    def __init__(self) -> None:
        self._port = 0
        self._lateness = Lateness()

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Open the listener and return its port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(BackendConnection, ALL_ADDRESSES, 0, backlog=4096)
        self._lateness_task = loop.create_task(self._lateness.measure())
        self._port = self._server.sockets[0].getsockname()[1]
        return {"port": self._port}

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return this process's current counts and measurements."""
        return {
            "messages_in": BackendConnection.answered_requests,
            "traffic": traffic([self._port], local=True),
            "late": self._lateness.take_summary(),
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    backends = BackendsProcess()
    await serve_commands({"begin": backends.begin, "state": backends.state})
