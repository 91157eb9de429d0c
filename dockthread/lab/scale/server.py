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
from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.usage import Lateness, traffic
from dockthread.section_registry import load_operator_file


class ControlServer:
    """The process of one voter or distributor."""

    def __init__(self) -> None:
        self._lateness = Lateness()

    async def begin(self, told: Words) -> Words:
        """Open the server and return its port."""
        read = load_operator_file(told["file"])
        options = read.section("control")
        rng = random.Random(secrets.randbits(64))
        part: Any
        if options.role == "distributor":
            part = Distributor(options, Clock(), rng)
        else:
            part = Voter(
                server_settings_from_options(options, options.key()),
                read.section("fleet"),
                Clock(),
                rng,
            )
        self._part = part
        self._port = (await part.open(options.listen_address())).port
        self._watching = asyncio.get_running_loop().create_task(self._lateness.watch())
        return {"port": self._port}

    async def state(self, told: Words) -> Words:
        """Return the run's readings: traffic on the server's own port, and messages with all peers."""
        messages = self._part.messages
        return {
            "messages_in": messages.received,
            "messages_out": messages.sent,
            "traffic": traffic([self._port], local=True),
            "late": self._lateness.taken(),
        }


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    server = ControlServer()
    await serve_commands({"begin": server.begin, "state": server.state})
