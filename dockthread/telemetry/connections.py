"""Connections to receivers: TCP to Graphite, UDP or a unix socket to collectd.

A connection only does I/O; the sender decides when to connect and what to send. `open`, `send` and
`finish` raise OSError or its subclass TimeoutError when the receiver is unreachable or does not
read.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

from dockthread.config.address import host_port
from dockthread.telemetry import putval
from dockthread.telemetry.options import CollectdOptions, GraphiteOptions

# Bytes written in one iteration of the event loop.
WRITE_SLICE_BYTES = 16 * 1024
# Size of the kernel's send buffer. It is small because, when a receiver stops reading, the bytes in
# the buffer are lost with the connection.
SEND_BUFFER_BYTES = 64 * 1024
# Bytes per read from Graphite, which sends no data; a read only detects the end of the connection.
GRAPHITE_READ_BYTES = 4096
# Bytes per read of collectd's replies.
REPLIES_READ_BYTES = 16384
# Packets sent before each pause.
PACKETS_PER_BURST = 8
# Seconds between two groups of packets; keeps the receiver's socket buffer from overflowing.
PACKET_PAUSE_SECONDS = 0.002
# Seconds to wait after the last packet for an ICMP "port unreachable" from the receiver's host.
REJECTION_WAIT_SECONDS = 0.02


class Connection(Protocol):
    """A connection to one receiver; it can be reopened after it was closed."""

    async def open(self) -> None:
        """Connect to the receiver."""

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Send the encoded chunks of a report."""

    async def finish(self) -> None:
        """Signal the end of the stream, and wait until the receiver has seen it."""

    def close(self) -> None:
        """Close the connection immediately if it is open."""


class SocketConnection:
    """Base class of connections over one socket, which is None while the connection is closed.

    `finish` does nothing by default. It is not needed for collectd's unix socket, where `send`
    waits for a reply to each command, nor possible over UDP, where the receiver acknowledges
    nothing.
    """

    def __init__(self) -> None:
        self._socket: socket.socket | None = None

    @property
    def _open_socket(self) -> socket.socket:
        assert self._socket is not None, "the connection must be open"
        return self._socket

    async def finish(self) -> None:
        """Do nothing; a subclass overrides this if it needs to."""

    def close(self) -> None:
        """Close the socket if it is open."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class GraphiteConnection(SocketConnection):
    """A TCP connection to Graphite, which never sends a reply."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._host = host
        self._port = port

    async def open(self) -> None:
        """Connect to the first of the host's addresses that accepts a connection."""
        loop = asyncio.get_running_loop()
        addresses = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_STREAM)
        for number, (family, kind, protocol, _, address) in enumerate(addresses, 1):
            self._socket = socket.socket(family, kind | socket.SOCK_NONBLOCK, protocol)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                await loop.sock_connect(self._socket, address)
            except OSError:
                self.close()
                if number == len(addresses):
                    raise
            else:
                return

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Send a report, yielding to the event loop after every `WRITE_SLICE_BYTES` bytes."""
        open_socket = self._open_socket
        loop = asyncio.get_running_loop()
        with suppress(BlockingIOError):
            # Graphite sends no data, so an empty read means that it closed the connection. This
            # check keeps the report from being written to a closed connection.
            if not open_socket.recv(GRAPHITE_READ_BYTES):
                raise ConnectionResetError("the receiver closed the connection")
        for chunk in chunks:
            for start in range(0, len(chunk), WRITE_SLICE_BYTES):
                await loop.sock_sendall(open_socket, chunk[start : start + WRITE_SLICE_BYTES])
                await asyncio.sleep(0)

    async def finish(self) -> None:
        """Shut down the sending side, and wait until Graphite closes the connection."""
        open_socket = self._open_socket
        open_socket.shutdown(socket.SHUT_WR)
        while await asyncio.get_running_loop().sock_recv(open_socket, GRAPHITE_READ_BYTES):
            pass


class CollectdPacketConnection(SocketConnection):
    """Sends UDP packets to collectd's network plugin, which never replies.

    A failure is noticed only if the receiver's host reports a closed port.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._host = host
        self._port = port

    async def open(self) -> None:
        """Choose one of the host's addresses, preferring IPv4, collectd's default.

        The remaining addresses cannot be tried, because a lost datagram goes unnoticed.
        """
        loop = asyncio.get_running_loop()
        addresses = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_DGRAM)
        family, kind, protocol, _, address = min(
            addresses, key=lambda candidate: candidate[0] != socket.AF_INET
        )
        self._socket = socket.socket(family, kind | socket.SOCK_NONBLOCK, protocol)
        self._socket.connect(address)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Send each chunk as a packet, with a pause after every `PACKETS_PER_BURST` packets."""
        open_socket = self._open_socket
        for number, packet in enumerate(chunks, 1):
            try:
                open_socket.send(packet)
            except BlockingIOError:
                await asyncio.sleep(PACKET_PAUSE_SECONDS)
                open_socket.send(packet)
            if number % PACKETS_PER_BURST == 0:
                await asyncio.sleep(PACKET_PAUSE_SECONDS)
        await asyncio.sleep(REJECTION_WAIT_SECONDS)
        if code := open_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "the receiver's host rejected the packets")


class CollectdCommandConnection(SocketConnection):
    """Sends commands to collectd's unixsock plugin, which replies to each.

    Attributes:
        rejected: Number of commands that collectd rejected.
    """

    def __init__(self, path: str) -> None:
        super().__init__()
        self.rejected = 0
        self._path = path

    async def open(self) -> None:
        """Connect to the unix socket."""
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        await asyncio.get_running_loop().sock_connect(self._socket, self._path)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Send a report's commands, and wait for a reply to each."""
        open_socket = self._open_socket
        loop = asyncio.get_running_loop()
        replies = putval.ReplyCounter()
        commands = 0
        for chunk in chunks:
            commands += chunk.count(b"\n")
            await loop.sock_sendall(open_socket, chunk)
            try:
                while replies.received < commands:
                    data = await loop.sock_recv(open_socket, REPLIES_READ_BYTES)
                    if not data:
                        raise ConnectionResetError("collectd closed the connection")
                    replies.feed(data)
            except ValueError as error:
                raise ConnectionAbortedError(str(error)) from error
        self.rejected += replies.rejected


def create_connection(options: GraphiteOptions | CollectdOptions) -> Connection:
    """Return the connection for a receiver's address; it is not opened yet."""
    if isinstance(options, CollectdOptions) and options.path:
        return CollectdCommandConnection(options.path)
    address = host_port(options.address)
    assert address is not None, "the address is validated when the file is read"
    if isinstance(options, GraphiteOptions):
        return GraphiteConnection(*address)
    return CollectdPacketConnection(*address)
