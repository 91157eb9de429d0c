"""Runs a control-plane server on loopback for tests."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server import ControlPlaneServer, TableSource
from dockthread.control_plane.server_settings import ServerSettings
from tests.loopback import run

WRITE_BUFFER_BYTES = 16 << 10  # bytes that may be buffered in a connection
CHUNK_BYTES = 64 << 10  # bytes of resources in one frame


def run_server(
    scenario: Callable[[ControlPlaneServer, Address], Coroutine[Any, Any, None]],
    connections: int = 4,
) -> None:
    """Run a scenario with a server that accepts at most `connections` connections."""

    async def serve() -> None:
        limits = FanOutLimits(chunk_bytes=CHUNK_BYTES)
        settings = ServerSettings("d", "distributor", connections, WRITE_BUFFER_BYTES, limits)
        source = TableSource(ResourceTable("e"), lambda: 0.0)
        server = ControlPlaneServer(settings, source, Clock(), random.Random(1))
        address = await server.open(Address("127.0.0.1", 0))
        await scenario(server, address)
        await server.close()

    run(serve())
