"""A backend's stand-in that can be switched off or made to fail, and counts what came meanwhile.

It speaks RESP2 on loopback.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

import hiredis

from dockthread.config.address import Address

HOST = "127.0.0.1"
READ_BYTES = 65536
WORK_S = 0.005  # for which each request takes
FAILURE = b"-ERR ill\r\n"
ANSWER = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class StandInBackend:
    """One backend.

    Args:
        uid: Its identifier.
        zone: Its zone.
        work_s: For how many seconds each request takes.

    Attributes:
        is_switched_off: Connections and requests are broken off, and counted.
        is_failing: Requests are answered with an error.
        served_count: Requests answered.
        used_while_off_count: Connections and requests that came while it was switched off.
        address: Where it listens, once it is open.
    """

    def __init__(self, uid: str, zone: str, work_s: float = WORK_S) -> None:
        self.uid = uid
        self.zone = zone
        self._work_s = work_s
        self.is_switched_off = False
        self.is_failing = False
        self.served_count = 0
        self.used_while_off_count = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = Address(HOST, 0)

    async def open(self) -> None:
        """Listen at a port of the system's choosing."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.close()
        self._break_connections()

    def switch_off(self) -> None:
        """Break all connections, and count what comes from now on."""
        self.is_switched_off = True
        self._break_connections()

    def switch_on(self) -> None:
        """Serve again."""
        self.is_switched_off = False

    def listed(self) -> dict[str, object]:
        """Return its entry of the endpoint list, as discovery words it."""
        return {
            "uid": self.uid,
            "endpoint": str(self.address),
            "az": self.zone,
            "state": "active",
            "boot_ms": 0,
        }

    def _break_connections(self) -> None:
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_switched_off:
            self.used_while_off_count += 1
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            with suppress(OSError, hiredis.ProtocolError, asyncio.CancelledError):
                await self._answer_all(reader, writer)
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        while data := await reader.read(READ_BYTES):
            parser.feed(data)
            while parser.gets():
                if self.is_switched_off:
                    self.used_while_off_count += 1
                    return
                await asyncio.sleep(self._work_s)
                self.served_count += 1
                writer.write(FAILURE if self.is_failing else ANSWER)
