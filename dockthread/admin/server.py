"""The management door's I/O: a listener, one call a connection, parsed by httptools; decisions in
ops/door.py.

A caller that sends nothing or half a call is left to its own time, up to `SILENT`, and never holds
up another: each connection has a task of its own. Past `MOST` connections, the one that has waited
longest is closed.
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

SILENT = 5.0  # s for which a connection may stand without a whole call
MOST = 48  # connections at once
MOST_CALL = 64 * 1024  # bytes of a call


class Host(Protocol):
    """What the door asks of the daemon; none of it may block."""

    @property
    def ready(self) -> bool: ...

    def figures(self) -> bytes: ...

    def detach(self, target: str) -> bool: ...

    def attach(self, target: str) -> bool: ...

    async def fleet(self, command: commands.Command) -> commands.Response:
        """What concerns the fleet; the only call that may take its time, as others have to
        agree.
        """
        ...


class _Call:
    """httptools' callbacks for one request."""

    def __init__(self) -> None:
        self.url, self.body, self.whole = b"", bytearray(), False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


async def handle(host: Host, method: bytes, path: bytes, body: bytes) -> commands.Response:
    decided = commands.parse_request(method, path, body)
    if isinstance(decided, commands.Response):
        return decided
    if decided.operation in commands.FLEET_OPERATIONS:
        return await host.fleet(decided)
    if decided.operation is commands.Operation.METRICS:
        return commands.Response(200, host.figures(), b"text/plain; version=0.0.4")
    if decided.operation is commands.Operation.READY:
        return commands.outcome_response(decided, host.ready)
    held = decided.operation is commands.Operation.DETACH
    return commands.outcome_response(
        decided, host.detach(decided.target) if held else host.attach(decided.target)
    )


class ManagementServer:
    def __init__(self, host: Host, address: Address) -> None:
        self._host, self.address = host, address
        self._open: dict[socket.socket, asyncio.Task[None]] = {}
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Listen; raises OSError where it cannot."""
        listener = self._listener = self.address.listener(128)
        self.address = Address(*listener.getsockname()[:2])
        logger.info("management door on {}", self.address)
        self._accepting = asyncio.get_running_loop().create_task(self._accept(listener))

    def close(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._open.values()):
            task.cancel()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("management door cannot accept: {}", error)
                await asyncio.sleep(0.05)
                continue
            if len(self._open) >= MOST:  # the oldest has waited longest for nothing
                oldest = next(iter(self._open))
                self._open.pop(oldest).cancel()
            sock.setblocking(False)
            self._open[sock] = loop.create_task(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SILENT):
                call, buffer = _Call(), bytearray(16384)
                parser, size = httptools.HttpRequestParser(call), 0
                while not call.whole:
                    got = await loop.sock_recv_into(sock, buffer)
                    size += got
                    if not got or size > MOST_CALL:
                        return
                    parser.feed_data(memoryview(buffer)[:got])
                method = parser.get_method()
                said = await handle(self._host, method, call.url, bytes(call.body))
                await loop.sock_sendall(sock, commands.encode_response(said, method == b"HEAD"))
        except httptools.HttpParserError:
            with suppress(OSError):
                await loop.sock_sendall(
                    sock, commands.encode_response(commands.Response(400, b"not an HTTP call\n"))
                )
        except (OSError, TimeoutError):
            pass
        except Exception:
            logger.exception("a call to the management door failed")
        finally:
            self._open.pop(sock, None)
            sock.close()
