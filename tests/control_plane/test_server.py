"""Tests the server's limits on connections and memory."""

from __future__ import annotations

import asyncio

from dockthread.config.address import Address
from dockthread.control_plane.messages import Resource, StatusRequest, Subscribe, Update, codec
from dockthread.control_plane.server import MAX_REQUEST_BYTES, ControlPlaneServer
from dockthread.framing import FRAME_HEADER
from tests.control_plane.local_server import BUFFER, CHUNK, run_server
from tests.loopback import until

BODY = bytes(10_000)


def put(server: ControlPlaneServer, name: str) -> None:
    server.table.put(Resource("route", name, server.table.revision + 1, BODY))
    server.on_table_changed()


def test_subscriber_that_does_not_read_buffers_few_frames_and_gets_the_latest() -> None:
    async def scenario(server: ControlPlaneServer, at: Address) -> None:
        put(server, "r0")
        reader, writer = await asyncio.open_connection(at.host, at.port, limit=1 << 10)
        writer.write(codec.pack(Subscribe("slow")))
        await until(server.fan_out.connections)
        (connection,) = server._connections.values()
        for number in range(2000):
            put(server, f"r{number % 10}")
            await asyncio.sleep(0)
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= BUFFER + 2 * CHUNK
        sent = 0
        while sent < server.table.revision:
            head = await reader.readexactly(FRAME_HEADER.size)
            message = codec.unpack(head, await reader.readexactly(codec.length(head)))
            sent = message.revision if isinstance(message, Update) else sent
        writer.close()

    run_server(scenario)


def test_connections_beyond_the_limit_or_without_reading_are_closed() -> None:
    async def scenario(server: ControlPlaneServer, at: Address) -> None:
        for number in range(4):
            put(server, f"r{number}")
        first = [await asyncio.open_connection(at.host, at.port) for _ in range(4)]
        await until(lambda: server.counts.accepted == 4)
        reader, writer = await asyncio.open_connection(at.host, at.port)
        assert await reader.read() == b"" and server.counts.rejected == 1
        requests = codec.pack(StatusRequest()) * 1000
        assert len(requests) < MAX_REQUEST_BYTES
        while not server.counts.unread:
            first[0][1].write(requests)
            await asyncio.sleep(0)
        for _, stream in [*first, (reader, writer)]:
            stream.close()

    run_server(scenario)
