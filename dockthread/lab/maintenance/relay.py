"""Links between processes that can be cut and delayed: one TCP relay for each direction between two
of them.
"""

from __future__ import annotations

import asyncio

from dockthread.config.address import Address


class Relay:
    """What `sender` opens to `to` goes through here. `cut`: nothing passes, and what stands says
    nothing, as a cut link does; `delay`: ms that each piece waits, in its order.
    """

    def __init__(self, to: Address) -> None:
        self._to, self.cut, self.delay, self.port = to, False, 0.0, 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        onward = None
        try:
            while self.cut:  # a connection that never comes up
                await asyncio.sleep(0.02)
            _, onward = await asyncio.open_connection(self._to.host, self._to.port)
            while piece := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay / 1000.0)
                while self.cut:
                    await asyncio.sleep(0.02)
                onward.write(piece)
                await onward.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if onward is not None:
                onward.close()
