"""Listens as carbon and collectd do, on loopback, and misbehaves as told.

How it can misbehave:
  refuse   the ports are closed and the connections reset
  vanish   nothing is read and nothing answered; what came meanwhile is lost, and connections reset at the end
  unread   connections are taken and never read; what came is read at the end
  slow     1 KiB is read at a time, ten times a second
  reset    each connection is reset in the middle of what it sends
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from dockthread.telemetry import putval
from dockthread.telemetry.collectd import Opener, PacketError
from dockthread.telemetry.receiver.decode import DecodeError, Got, Lines, Pickles
from dockthread.telemetry.receiver.ledger import Ledger

KINDS = ("refuse", "vanish", "unread", "slow", "reset")
PIECE, SLOW_PIECE, SLOW_PAUSE = 64 * 1024, 1024, 0.1
RESET_AFTER = 700  # bytes of a connection, within a report and most often within a line
LOOK = 0.01  # s between looks at whether it may read again
PLAINTEXT, PICKLE, COLLECTD, UNIX = "plaintext", "pickle", "collectd", "putval"


@dataclass(frozen=True, slots=True)
class Span:
    """Misbehaviour of one kind, from `start` for `length`, in seconds after the start."""

    kind: str
    start: float
    length: float

    @classmethod
    def parse(cls, text: str) -> Span:
        """`vanish@10s+60s`. Raises ValueError."""
        from dockthread.config.quantities import Duration

        kind, at, rest = text.partition("@")
        start, plus, length = rest.partition("+")
        if kind not in KINDS or not at or not plus:
            raise ValueError(
                f"{text!r} is not KIND@START+LENGTH, with KIND one of {', '.join(KINDS)}"
            )
        return cls(kind, Duration.parse(start) / 1000.0, Duration.parse(length) / 1000.0)


class StandIn:
    """`addresses`, by protocol, once started: what to write into an operator's file."""

    def __init__(self, ledger: Ledger, opener: Opener | None = None) -> None:
        self.ledger, self._opener = ledger, opener or Opener()
        self.addresses: dict[str, str] = {}
        self.kind = ""
        self._listeners: dict[str, socket.socket] = {}
        self._wanted: dict[str, str] = {}
        self._connections: dict[socket.socket, asyncio.Task[None]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self, **wanted: str) -> None:
        """`plaintext`, `pickle`, `collectd` as HOST:PORT (port 0: any), `putval` as a path."""
        for protocol, address in wanted.items():
            self._open(protocol, address)

    def _open(self, protocol: str, address: str) -> None:
        if protocol == UNIX:
            Path(address).unlink(missing_ok=True)
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.bind(address)
            self.addresses[protocol] = address
        else:
            host, _, port = address.rpartition(":")
            kind = socket.SOCK_DGRAM if protocol == COLLECTD else socket.SOCK_STREAM
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            sock = socket.socket(family, kind | socket.SOCK_NONBLOCK)
            if kind == socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host.strip("[]"), int(port)))
            self.addresses[protocol] = f"{host}:{sock.getsockname()[1]}"
        if protocol != COLLECTD:
            sock.listen(64)
        self._listeners[protocol] = sock
        loop = asyncio.get_running_loop()
        serving = self._packets(sock) if protocol == COLLECTD else self._accept(protocol, sock)
        self._tasks[protocol] = loop.create_task(serving)

    async def play(self, spans: Iterable[Span]) -> None:
        """Misbehave as the spans say, one after another."""
        now = 0.0
        for span in sorted(spans, key=lambda s: s.start):
            await asyncio.sleep(max(0.0, span.start - now))
            self.misbehave(span.kind)
            await asyncio.sleep(span.length)
            self.behave()
            now = span.start + span.length

    def misbehave(self, kind: str) -> None:
        self.kind = kind
        if kind == "refuse":
            for protocol in list(self._listeners):
                self._tasks.pop(protocol).cancel()
                self._listeners.pop(protocol).close()
                if protocol == UNIX:
                    Path(self.addresses[UNIX]).unlink(missing_ok=True)
            self._reset_all()

    def behave(self) -> None:
        kind, self.kind = self.kind, ""
        if kind == "refuse":
            for protocol, address in self.addresses.items():
                self._open(protocol, address)
        elif kind == "vanish":
            self._reset_all()
            if COLLECTD in self._listeners:
                with suppress(BlockingIOError):
                    while self._listeners[COLLECTD].recv(PIECE):
                        pass

    def stop(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        for sock in self._listeners.values():
            sock.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for sock, task in list(self._connections.items()):
            task.cancel()
            self._reset(sock)

    def _reset(self, sock: socket.socket) -> None:
        self._connections.pop(sock, None)
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    async def _accept(self, protocol: str, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            sock.setblocking(False)
            self._connections[sock] = loop.create_task(self._serve(protocol, sock))

    async def _readable(self) -> None:
        while self.kind in ("vanish", "unread"):
            await asyncio.sleep(LOOK)

    async def _serve(self, protocol: str, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        source: Lines | Pickles | Commands
        source = (
            Commands(self) if protocol == UNIX else Lines() if protocol == PLAINTEXT else Pickles()
        )
        read = 0
        try:
            while True:
                await self._readable()
                slow = self.kind == "slow"
                data = await loop.sock_recv(sock, SLOW_PIECE if slow else PIECE)
                if self.kind in ("vanish", "unread"):
                    await self._readable()
                if not data:
                    break
                read += len(data)
                if self.kind == "reset" and read > RESET_AFTER:
                    data = data[:RESET_AFTER]
                if isinstance(source, Commands):
                    await loop.sock_sendall(sock, source.feed(data))
                else:
                    self.ledger.graphite(protocol, self._sound(source, data))
                if self.kind == "reset" and read > RESET_AFTER:
                    self.ledger.fault(protocol, "reset")
                    self._reset(sock)
                    return
                if slow:
                    await asyncio.sleep(SLOW_PAUSE)
        except (DecodeError, OSError) as error:
            self.ledger.fault(protocol, str(error))
        self._connections.pop(sock, None)
        sock.close()

    def _sound(self, source: Lines | Pickles, data: bytes) -> list[Got]:
        spoilt = source.spoilt
        points = list(source.feed(data))
        for _ in range(source.spoilt - spoilt):
            self.ledger.fault(PLAINTEXT, "a line that cannot be read")
        return points

    async def _packets(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        while True:
            await self._readable()
            packet = await loop.sock_recv(sock, PIECE)
            if self.kind in ("vanish", "unread"):
                continue
            try:
                self.ledger.collectd(COLLECTD, self._opener.read(packet))
            except PacketError as error:
                self.ledger.fault(COLLECTD, str(error))
            if self.kind == "slow":
                await asyncio.sleep(SLOW_PAUSE / 10)


class Commands:
    """The unixsock plugin's side of one connection."""

    def __init__(self, stand_in: StandIn) -> None:
        self._ledger, self._rest = stand_in.ledger, b""

    def feed(self, data: bytes) -> bytes:
        """The answers to the commands that are whole."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > putval.MOST_LINE:
            raise DecodeError("a line does not end")
        answers = []
        for line in lines:
            try:
                told = putval.parse(line.decode())
            except ValueError as error:
                self._ledger.fault(UNIX, "a command that cannot be read")
                answers.append(f"-1 {error}\n")
                continue
            self._ledger.collectd(UNIX, told)
            values = sum(not one.message for one in told)
            answers.append(f"0 Success: {values} value{'s' * (values != 1)} has been dispatched.\n")
        return "".join(answers).encode()
