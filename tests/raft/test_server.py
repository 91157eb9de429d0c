"""Members with real sockets and files: a member that starts late receives a large snapshot."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.lab.maintenance.process_cluster import reserve_port
from dockthread.raft.options import FleetOptions
from dockthread.raft.server import RaftServer
from dockthread.raft.storage import RaftStorage

SNAPSHOT = random.Random(1).randbytes(1000) * 45_000  # size of 90,000 resources of 500 bytes
PROPOSALS = 600  # more than ENTRIES_BEFORE_SNAPSHOT


class SnapshotStateMachine:
    """A state machine whose state is empty until the first command, and then `SNAPSHOT`."""

    def __init__(self) -> None:
        self.state = b""

    def apply(self, index: int, data: bytes) -> None:
        self.state = SNAPSHOT

    def restore(self, index: int, snapshot: bytes) -> None:
        self.state = snapshot

    def snapshot(self) -> bytes:
        return self.state

    def on_applied(self, index: int, term: int) -> None: ...

    def on_status_report(self, sender: str, data: bytes) -> None: ...

    def on_leader_changed(self) -> None: ...


def test_member_that_starts_late_receives_a_snapshot_of_45_mb_and_persists_it(
    tmp_path: Path,
) -> None:
    sockets = [reserve_port() for _ in range(3)]
    addresses = {
        f"n{number}": Address(*socket.getsockname()[:2]) for number, socket in enumerate(sockets)
    }
    members = tuple(f"{name}={address}" for name, address in addresses.items())

    def make_server(name: str, state_machine: SnapshotStateMachine) -> RaftServer:
        directory = tmp_path / name
        if not directory.exists():
            RaftStorage(directory, name, create=True).close()
        options = FleetOptions(
            listen=str(addresses[name]), members=members, directory=str(directory)
        )
        return RaftServer(name, options, Clock(), int(name[1]), state_machine)

    async def scenario() -> None:
        state_machines = {name: SnapshotStateMachine() for name in addresses}
        early_members = [make_server(name, state_machines[name]) for name in ("n0", "n1")]
        for member in early_members:
            await member.open()
        for number in range(PROPOSALS):
            assert await early_members[0].propose(b"%d" % number, 20_000.0)
        late_member = make_server("n2", state_machines["n2"])
        await late_member.open()
        async with asyncio.timeout(30):
            while state_machines["n2"].state != SNAPSHOT:
                await asyncio.sleep(0.01)
        assert late_member.status()["spoilt"] == 0
        for member in [late_member, *early_members]:
            await member.close()

    asyncio.run(scenario())
    storage = RaftStorage(tmp_path / "n2", "n2")
    assert storage.persistent_state.snapshot == SNAPSHOT
    storage.close()
    for socket in sockets:
        socket.close()
