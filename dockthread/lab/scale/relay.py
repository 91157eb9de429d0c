"""TCP relays in front of the distributors, for the ingresses that a cut affects.

During a cut no data passes in either direction and no new connection is forwarded. Data received
during the cut is forwarded when the cut heals, as TCP would do.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

from dockthread.config.address import Address
from dockthread.lab.scale.channel import JsonObject, serve_commands

HOST: Final = "127.0.0.1"
READ_BYTES: Final = 65536  # Maximum bytes of one read.


class Relay:
    """A relay in front of one distributor."""

    def __init__(self, distributor: Address, link_up: asyncio.Event) -> None:
        self._distributor = distributor
        self._link_up = link_up

    async def open(self) -> int:
        """Open the listener and return its port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        to_distributor = None
        try:
            await self._link_up.wait()
            from_distributor, to_distributor = await asyncio.open_connection(
                self._distributor.host, self._distributor.port
            )
            await asyncio.gather(
                self._forward(reader, to_distributor), self._forward(from_distributor, writer)
            )
        except OSError:
            pass
        finally:
            writer.close()
            if to_distributor is not None:
                to_distributor.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._link_up.wait()
                writer.write(data)
                await writer.drain()
        await self._link_up.wait()
        writer.close()


class RelayProcess:
    """The relay process, with one relay for each distributor."""

    def __init__(self) -> None:
        self._link_up = asyncio.Event()
        self._link_up.set()

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Open the relays and return their ports."""
        self._relays = [
            Relay(Address.parse(server), self._link_up) for server in arguments["servers"]
        ]
        return {"ports": [await relay.open() for relay in self._relays]}

    async def cut(self, arguments: JsonObject) -> JsonObject:
        """Start or end the cut."""
        if arguments["cut"]:
            self._link_up.clear()
        else:
            self._link_up.set()
        return {}


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    relays = RelayProcess()
    await serve_commands({"begin": relays.begin, "cut": relays.cut})
