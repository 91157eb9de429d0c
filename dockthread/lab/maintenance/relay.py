"""Links between processes that can be cut and delayed: one TCP relay for each direction of a link."""

from __future__ import annotations

import asyncio

from dockthread.config.address import Address

HOST = "127.0.0.1"
READ_BYTES = 65536
CUT_POLL_S = 0.02  # between looks whether a cut link is healed
MS_PER_S = 1000.0


class Relay:
    """Carries what one process sends to another.

    Args:
        receiver: Address of the process that is reached through the relay.

    Attributes:
        is_cut: Nothing passes; open connections stay open and are silent, as on a cut link.
        delay_ms: How long each piece waits, in its order.
        port: Where the relay listens, once it is open.
    """

    def __init__(self, receiver: Address) -> None:
        self._receiver = receiver
        self.is_cut = False
        self.delay_ms = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen at a port of the system's choosing."""
        self._server = await asyncio.start_server(self._relay, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        onward: asyncio.StreamWriter | None = None
        try:
            await self._wait_until_healed()  # a connection over a cut link never comes up
            _, onward = await asyncio.open_connection(self._receiver.host, self._receiver.port)
            while piece := await reader.read(READ_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                await self._wait_until_healed()
                onward.write(piece)
                await onward.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if onward is not None:
                onward.close()

    async def _wait_until_healed(self) -> None:
        while self.is_cut:  # noqa: ASYNC110  a link is cut and healed by setting the attribute
            await asyncio.sleep(CUT_POLL_S)
