"""TCP relays in front of the distributors, for the ingresses that a cut affects.

During a cut no data passes in either direction and no new connection is forwarded. Data received
during the cut is forwarded when the cut heals, as TCP would do.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

from dockthread.config.address import Address
from dockthread.lab.scale.channel import Words, serve_commands

HOST: Final = "127.0.0.1"
PIECE: Final = 65536  # Maximum bytes of one read.


class Relay:
    """A relay in front of one distributor."""

    def __init__(self, to: Address, passing: asyncio.Event) -> None:
        self._to, self._passing = to, passing

    async def open(self) -> int:
        """Open the listener and return its port."""
        self._server = await asyncio.start_server(self._take, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        onward = None
        try:
            await self._passing.wait()
            back, onward = await asyncio.open_connection(self._to.host, self._to.port)
            await asyncio.gather(self._pass(reader, onward), self._pass(back, writer))
        except OSError:
            pass
        finally:
            writer.close()
            if onward is not None:
                onward.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while piece := await reader.read(PIECE):
                await self._passing.wait()
                writer.write(piece)
                await writer.drain()
        await self._passing.wait()
        writer.close()


class Relays:
    """The relay process, with one relay for each distributor."""

    def __init__(self) -> None:
        self._passing = asyncio.Event()
        self._passing.set()

    async def begin(self, told: Words) -> Words:
        """Open the relays and return their ports."""
        self._relays = [Relay(Address.parse(server), self._passing) for server in told["servers"]]
        return {"ports": [await one.open() for one in self._relays]}

    async def cut(self, told: Words) -> Words:
        """Start or end the cut."""
        if told["cut"]:
            self._passing.clear()
        else:
            self._passing.set()
        return {}


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    relays = Relays()
    await serve_commands({"begin": relays.begin, "cut": relays.cut})
