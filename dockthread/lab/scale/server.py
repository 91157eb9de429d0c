"""A voter or distributor run from its operator's file, as `dockthread control serve` runs it."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import Any

from dockthread.clock import Clock
from dockthread.control_plane.distributor import Distributor
from dockthread.control_plane.server_settings import server_settings_from_options
from dockthread.control_plane.voter import Voter
from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.section_registry import load_operator_file


class ControlServer:
    """The process of one voter or distributor."""

    def __init__(self) -> None:
        self._lateness = Lateness()

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Open the server and return its port."""
        operator_file = load_operator_file(arguments["file"])
        options = operator_file.section("control")
        rng = random.Random(secrets.randbits(64))
        server: Any
        if options.role == "distributor":
            server = Distributor(options, Clock(), rng)
        else:
            server = Voter(
                server_settings_from_options(options, options.key()),
                operator_file.section("fleet"),
                Clock(),
                rng,
            )
        self._server = server
        self._port = (await server.open(options.listen_address())).port
        self._lateness_task = asyncio.get_running_loop().create_task(self._lateness.measure())
        return {"port": self._port}

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return the traffic on the server's own port, the messages with all peers and the lateness."""
        messages = self._server.messages
        return {
            "messages_in": messages.received,
            "messages_out": messages.sent,
            "traffic": traffic([self._port], local=True),
            "late": self._lateness.take_summary(),
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    process = ControlServer()
    await serve_commands({"begin": process.begin, "state": process.state})
