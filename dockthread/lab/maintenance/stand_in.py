"""A licence node's stand-in that can be pulled, made to fail, and counts what came meanwhile.
RESP2, on loopback.
"""

from __future__ import annotations

import asyncio

import hiredis

from dockthread.config.address import Address

HOST = "127.0.0.1"


class StandInBackend:
    """`used`: connections and requests that came while the plug was pulled; they are broken off."""

    def __init__(self, uid: str, zone: str, work: float = 0.005) -> None:
        self.uid, self.zone, self._work = uid, zone, work
        self.pulled = self.failing = False
        self.served = self.used = 0
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = Address(HOST, 0)

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    def pull(self) -> None:
        """The plug is out: what stands breaks, what comes is counted."""
        self.pulled = True
        for writer in list(self._open):
            writer.transport.abort()

    def listed(self) -> dict[str, object]:
        """In discovery's words."""
        return {
            "uid": self.uid,
            "endpoint": str(self.address),
            "az": self.zone,
            "state": "active",
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.pulled:
            self.used += 1
            writer.transport.abort()
            return
        self._open.add(writer)
        parser = hiredis.Reader()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while parser.gets():
                    if self.pulled:
                        self.used += 1
                        return
                    await asyncio.sleep(self._work)
                    self.served += 1
                    writer.write(
                        b"-ERR ill\r\n" if self.failing else b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
                    )
        except (OSError, hiredis.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()
