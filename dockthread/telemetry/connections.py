"""Connections to receivers: TCP to Graphite, UDP or a unix socket to collectd.

They do I/O and decide nothing. `open`, `send` and `finish` raise OSError, TimeoutError among them,
when the receiver is gone or does not read.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

from dockthread.config.address import host_port
from dockthread.telemetry import putval
from dockthread.telemetry.options import CollectdOptions, GraphiteOptions

# Bytes written in one turn of the event loop.
BYTES_PER_TURN = 16 * 1024
# Bytes of the kernel's send buffer. It is small, because what the kernel holds for a receiver that
# never reads is lost with the connection.
SEND_BUFFER_BYTES = 64 * 1024
# Bytes read at once from Graphite, which sends nothing, and from collectd's answers.
GRAPHITE_READ_BYTES = 4096
ANSWERS_READ_BYTES = 16384
# Packets sent without a pause.
PACKETS_PER_TURN = 8
# Seconds between two such groups of packets, so that a receiver's buffer keeps up.
PACKET_PAUSE_SECONDS = 0.002
# Seconds after the last packet in which the other machine's rejection (ICMP) comes back.
REJECTION_WAIT_SECONDS = 0.02


class Connection(Protocol):
    """A connection to one receiver, which can be opened again after it was closed."""

    async def open(self) -> None:
        """Connect to the receiver."""

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Write a report."""

    async def finish(self) -> None:
        """Announce the end of the stream, and wait until the receiver has seen it."""

    def close(self) -> None:
        """Close the connection at once, if it is open."""


class SocketConnection:
    """One socket, or none.

    `finish` does nothing here: of the receivers, one answers each command and another never tells
    what it took.
    """

    def __init__(self) -> None:
        self._socket: socket.socket | None = None

    @property
    def _open_socket(self) -> socket.socket:
        assert self._socket is not None, "the connection is open"
        return self._socket

    async def finish(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Close the socket, if there is one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class GraphiteConnection(SocketConnection):
    """A TCP connection to Graphite, which never answers."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._host = host
        self._port = port

    async def open(self) -> None:
        """Connect to the first of the host's addresses that accepts."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_STREAM)
        for number, (family, kind, protocol, _, address) in enumerate(found, 1):
            self._socket = socket.socket(family, kind | socket.SOCK_NONBLOCK, protocol)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            try:
                await loop.sock_connect(self._socket, address)
            except OSError:
                self.close()
                if number == len(found):
                    raise
            else:
                return

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Write a report, with other work between its pieces."""
        open_socket = self._open_socket
        loop = asyncio.get_running_loop()
        with suppress(BlockingIOError):
            # Graphite sends nothing, so anything to read is the end of the connection. When it is
            # found here, the report is not written into a closed connection.
            if not open_socket.recv(GRAPHITE_READ_BYTES):
                raise ConnectionResetError("the receiver closed the connection")
        for chunk in chunks:
            for start in range(0, len(chunk), BYTES_PER_TURN):
                await loop.sock_sendall(open_socket, chunk[start : start + BYTES_PER_TURN])
                await asyncio.sleep(0)

    async def finish(self) -> None:
        """Shut down the sending side, and wait until Graphite closes the other."""
        open_socket = self._open_socket
        open_socket.shutdown(socket.SHUT_WR)
        while await asyncio.get_running_loop().sock_recv(open_socket, GRAPHITE_READ_BYTES):
            pass


class CollectdPacketConnection(SocketConnection):
    """Packets to collectd's network plugin, which never answers.

    The kernel reports a port on which nobody listens.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._host = host
        self._port = port

    async def open(self) -> None:
        """Choose the host's address: IPv4 first, as collectd's default.

        The other addresses cannot be tried, because a lost datagram goes unnoticed.
        """
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(self._host, self._port, type=socket.SOCK_DGRAM)
        family, kind, protocol, _, address = min(
            found, key=lambda candidate: candidate[0] != socket.AF_INET
        )
        self._socket = socket.socket(family, kind | socket.SOCK_NONBLOCK, protocol)
        self._socket.connect(address)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Send each chunk as a packet, with a pause after every few."""
        open_socket = self._open_socket
        for number, packet in enumerate(chunks, 1):
            try:
                open_socket.send(packet)
            except BlockingIOError:
                await asyncio.sleep(PACKET_PAUSE_SECONDS)
                open_socket.send(packet)
            if number % PACKETS_PER_TURN == 0:
                await asyncio.sleep(PACKET_PAUSE_SECONDS)
        await asyncio.sleep(REJECTION_WAIT_SECONDS)
        if code := open_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "the receiver's machine refused the packets")


class CollectdCommandConnection(SocketConnection):
    """Commands to collectd's unixsock plugin, which answers each.

    Attributes:
        rejected: Commands that collectd did not accept.
    """

    def __init__(self, path: str) -> None:
        super().__init__()
        self.rejected = 0
        self._path = path

    async def open(self) -> None:
        """Connect to the socket's path."""
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        await asyncio.get_running_loop().sock_connect(self._socket, self._path)

    async def send(self, chunks: tuple[bytes, ...]) -> None:
        """Write a report's commands, and wait until all are answered."""
        open_socket = self._open_socket
        loop = asyncio.get_running_loop()
        answers = putval.Answers()
        commands = 0
        for chunk in chunks:
            commands += chunk.count(b"\n")
            await loop.sock_sendall(open_socket, chunk)
            try:
                while answers.seen < commands:
                    data = await loop.sock_recv(open_socket, ANSWERS_READ_BYTES)
                    if not data:
                        raise ConnectionResetError("collectd closed the connection")
                    answers.feed(data)
            except ValueError as error:
                raise ConnectionAbortedError(str(error)) from error
        self.rejected += answers.refused


def receiver_connection(options: GraphiteOptions | CollectdOptions) -> Connection:
    """Return a closed connection to the address in a receiver's section."""
    if isinstance(options, CollectdOptions) and options.path:
        return CollectdCommandConnection(options.path)
    address = host_port(options.address)
    assert address is not None, "checked when the file was read"
    if isinstance(options, GraphiteOptions):
        return GraphiteConnection(*address)
    return CollectdPacketConnection(*address)
