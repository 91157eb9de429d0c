"""The server of the management endpoint: HTTP/1.1 on a socket, one request a connection.

httptools parses the requests, and `commands.py` decides what they mean. Each connection has a task
of its own, so a client that sends nothing, or half a request, delays nobody. It is closed after
`REQUEST_TIMEOUT`; past `MAX_CONNECTIONS`, the connection that has waited longest is closed.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

import httptools
from loguru import logger

from dockthread.admin import commands
from dockthread.config.address import Address

# Seconds in which a request has to arrive and be answered.
REQUEST_TIMEOUT = 5.0

# Connections at once: some for staff, and many more than that for health checks that hang.
MAX_CONNECTIONS = 48

# Bytes of one request, so that no client fills the memory.
MAX_REQUEST_BYTES = 64 * 1024

# Bytes read at once.
READ_BUFFER_BYTES = 16_384

# Connections that the system holds until they are accepted.
BACKLOG = 128

# Seconds to wait after a failed accept: without descriptors it would fail again at once.
ACCEPT_RETRY_DELAY = 0.05

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


class Host(Protocol):
    """What the management server needs of the ingress; only `fleet` may wait."""

    @property
    def ready(self) -> bool:
        """Whether the ingress serves and knows a backend."""
        ...

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        ...

    def detach(self, target: str) -> bool:
        """Drain a backend by hand; return False where it is not known."""
        ...

    def attach(self, target: str) -> bool:
        """Let a detached backend serve again; return False where it is not known."""
        ...

    async def fleet(self, command: commands.Command) -> commands.Response:
        """Carry out a command on the fleet, to which the other ingresses may have to agree."""
        ...


class _HttpRequest:
    """One request, filled by httptools' callbacks."""

    def __init__(self) -> None:
        self.url = b""
        self.body = bytearray()
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


async def handle(host: Host, method: bytes, path: bytes, body: bytes) -> commands.Response:
    """Carry a request out and return its response."""
    command = commands.parse_request(method, path, body)
    if isinstance(command, commands.Response):
        return command
    if command.operation in commands.FLEET_OPERATIONS:
        return await host.fleet(command)
    if command.operation is commands.Operation.METRICS:
        return commands.Response(200, host.metrics(), METRICS_CONTENT_TYPE)
    if command.operation is commands.Operation.READY:
        return commands.outcome_response(command, host.ready)
    if command.operation is commands.Operation.DETACH:
        return commands.outcome_response(command, host.detach(command.target))
    return commands.outcome_response(command, host.attach(command.target))


class ManagementServer:
    """Listens for management requests and answers them from a host.

    Attributes:
        address: Where it listens; after `open`, with the port that was bound.
    """

    def __init__(self, host: Host, address: Address) -> None:
        self._host = host
        self.address = address
        # In the order of their arrival: the first one has waited longest.
        self._connections: dict[socket.socket, asyncio.Task[None]] = {}
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        listener = self.address.listener(BACKLOG)
        self._listener = listener
        self.address = Address(*listener.getsockname()[:2])
        logger.info("management endpoint on {}", self.address)
        self._accepting = asyncio.get_running_loop().create_task(self._accept(listener))

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._connections.values()):
            task.cancel()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("management endpoint cannot accept: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_DELAY)
                continue
            if len(self._connections) >= MAX_CONNECTIONS:
                oldest = next(iter(self._connections))
                self._connections.pop(oldest).cancel()
            connection.setblocking(False)
            self._connections[connection] = loop.create_task(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                await self._serve_request(connection)
        except httptools.HttpParserError:
            rejection = commands.encode_response(commands.MALFORMED_REQUEST)
            with suppress(OSError):
                await asyncio.get_running_loop().sock_sendall(connection, rejection)
        except (OSError, TimeoutError):
            pass  # the client is gone or silent: there is nobody to tell
        except Exception:  # noqa: BLE001 - a fault in one request must not end the ingress
            logger.exception("a request to the management endpoint failed")
        finally:
            self._connections.pop(connection, None)
            connection.close()

    async def _serve_request(self, connection: socket.socket) -> None:
        """Read one request and send its response; send nothing where the client closes early.

        Raises:
            httptools.HttpParserError: What was received is not HTTP.
            OSError: The connection broke.
        """
        loop = asyncio.get_running_loop()
        request = _HttpRequest()
        parser = httptools.HttpRequestParser(request)
        buffer = bytearray(READ_BUFFER_BYTES)
        request_bytes = 0
        while not request.complete:
            received = await loop.sock_recv_into(connection, buffer)
            request_bytes += received
            if not received or request_bytes > MAX_REQUEST_BYTES:
                return
            parser.feed_data(memoryview(buffer)[:received])
        method = parser.get_method()
        response = await handle(self._host, method, request.url, bytes(request.body))
        await loop.sock_sendall(connection, commands.encode_response(response, method == b"HEAD"))
