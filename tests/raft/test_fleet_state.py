"""A large state of the agreed log: sent in parts, kept on disk and read again, while signs of life
go on.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import msgspec
import pytest

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.framing import MessageCounts
from dockthread.lab.maintenance.process_cluster import reserve_port
from dockthread.raft import messages
from dockthread.raft.options import FleetOptions
from dockthread.raft.server import RaftServer
from dockthread.raft.storage import RaftStorage
from dockthread.raft.transport import PeerTransport

STATE = random.Random(1).randbytes(1000) * 45_000  # as 90,000 resources of 500 bytes
INSTALL = messages.InstallSnapshot(3, "n0", 90_000, 3, ("n0", "n1"), b"", 7)


class StateMachine:
    """Its state is `STATE` once the first command came, and empty before."""

    def __init__(self) -> None:
        self.held = b""

    def apply(self, index: int, data: bytes) -> None:
        self.held = STATE

    def restore(self, index: int, state: bytes) -> None:
        self.held = state

    def snapshot(self) -> bytes:
        return self.held

    def on_applied(self, index: int, term: int) -> None: ...

    def on_status_report(self, sender: str, data: bytes) -> None: ...

    def on_leader_changed(self) -> None: ...


@pytest.mark.parametrize(
    "size", [1, messages.CHUNK_BYTES, messages.CHUNK_BYTES + 1, 3 * messages.CHUNK_BYTES]
)
def test_parts_join_to_the_state_that_was_cut(size: int) -> None:
    whole = msgspec.structs.replace(INSTALL, snapshot=STATE[:size])
    assembly, joined = messages.SnapshotAssembler(), []
    for frame in messages.split_snapshot(whole, b""):
        part = messages.unpack(
            frame[: messages.FRAME_HEADER.size], frame[messages.FRAME_HEADER.size :]
        )
        assert isinstance(part, messages.SnapshotChunk)
        joined.append(assembly.add(part))
    assert joined == [None] * (len(joined) - 1) + [whole]


@pytest.mark.parametrize(
    "change",
    [
        {"number": 2},
        {"snapshot_size": 5},
        {"snapshot_size": messages.MAX_SNAPSHOT_BYTES + 1},
        {"data": b"x"},
    ],
)
def test_parts_that_do_not_follow_end_the_connection(change: dict[str, object]) -> None:
    size, data = 2 * messages.CHUNK_BYTES, STATE[: messages.CHUNK_BYTES]
    assembly = messages.SnapshotAssembler()
    assembly.add(messages.SnapshotChunk(INSTALL, 0, size, data))
    with pytest.raises(messages.MalformedFrameError, match="does not follow"):
        assembly.add(
            msgspec.structs.replace(messages.SnapshotChunk(INSTALL, 1, size, data), **change)
        )


def test_beats_pass_between_the_parts_and_a_state_under_way_is_not_queued_again() -> None:
    async def scenario() -> None:
        seen: list[messages.Frame] = []

        async def read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head = await reader.readexactly(messages.FRAME_HEADER.size)
                seen.append(messages.unpack(head, await reader.readexactly(messages.length(head))))

        server = await asyncio.start_server(read, "127.0.0.1", 0)
        link = PeerTransport(
            Address(*server.sockets[0].getsockname()[:2]), random.Random(1), b"", MessageCounts()
        )
        whole = msgspec.structs.replace(INSTALL, snapshot=STATE[: 40 * messages.CHUNK_BYTES])
        link.send(whole)
        async with asyncio.timeout(20):
            while len(seen) < 3:
                await asyncio.sleep(0)
            link.send(whole)
            while sum(
                isinstance(one, messages.SnapshotChunk) for one in seen
            ) < 40 or not isinstance(seen[-1], messages.SnapshotChunk):
                await asyncio.sleep(0)
        beats = [at for at, one in enumerate(seen) if isinstance(one, messages.AppendEntries)]
        assert len(seen) == 41 and len(beats) == 1 and beats[0] < 40
        link.task.cancel()
        server.close()

    asyncio.run(scenario())


def test_a_member_that_was_away_receives_a_state_of_45_mb_and_keeps_it(tmp_path: Path) -> None:
    held = [reserve_port() for _ in range(3)]
    at = {f"n{i}": Address(*one.getsockname()[:2]) for i, one in enumerate(held)}
    names = tuple(f"{name}={address}" for name, address in at.items())

    def member(name: str, owner: StateMachine) -> RaftServer:
        folder = tmp_path / name
        if not folder.exists():
            RaftStorage(folder, name, create=True).close()
        options = FleetOptions(listen=str(at[name]), members=names, directory=str(folder))
        return RaftServer(name, options, Clock(), int(name[1]), owner)

    async def scenario() -> None:
        owners = {name: StateMachine() for name in at}
        pair = [member(name, owners[name]) for name in ("n0", "n1")]
        for one in pair:
            await one.open()
        for n in range(600):  # past the entries after which a state takes their place
            assert await pair[0].propose(b"%d" % n, 20_000.0)
        late = member("n2", owners["n2"])
        await late.open()
        async with asyncio.timeout(30):
            while owners["n2"].held != STATE:
                await asyncio.sleep(0.01)
        assert late.status()["spoilt"] == 0
        for one in [late, *pair]:
            await one.close()

    asyncio.run(scenario())
    again = RaftStorage(tmp_path / "n2", "n2")
    assert again.persistent_state.snapshot == STATE
    again.close()
    for one in held:
        one.close()
