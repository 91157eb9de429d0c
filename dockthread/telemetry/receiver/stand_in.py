"""A server that stands in for carbon and collectd, and simulates faults on demand.

The kinds of faults:
  refuse   all ports are closed, and all connections are reset
  vanish   no data is read and no reply is sent; when the fault ends, the unread data is discarded
           and all connections are reset
  unread   connections are accepted but not read; when the fault ends, reading continues
  slow     1 KiB is read at a time, ten times a second
  reset    each connection is reset in the middle of the data that it sends
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from dockthread.telemetry.collectd import PacketDecoder, PacketError
from dockthread.telemetry.receiver.command_server import CommandServer
from dockthread.telemetry.receiver.decode import (
    DecodeError,
    PickleDecoder,
    PlaintextDecoder,
    ReceivedPoint,
)
from dockthread.telemetry.receiver.ledger import Ledger

REFUSE = "refuse"
VANISH = "vanish"
UNREAD = "unread"
SLOW = "slow"
RESET = "reset"
FAULT_KINDS = (REFUSE, VANISH, UNREAD, SLOW, RESET)

# Names of the protocols, used for the listeners and as sources in the ledger.
PLAINTEXT = "plaintext"
PICKLE = "pickle"
COLLECTD = "collectd"
PUTVAL = "putval"

# Maximum number of bytes in one read.
READ_BYTES = 64 * 1024
# During the fault `slow`: maximum number of bytes in one read, and seconds between two reads.
SLOW_READ_BYTES = 1024
SLOW_PAUSE_SECONDS = 0.1
# During the fault `slow`: seconds between two packets.
SLOW_PACKET_PAUSE_SECONDS = 0.01
# During the fault `reset`: number of bytes that are processed before a connection is reset. This is
# in the middle of a report, and usually in the middle of a line.
RESET_AFTER_BYTES = 700
# Seconds between two checks whether a fault still prevents reading.
POLL_SECONDS = 0.01
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 64
# Size in bytes of the kernel's receive buffer for packets.
PACKET_BUFFER_BYTES = 1 << 20
# SO_LINGER with a timeout of 0 seconds: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

StreamDecoder = PlaintextDecoder | PickleDecoder | CommandServer


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """A fault with its start and duration.

    Attributes:
        kind: The kind of the fault, one of `FAULT_KINDS`.
        start: Start of the fault, in seconds after `StandIn.run_faults` is called.
        duration: Duration of the fault in seconds.
    """

    kind: str
    start: float
    duration: float

    @classmethod
    def parse(cls, text: str) -> FaultWindow:
        """Parse a text such as `vanish@10s+60s`.

        Raises:
            ValueError: if the text is invalid.
        """
        from dockthread.config.quantities import Duration

        kind, at_sign, start_and_duration = text.partition("@")
        start, plus_sign, duration = start_and_duration.partition("+")
        if kind not in FAULT_KINDS or not at_sign or not plus_sign:
            raise ValueError(
                f"{text!r} is not KIND@START+LENGTH, with KIND one of {', '.join(FAULT_KINDS)}"
            )
        return cls(kind, Duration.parse(start) / 1000.0, Duration.parse(duration) / 1000.0)


class StandIn:
    """A receiver for all protocols, which can simulate faults.

    Attributes:
        ledger: Stores the received points, notifications and faults.
        addresses: The address for each protocol, in the format of the operator's file; for `putval`
            the path of the socket alone.
        fault_kind: The kind of the current fault, one of `FAULT_KINDS`, or empty.
    """

    def __init__(self, ledger: Ledger, packet_decoder: PacketDecoder | None = None) -> None:
        self.ledger = ledger
        self.addresses: dict[str, str] = {}
        self.fault_kind = ""
        self._packet_decoder = packet_decoder or PacketDecoder()
        self._listeners: dict[str, socket.socket] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._connections: dict[socket.socket, asyncio.Task[None]] = {}

    async def start(self, **addresses: str) -> None:
        """Listen for each protocol: on a HOST:PORT (port 0 for any), or on a path for `putval`."""
        for protocol, address in addresses.items():
            self._listen(protocol, address)

    def _listen(self, protocol: str, address: str) -> None:
        if protocol == PUTVAL:
            listener = _unix_listener(address)
            self.addresses[protocol] = address
        else:
            listener = _ip_listener(address, is_datagram=protocol == COLLECTD)
            host, _, _ = address.rpartition(":")
            self.addresses[protocol] = f"{host}:{listener.getsockname()[1]}"
        if protocol == COLLECTD:
            coroutine = self._serve_packets(listener)
        else:
            listener.listen(LISTEN_BACKLOG)
            coroutine = self._accept(protocol, listener)
        self._listeners[protocol] = listener
        self._tasks[protocol] = asyncio.get_running_loop().create_task(coroutine)

    async def run_faults(self, fault_windows: Iterable[FaultWindow]) -> None:
        """Simulate the faults one after another, in the order of their start."""
        now = 0.0
        for window in sorted(fault_windows, key=lambda window: window.start):
            await asyncio.sleep(max(0.0, window.start - now))
            self.start_fault(window.kind)
            await asyncio.sleep(window.duration)
            self.end_fault()
            now = window.start + window.duration

    def start_fault(self, kind: str) -> None:
        """Begin to simulate a fault, one of `FAULT_KINDS`."""
        self.fault_kind = kind
        if kind != REFUSE:
            return
        for protocol in list(self._listeners):
            self._tasks.pop(protocol).cancel()
            self._listeners.pop(protocol).close()
            if protocol == PUTVAL:
                Path(self.addresses[PUTVAL]).unlink(missing_ok=True)
        self._reset_all()

    def end_fault(self) -> None:
        """End the current fault."""
        kind = self.fault_kind
        self.fault_kind = ""
        if kind == REFUSE:
            for protocol, address in self.addresses.items():
                self._listen(protocol, address)
        elif kind == VANISH:
            self._reset_all()
            self._discard_packets()

    def _discard_packets(self) -> None:
        if COLLECTD in self._listeners:
            with suppress(BlockingIOError):
                while self._listeners[COLLECTD].recv(READ_BYTES):
                    pass

    def stop(self) -> None:
        """Close all listeners and reset all connections."""
        for task in self._tasks.values():
            task.cancel()
        for listener in self._listeners.values():
            listener.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for connection, task in list(self._connections.items()):
            task.cancel()
            self._reset(connection)

    def _reset(self, connection: socket.socket) -> None:
        self._connections.pop(connection, None)
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    async def _accept(self, protocol: str, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            self._connections[connection] = loop.create_task(self._serve(protocol, connection))

    @property
    def _reading_allowed(self) -> bool:
        return self.fault_kind not in (VANISH, UNREAD)

    async def _wait_until_reading_allowed(self) -> None:
        while not self._reading_allowed:  # noqa: ASYNC110 - polls a plain attribute
            await asyncio.sleep(POLL_SECONDS)

    async def _serve(self, protocol: str, connection: socket.socket) -> None:
        try:
            await self._read_stream(protocol, connection)
        except (DecodeError, OSError) as error:
            self.ledger.add_fault(protocol, str(error))
        self._connections.pop(connection, None)
        connection.close()

    async def _read_stream(self, protocol: str, connection: socket.socket) -> None:
        """Read until the sender closes the connection, or until it is reset by a fault."""
        loop = asyncio.get_running_loop()
        decoder = self._stream_decoder(protocol)
        bytes_read = 0
        while True:
            await self._wait_until_reading_allowed()
            is_slow = self.fault_kind == SLOW
            data = await loop.sock_recv(connection, SLOW_READ_BYTES if is_slow else READ_BYTES)
            # The fault may have begun while the read was waiting.
            await self._wait_until_reading_allowed()
            if not data:
                return
            bytes_read += len(data)
            must_reset = self.fault_kind == RESET and bytes_read > RESET_AFTER_BYTES
            if must_reset:
                data = data[:RESET_AFTER_BYTES]
            if isinstance(decoder, CommandServer):
                await loop.sock_sendall(connection, decoder.feed(data))
            else:
                self.ledger.add_graphite_points(protocol, self._decode(decoder, data))
            if must_reset:
                self.ledger.add_fault(protocol, "reset")
                self._reset(connection)
                return
            if is_slow:
                await asyncio.sleep(SLOW_PAUSE_SECONDS)

    def _stream_decoder(self, protocol: str) -> StreamDecoder:
        if protocol == PUTVAL:
            return CommandServer(self.ledger, PUTVAL)
        return PlaintextDecoder() if protocol == PLAINTEXT else PickleDecoder()

    def _decode(
        self, decoder: PlaintextDecoder | PickleDecoder, data: bytes
    ) -> list[ReceivedPoint]:
        """Return the points in the data, and record a fault for each invalid line."""
        invalid_before = decoder.invalid_lines
        points = list(decoder.feed(data))
        for _ in range(decoder.invalid_lines - invalid_before):
            self.ledger.add_fault(PLAINTEXT, "a line that cannot be read")
        return points

    async def _serve_packets(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PACKET_BUFFER_BYTES)
        while True:
            await self._wait_until_reading_allowed()
            packet = await loop.sock_recv(listener, READ_BYTES)
            if not self._reading_allowed:
                continue
            try:
                self.ledger.add_collectd_items(COLLECTD, self._packet_decoder.decode_packet(packet))
            except PacketError as error:
                self.ledger.add_fault(COLLECTD, str(error))
            if self.fault_kind == SLOW:
                await asyncio.sleep(SLOW_PACKET_PAUSE_SECONDS)


def _unix_listener(path: str) -> socket.socket:
    Path(path).unlink(missing_ok=True)
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    listener.bind(path)
    return listener


def _ip_listener(address: str, is_datagram: bool) -> socket.socket:
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    kind = socket.SOCK_DGRAM if is_datagram else socket.SOCK_STREAM
    listener = socket.socket(family, kind | socket.SOCK_NONBLOCK)
    if not is_datagram:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    return listener
