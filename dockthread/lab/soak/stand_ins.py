"""Backends and discovery of a soak; each request's record says how a backend treats it."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from contextlib import suppress
from typing import Any

from dockthread.lab.soak.journal import AnswerPace, BackendRun, Journal, RequestRecord

LOOPBACK = "127.0.0.1"
LINE_LIMIT = 128 * 1024
PIECE_BYTES = 16 * 1024
SLOW_ANSWER_S = 1.5  # How long a slow answer takes from its first to its last byte.
LUMP_PAUSE_S = 0.6
SMALL_BUFFER_BYTES = 16 * 1024


class SoakBackend:
    """A backend that runs commands as their records say."""

    def __init__(self, uid: str, zone: str, journal: Journal) -> None:
        self.uid = uid
        self.zone = zone
        self.boot_ms = 0
        self._journal = journal
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """The port at which it listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def open(self, port: int = 0) -> None:
        """Listen at a port; 0 for any."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        listener.bind((LOOPBACK, port))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=LINE_LIMIT)

    def stop(self) -> None:
        """Die: reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def target(self, state: str = "active") -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": self.zone,
            "model": "type-a",
            "pod_group": 1,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, EOFError, ValueError, RuntimeError, asyncio.CancelledError):
                while True:
                    await self._serve_command(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_command(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        count = int((await reader.readuntil(b"\r\n"))[1:])
        began_at = time.monotonic()
        arguments: list[bytes] = []
        record: RequestRecord | None = None
        run = BackendRun(self.uid, began_at)
        for index in range(count):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            rate = record.backend_read_rate if record is not None and index > 3 else 0.0
            arguments.append(await _read_value(reader, size, rate))
            if index == 2:
                record = self._journal.requests.get(arguments[2].decode())
                if record is not None:
                    record.runs.append(run)
        run.completed_at = time.monotonic()
        if record is None:  # a command of a client that is not sound
            writer.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
            return
        await asyncio.sleep(record.service_time_s)
        await _write_answer(writer, record, run)

    async def close(self) -> None:
        """Stop and wait until the port is free."""
        self.stop()
        await asyncio.sleep(0)


async def _read_value(reader: asyncio.StreamReader, size: int, rate: float) -> bytes:
    """Read a bulk string and its end, at most `rate` bytes per second; 0 for no bound."""
    parts: list[bytes] = []
    left = size + 2
    while left:
        part = await reader.readexactly(min(left, PIECE_BYTES))
        parts.append(part)
        left -= len(part)
        if rate and left:
            await asyncio.sleep(len(part) / rate)
    return b"".join(parts)[:-2]


async def _write_answer(
    writer: asyncio.StreamWriter, record: RequestRecord, run: BackendRun
) -> None:
    value = record.value()
    head = b"*3\r\n$%d\r\n" % len(value)
    tail = b"\r\n$-1\r\n$24\r\ninflight=1,qps=2,queue=0\r\n"
    if record.pace is AnswerPace.AT_ONCE:
        pieces, pause_s = [value], 0.0
    elif record.pace is AnswerPace.LUMPS:
        half = len(value) // 2
        pieces, pause_s = [value[:half], value[half:]], LUMP_PAUSE_S
    elif record.pace is AnswerPace.LATE_BODY:
        pieces, pause_s = [b"", value], LUMP_PAUSE_S
    else:
        piece_bytes = max(1, len(value) // 16)
        pieces = [value[at : at + piece_bytes] for at in range(0, len(value), piece_bytes)]
        pause_s = SLOW_ANSWER_S / len(pieces)
    writer.write(head)
    for number, piece in enumerate(pieces):
        if number:
            await asyncio.sleep(pause_s)
        writer.write(piece)
        await writer.drain()
        run.answered_bytes += len(piece)
    writer.write(tail)
    await writer.drain()
    run.is_answered = True


class SoakDiscovery:
    """The agent of discovery on the ingress's machine; it answers at once with what it has."""

    def __init__(self) -> None:
        self.revision = 40
        self.targets: list[dict[str, Any]] = []
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()

    @property
    def listing(self) -> dict[str, Any]:
        """The full list."""
        return {"rev": self.revision, "all": True, "targets": self.targets}

    @property
    def address(self) -> str:
        """Where it listens."""
        assert self._server is not None
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def replace(self, targets: list[dict[str, Any]]) -> None:
        """Send a new full list on all watches."""
        self.revision += 1
        self.targets = targets
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def open(self) -> None:
        """Listen at any port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.listing).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 2.0)
                    line = json.dumps(self.listing).encode() + b"\n"
        writer.close()
