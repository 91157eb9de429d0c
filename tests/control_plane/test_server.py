"""Tests the server's limits on connections and memory."""

from __future__ import annotations

import asyncio

from dockthread.config.address import Address
from dockthread.control_plane.messages import Resource, StatusRequest, Subscribe, Update, codec
from dockthread.control_plane.server import MAX_REQUEST_BYTES, ControlPlaneServer
from dockthread.framing import FRAME_HEADER
from tests.control_plane.local_server import CHUNK_BYTES, WRITE_BUFFER_BYTES, run_server
from tests.loopback import until

RESOURCE_BODY = bytes(10_000)


def put_resource(server: ControlPlaneServer, name: str) -> None:
    server.table.put(Resource("route", name, server.table.revision + 1, RESOURCE_BODY))
    server.on_table_changed()


def test_subscriber_that_does_not_read_buffers_few_frames_and_gets_the_latest_revision() -> None:
    async def scenario(server: ControlPlaneServer, address: Address) -> None:
        put_resource(server, "r0")
        reader, writer = await asyncio.open_connection(address.host, address.port, limit=1 << 10)
        writer.write(codec.pack(Subscribe("slow")))
        await until(server.fan_out.connections)
        (connection,) = server._connections.values()
        for number in range(2000):
            put_resource(server, f"r{number % 10}")
            await asyncio.sleep(0)
            assert connection.transport is not None
            assert (
                connection.transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES + 2 * CHUNK_BYTES
            )
        received_revision = 0
        while received_revision < server.table.revision:
            header = await reader.readexactly(FRAME_HEADER.size)
            message = codec.unpack(header, await reader.readexactly(codec.message_size(header)))
            received_revision = (
                message.revision if isinstance(message, Update) else received_revision
            )
        writer.close()

    run_server(scenario)


def test_connections_that_exceed_the_limit_or_do_not_read_are_closed() -> None:
    async def scenario(server: ControlPlaneServer, address: Address) -> None:
        for number in range(4):
            put_resource(server, f"r{number}")
        connections = [await asyncio.open_connection(address.host, address.port) for _ in range(4)]
        await until(lambda: server.counts.accepted == 4)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        assert await reader.read() == b"" and server.counts.rejected == 1
        requests = codec.pack(StatusRequest()) * 1000
        assert len(requests) < MAX_REQUEST_BYTES
        while not server.counts.unread:
            connections[0][1].write(requests)
            await asyncio.sleep(0)
        for _, stream in [*connections, (reader, writer)]:
            stream.close()

    run_server(scenario)
