"""The I/O to receivers: TCP to Graphite, UDP or a unix socket to collectd. Decides nothing.

`open`, `send` and `finish` raise OSError (TimeoutError among them) where the receiver is gone or
does not read.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

from dockthread.telemetry import putval

PIECE = 16 * 1024  # bytes handed over in one turn of the loop
# kept small: what the kernel holds for a receiver that never reads is lost with it
SEND_BUFFER = 64 * 1024
TURN = 8  # packets in one turn
HEARD = 0.02  # s after a report's last packet in which a refusal by the other machine comes back
TRUTH = 0.002  # s between the turns of a report, so that a receiver's buffer keeps up


class Link(Protocol):
    async def open(self) -> None: ...
    async def send(self, chunks: tuple[bytes, ...]) -> None: ...
    async def finish(self) -> None:
        """Say that nothing more comes, and wait until the other end has seen it."""

    def close(self) -> None: ...


class Socketed:
    """One socket, or none. Nothing is left to finish where the other end tells what it took, or
    tells nothing.
    """

    _sock: socket.socket | None = None

    async def finish(self) -> None:
        pass

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class Stream(Socketed):
    """A byte stream to Graphite, which never answers."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_STREAM)
        for number, (family, kind, proto, _, address) in enumerate(found, 1):
            self._sock = sock = socket.socket(family, kind | socket.SOCK_NONBLOCK, proto)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            try:
                await loop.sock_connect(sock, address)
                return
            except OSError:
                self.close()
                if number == len(found):
                    raise

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        sock, loop = self._sock, asyncio.get_running_loop()
        assert sock is not None
        with suppress(BlockingIOError):
            # It says nothing, so what is readable is its end; found here, a report is not written
            # into it.
            if not sock.recv(4096):
                raise ConnectionResetError("the receiver closed the connection")
        for chunk in chunks:
            for at in range(0, len(chunk), PIECE):
                await loop.sock_sendall(sock, chunk[at : at + PIECE])
                await asyncio.sleep(0)

    async def finish(self) -> None:
        sock = self._sock
        assert sock is not None
        sock.shutdown(socket.SHUT_WR)
        while await asyncio.get_running_loop().sock_recv(sock, 4096):
            pass


class Datagrams(Socketed):
    """Packets to collectd's network plugin, which never answers; the kernel tells of a port nobody
    holds.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_DGRAM)
        # A datagram that nobody takes tells nothing of the next address: as collectd's default,
        # IPv4 first.
        family, kind, proto, _, address = min(found, key=lambda one: one[0] != socket.AF_INET)
        self._sock = socket.socket(family, kind | socket.SOCK_NONBLOCK, proto)
        self._sock.connect(address)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        sock = self._sock
        assert sock is not None
        for number, packet in enumerate(chunks, 1):
            try:
                sock.send(packet)
            except BlockingIOError:
                await asyncio.sleep(TRUTH)
                sock.send(packet)
            if not number % TURN:
                await asyncio.sleep(TRUTH)
        await asyncio.sleep(HEARD)
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "the receiver's machine refused the packets")


class UnixCommands(Socketed):
    """Lines to collectd's unixsock plugin, each of which it answers: a report is over when all
    are.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self.refused = 0  # lines that collectd would not take

    async def open(self) -> None:
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        await asyncio.get_running_loop().sock_connect(self._sock, self._path)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        sock, loop, answers = self._sock, asyncio.get_running_loop(), putval.Answers()
        assert sock is not None
        lines = 0
        for chunk in chunks:
            lines += chunk.count(b"\n")
            await loop.sock_sendall(sock, chunk)
            try:
                while answers.seen < lines:
                    if not (data := await loop.sock_recv(sock, 16384)):
                        raise ConnectionResetError("collectd closed the connection")
                    answers.feed(data)
            except ValueError as error:
                raise ConnectionAbortedError(str(error)) from error
        self.refused += answers.refused
