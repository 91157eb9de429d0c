"""TCP relays that cut or delay the links between processes, one relay for each direction."""

from __future__ import annotations

import asyncio

from dockthread.config.address import Address

HOST = "127.0.0.1"
READ_BYTES = 65536
CUT_POLL_INTERVAL_S = 0.02  # Interval between two checks whether a cut link is healed.
MS_PER_S = 1000.0


class Relay:
    """Forwards the data that one process sends to another.

    Args:
        receiver: Address of the process to which data is forwarded.

    Attributes:
        is_cut: Whether the link is cut: no data passes, but open connections stay open.
        delay_ms: Delay of each chunk of data; the order of chunks is kept.
        port: Port at which the relay listens, set by `open`.
    """

    def __init__(self, receiver: Address) -> None:
        self._receiver = receiver
        self.is_cut = False
        self.delay_ms = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen at a port that the operating system assigns."""
        self._server = await asyncio.start_server(self._forward, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        receiver_writer: asyncio.StreamWriter | None = None
        try:
            await self._wait_until_healed()  # No connection is established over a cut link.
            _, receiver_writer = await asyncio.open_connection(
                self._receiver.host, self._receiver.port
            )
            while chunk := await reader.read(READ_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                await self._wait_until_healed()
                receiver_writer.write(chunk)
                await receiver_writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if receiver_writer is not None:
                receiver_writer.close()

    async def _wait_until_healed(self) -> None:
        while self.is_cut:  # noqa: ASYNC110  callers set the attribute without an event
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
