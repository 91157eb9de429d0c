"""A test backend that can be switched off or made to fail, and counts requests while it is off.

It serves RESP2 on loopback.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

import hiredis

from dockthread.config.address import Address

HOST = "127.0.0.1"
READ_BYTES = 65536
DEFAULT_SERVICE_TIME_S = 0.005
ERROR_RESPONSE = b"-ERR ill\r\n"
RESPONSE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class StandInBackend:
    """A test backend.

    Args:
        uid: Identifier of the backend in the endpoint list.
        zone: Zone of the backend.
        service_time_s: Service time of a request in seconds.

    Attributes:
        is_switched_off: Whether the backend aborts and counts all connections and requests.
        is_failing: Whether the backend answers every request with an error.
        served_count: Number of answered requests.
        used_while_off_count: Number of connections and requests that arrived while it was off.
        address: Address at which the backend listens, set by `open`.
    """

    def __init__(self, uid: str, zone: str, service_time_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self.uid = uid
        self.zone = zone
        self._service_time_s = service_time_s
        self.is_switched_off = False
        self.is_failing = False
        self.served_count = 0
        self.used_while_off_count = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = Address(HOST, 0)

    async def open(self) -> None:
        """Listen at a port that the operating system assigns."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self._break_connections()

    def switch_off(self) -> None:
        """Abort all connections, and count further connections and requests without serving them."""
        self.is_switched_off = True
        self._break_connections()

    def switch_on(self) -> None:
        """Serve requests again."""
        self.is_switched_off = False

    def endpoint_entry(self) -> dict[str, object]:
        """Return the backend's entry in the endpoint list, in discovery's format."""
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
                await self._serve_requests(reader, writer)
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        parser = hiredis.Reader()
        while data := await reader.read(READ_BYTES):
            parser.feed(data)
            while parser.gets():
                if self.is_switched_off:
                    self.used_while_off_count += 1
                    return
                await asyncio.sleep(self._service_time_s)
                self.served_count += 1
                writer.write(ERROR_RESPONSE if self.is_failing else RESPONSE)
