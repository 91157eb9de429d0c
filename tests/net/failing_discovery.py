"""Fake discovery services that fail attempts, are unreachable, or are overloaded."""

from __future__ import annotations

import asyncio
import socket
import struct

from tests.loopback import (
    Discovery,
    message,
    target,
)
from tests.net.discovery_responses import RESPONSE_HEAD

INCOMPLETE_OBJECT = b'a\r\n{"rev": 9,\r\n'
# The ways in which discovery fails an attempt: the bytes that it sends, and whether it then closes
# the connection.
FAILURES: dict[str, tuple[bytes, bool]] = {
    "closes": (b"", True),
    "resets": (b"", True),
    "error": (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", True),
    "not HTTP": (b"+PONG\r\n", True),
    "hangs": (b"", False),
    "stalls": (RESPONSE_HEAD, False),
    "half": (RESPONSE_HEAD + INCOMPLETE_OBJECT, False),
}


class FailingDiscovery(Discovery):
    """Answers each attempt with a new list, or fails every attempt while `failure` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.failure: str | None = None
        self.attempts = 0  # number of attempts that were answered or failed
        self.is_reachable = True
        self.hanging_writers: list[asyncio.StreamWriter] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.failure is not None:
            response, ends_connection = FAILURES[self.failure]
            writer.write(response)
            if self.failure == "resets":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            (writer.close if ends_connection else lambda: self.hanging_writers.append(writer))()
            self.attempts += 1
            return
        self.writers.append(writer)
        writer.write(RESPONSE_HEAD)
        self.push(message(2 + len(self.writers), target("s-0", 9)))
        self.attempts += 1


class UnreachableDiscovery(FailingDiscovery):
    """A discovery whose port is closed or whose accept queue is full until `recover`."""

    def __init__(self, is_queue_full: bool) -> None:
        super().__init__()
        self.is_queue_full = is_queue_full
        self.queue_fillers: list[socket.socket] = []
        self.is_reachable = False

    async def start(self) -> int:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        address = self.sock.getsockname()
        if self.is_queue_full:
            self.sock.listen(0)
            for _ in range(4):
                self.queue_fillers.append(socket.socket())
                self.queue_fillers[-1].setblocking(False)
                self.queue_fillers[-1].connect_ex(address)
        return int(address[1])

    async def recover(self) -> None:
        for sock in self.queue_fillers:
            sock.close()
        self.is_reachable = True
        self.server = await asyncio.start_server(self._serve, sock=self.sock)


def failing_discovery(failure: str) -> FailingDiscovery:
    if failure in FAILURES:
        discovery = FailingDiscovery()
        discovery.failure = failure
        return discovery
    return UnreachableDiscovery(failure == "never comes up")


class OverloadedDiscovery(FailingDiscovery):
    """Answers one attempt at a time, each in 130 ms, and rejects attempts while two are waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.answer_lock, self.waiting_attempts, self.rejected = asyncio.Lock(), 0, 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.waiting_attempts >= 2:
            self.rejected += 1
            writer.close()
            return
        self.waiting_attempts += 1
        async with self.answer_lock:
            await asyncio.sleep(0.13)
            self.waiting_attempts -= 1
        await super()._serve(reader, writer)
