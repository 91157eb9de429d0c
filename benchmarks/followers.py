"""Measures the cost of a Raft leader if every ingress follows its log without distributors.

    python -m benchmarks.followers [--followers N ...] [--seconds S] [--changes RATE] [--json]

One leader, four other voters and N non-voting members run in one process and in simulated time.
There are no sockets, but messages are encoded and decoded as on the wire. Prints the messages and
bytes that the leader sends per second of simulated time, and the CPU time that its core and its
encoding take as a fraction of that time. CI does not run it.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from dataclasses import asdict, dataclass

from dockthread.raft import messages
from dockthread.raft.actions import Action, ApplyEntry, PersistentState, RaftTiming, SendMessage
from dockthread.raft.core import RaftCore

VOTERS = tuple(f"voter{i}" for i in range(5))
FOLLOWER_COUNTS = (0, 100, 400, 1600)
CHANGE_BODY = bytes(300)  # Body of one change, as large as the section of a route.
# Applied entries after which the log is compacted, like ENTRIES_BEFORE_SNAPSHOT in raft/runner.py.
COMPACTION_INTERVAL = 512


def decode_frame(frame: bytes) -> messages.Message:
    """Decode a frame. Snapshots are too small here to be sent in chunks."""
    message = messages.unpack(
        frame[: messages.FRAME_HEADER.size], frame[messages.FRAME_HEADER.size :]
    )
    assert not isinstance(message, messages.SnapshotChunk)
    return message


@dataclass(frozen=True, slots=True)
class LeaderCost:
    """Cost of the leader at one number of followers: rates per second, and share of a CPU core."""

    followers: int
    changes: float
    messages: float
    bytes: float
    core: float


class Leader:
    """The leader's Raft core with its encoding and decoding, whose CPU time is counted."""

    def __init__(self, followers: int) -> None:
        self.core = RaftCore(
            VOTERS[0], VOTERS, PersistentState(), RaftTiming(), random.Random(1), 0.0
        )
        self.core.learners.update(f"follower{i:04}" for i in range(followers))
        self.messages = self.bytes = 0
        self.cpu = 0.0

    def carry_out(self, actions: list[Action]) -> list[tuple[str, bytes]]:
        """Carry out actions of the core, and return the recipient and frame of each message."""
        started_at = time.process_time()
        frames = [
            (action.to, messages.pack(action.message))
            for action in actions
            if isinstance(action, SendMessage)
        ]
        for action in actions:
            if (
                isinstance(action, ApplyEntry)
                and action.index - self.core.log.snapshot_index >= COMPACTION_INTERVAL
            ):
                self.core.compact(action.index, b"")
        self.cpu += time.process_time() - started_at
        self.messages += len(frames)
        self.bytes += sum(len(frame) for _, frame in frames)
        return frames

    def receive(self, now: float, frame: bytes) -> list[tuple[str, bytes]]:
        """Process a frame that another member sent."""
        started_at = time.process_time()
        actions = self.core.step(now, decode_frame(frame))
        self.cpu += time.process_time() - started_at
        return self.carry_out(actions)

    def tick(self, now: float) -> list[tuple[str, bytes]]:
        """Process the timers that are due."""
        started_at = time.process_time()
        actions = self.core.tick(now)
        self.cpu += time.process_time() - started_at
        return self.carry_out(actions)

    def propose(self, now: float) -> list[tuple[str, bytes]]:
        """Propose one change."""
        started_at = time.process_time()
        actions = self.core.propose(now, CHANGE_BODY)[1]
        self.cpu += time.process_time() - started_at
        return self.carry_out(actions)


def measure(followers: int, seconds: float, changes: float) -> LeaderCost:
    """Measure a leader over `seconds` of simulated time at `changes` proposals per second."""
    leader = Leader(followers)
    names = [*VOTERS[1:], *leader.core.learners]
    members = {
        name: RaftCore(name, VOTERS, PersistentState(), RaftTiming(), random.Random(number), 0.0)
        for number, name in enumerate(names)
    }

    def deliver_all(now: float, frames: list[tuple[str, bytes]]) -> None:
        """Deliver frames and the responses to them until there are no more."""
        while frames:
            responses = list[bytes]()
            for recipient, frame in frames:
                for action in members[recipient].step(now, decode_frame(frame)):
                    if isinstance(action, SendMessage) and action.to == VOTERS[0]:
                        responses.append(messages.pack(action.message))
            frames = [frame for response in responses for frame in leader.receive(now, response)]

    now = 0.0
    while leader.core.role.value != "leader":
        now = leader.core.next_deadline()
        deliver_all(now, leader.tick(now))
    leader.messages = leader.bytes = 0
    leader.cpu = 0.0
    proposed_count = 0
    started_at = now
    while now < started_at + seconds * 1000.0:
        now = leader.core.next_deadline()
        deliver_all(now, leader.tick(now))
        while proposed_count < (now - started_at) / 1000.0 * changes:
            proposed_count += 1
            deliver_all(now, leader.propose(now))
    elapsed_s = (now - started_at) / 1000.0
    return LeaderCost(
        followers,
        changes,
        leader.messages / elapsed_s,
        leader.bytes / elapsed_s,
        leader.cpu / elapsed_s,
    )


def main() -> None:
    """Measure each number of followers and print the results."""
    parser = argparse.ArgumentParser(
        description="Measure the cost of non-voting members for a Raft leader."
    )
    parser.add_argument("--followers", type=int, nargs="+", default=list(FOLLOWER_COUNTS))
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--changes", type=float, default=0.0, help="proposed changes per second")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = [measure(count, options.seconds, options.changes) for count in options.followers]
    if options.json:
        print(json.dumps([asdict(row) for row in rows]))
        return
    for row in rows:
        print(f"{row.followers:5} followers, {row.changes:g} changes/s: {row.messages:8.0f} messages/s, "
              f"{row.bytes / 1000:8.1f} KB/s, {row.core:.2%} of a core")  # fmt: skip


if __name__ == "__main__":
    main()
