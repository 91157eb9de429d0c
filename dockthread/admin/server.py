"""The server of the management endpoint: HTTP/1.1 on a socket, one request per connection.

httptools parses the requests, and `commands.py` interprets them. Each connection has its own task,
so a client that sends nothing or an incomplete request does not delay other clients. A connection
is closed after `REQUEST_TIMEOUT`. If more than `MAX_CONNECTIONS` are open, the oldest is closed.
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

# Maximum time in seconds to receive and answer a request.
REQUEST_TIMEOUT = 5.0

# Maximum number of open connections: a few for operators, and many for health checks that hang.
MAX_CONNECTIONS = 48

# Maximum size of a request, which bounds the memory that a client can use.
MAX_REQUEST_BYTES = 8 * 1024

# Maximum size of one read.
READ_BUFFER_BYTES = 2_048

# Maximum number of connections that the system queues for acceptance.
BACKLOG = 128

# Time in seconds before the next accept after a failed one. Without free descriptors an immediate
# retry would fail again.
ACCEPT_RETRY_DELAY = 0.05

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


class CommandExecutor(Protocol):
    """Executes the commands that the management server receives."""

    @property
    def ready(self) -> bool:
        """Whether the ingress serves requests and has an endpoint list."""
        ...

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        ...

    def detach(self, target: str) -> bool:
        """Drain a backend; return False if it is unknown."""
        ...

    def attach(self, target: str) -> bool:
        """Let a detached backend serve again; return False if it is unknown."""
        ...

    async def fleet(self, command: commands.Command) -> commands.Response:
        """Execute a fleet command; may wait until other ingresses have agreed."""
        ...


class _HttpRequest:
    """An HTTP request, filled in by httptools' callbacks."""

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


async def handle(
    executor: CommandExecutor, method: bytes, path: bytes, body: bytes
) -> commands.Response:
    """Execute a request and return its response."""
    command = commands.parse_request(method, path, body)
    if isinstance(command, commands.Response):
        return command
    if command.operation in commands.FLEET_OPERATIONS:
        return await executor.fleet(command)
    if command.operation is commands.Operation.METRICS:
        return commands.Response(200, executor.metrics(), METRICS_CONTENT_TYPE)
    if command.operation is commands.Operation.READY:
        return commands.outcome_response(command, executor.ready)
    if command.operation is commands.Operation.DETACH:
        return commands.outcome_response(command, executor.detach(command.target))
    return commands.outcome_response(command, executor.attach(command.target))


class ManagementServer:
    """Listens for management requests, and lets `executor` execute them.

    Attributes:
        address: The address to listen at; after `open`, the bound address.
    """

    def __init__(self, executor: CommandExecutor, address: Address) -> None:
        self._executor = executor
        self.address = address
        # The task of each open connection, oldest connection first.
        self._connections: dict[socket.socket, asyncio.Task[None]] = {}
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start listening.

        Raises:
            OSError: The address cannot be bound.
        """
        listener = self.address.listener(BACKLOG)
        self._listener = listener
        self.address = Address(*listener.getsockname()[:2])
        logger.info("management endpoint on {}", self.address)
        self._accept_task = asyncio.get_running_loop().create_task(self._accept(listener))

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._accept_task is not None:
            self._accept_task.cancel()
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
            pass  # the client has disconnected or timed out, so no response is possible
        except Exception:  # noqa: BLE001 - a fault in one request must not end the ingress
            logger.exception("a request to the management endpoint failed")
        finally:
            self._connections.pop(connection, None)
            connection.close()

    async def _serve_request(self, connection: socket.socket) -> None:
        """Read one request and send its response; send nothing if the client closes early.

        Raises:
            httptools.HttpParserError: The input is not HTTP.
            OSError: The connection failed.
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
        response = await handle(self._executor, method, request.url, bytes(request.body))
        await loop.sock_sendall(connection, commands.encode_response(response, method == b"HEAD"))
