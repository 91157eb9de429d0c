"""Relays before the distributors, both ways, for the ingresses in the part that a cut takes.

While it is cut nothing passes and nothing new comes up; what had been sent goes on at the heal, as
TCP would have it.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

from dockthread.config.address import Address
from dockthread.lab.scale.channel import Words, serve_commands

HOST: Final = "127.0.0.1"
PIECE: Final = 65536  # bytes


class Relay:
    """Connections to one distributor."""

    def __init__(self, to: Address, passing: asyncio.Event) -> None:
        self._to, self._passing = to, passing

    async def open(self) -> int:
        """The port at which it takes connections."""
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
    """One for each distributor."""

    def __init__(self) -> None:
        self._passing = asyncio.Event()
        self._passing.set()

    async def begin(self, told: Words) -> Words:
        """Start, by the run's first words."""
        self._relays = [Relay(Address.parse(server), self._passing) for server in told["servers"]]
        return {"ports": [await one.open() for one in self._relays]}

    async def cut(self, told: Words) -> Words:
        """Hold back what passes, or let it pass again."""
        if told["cut"]:
            self._passing.clear()
        else:
            self._passing.set()
        return {}


async def play() -> None:
    """Serve the run's commands until the standard input ends."""
    relays = Relays()
    await serve_commands({"begin": relays.begin, "cut": relays.cut})
