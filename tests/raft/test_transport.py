"""The connection to another member: heartbeats are sent between the chunks of a snapshot."""

from __future__ import annotations

import asyncio
import random

import msgspec

from dockthread.config.address import Address
from dockthread.framing import MessageCounts
from dockthread.raft import messages
from dockthread.raft.transport import PeerTransport

CHUNK_COUNT = 40
SNAPSHOT = random.Random(1).randbytes(1024) * (CHUNK_COUNT * messages.CHUNK_BYTES // 1024)
INSTALL_SNAPSHOT = messages.InstallSnapshot(3, "n0", 90_000, 3, ("n0", "n1"), b"", 7)


def test_heartbeat_is_sent_between_chunks_and_a_snapshot_in_flight_is_not_sent_again() -> None:
    async def scenario() -> None:
        received: list[messages.Frame] = []

        async def read_frames(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                header = await reader.readexactly(messages.FRAME_HEADER.size)
                body = await reader.readexactly(messages.message_size(header))
                received.append(messages.unpack(header, body))

        def received_chunk_count() -> int:
            return sum(isinstance(frame, messages.SnapshotChunk) for frame in received)

        server = await asyncio.start_server(read_frames, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        peer = PeerTransport(address, random.Random(1), b"", MessageCounts())
        message = msgspec.structs.replace(INSTALL_SNAPSHOT, snapshot=SNAPSHOT)
        peer.send(message)
        async with asyncio.timeout(20):
            while len(received) < 3:
                await asyncio.sleep(0)
            peer.send(message)
            while received_chunk_count() < CHUNK_COUNT or not isinstance(
                received[-1], messages.SnapshotChunk
            ):
                await asyncio.sleep(0)
        heartbeat_indices = [
            frame_index
            for frame_index, frame in enumerate(received)
            if isinstance(frame, messages.AppendEntries)
        ]
        assert (
            len(received) == CHUNK_COUNT + 1
            and len(heartbeat_indices) == 1
            and heartbeat_indices[0] < CHUNK_COUNT
        )
        peer.task.cancel()
        server.close()

    asyncio.run(scenario())
