"""What the leader of the agreed log spends when every ingress follows it: the way without a tier of
distributors.

    python -m benchmarks.followers [--followers N ...] [--seconds S] [--changes RATE] [--json]

One leader, four other voters and N members without a vote, all in one process and in simulated
time, without sockets: messages are packed and read as on the wire. Prints messages and bytes that
the leader sends a second of simulated time, and the processor time that its deciding, packing and
reading take as a share of that time. No part of CI.
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
SIZES = (0, 100, 400, 1600)
BODY = bytes(300)  # of one change: a route's section
KEPT = 512  # applied entries before a state takes their place, as in fleet/member.py


def read(frame: bytes) -> messages.Message:
    """A frame's message; a state here is far too small to travel in parts."""
    message = messages.unpack(
        frame[: messages.FRAME_HEADER.size], frame[messages.FRAME_HEADER.size :]
    )
    assert not isinstance(message, messages.SnapshotChunk)
    return message


@dataclass(frozen=True, slots=True)
class Spent:
    """Of one size: what the leader sends a second, and the share of a core that it takes."""

    followers: int
    changes: float
    messages: float
    bytes: float
    core: float


class Leader:
    """The leader's core with its packing and reading; only its own processor time is counted."""

    def __init__(self, followers: int) -> None:
        self.core = RaftCore(
            VOTERS[0], VOTERS, PersistentState(), RaftTiming(), random.Random(1), 0.0
        )
        self.core.learners.update(f"follower{i:04}" for i in range(followers))
        self.messages = self.bytes = 0
        self.cpu = 0.0

    def carry_out(self, actions: list[Action]) -> list[tuple[str, bytes]]:
        began = time.process_time()
        frames = [(a.to, messages.pack(a.message)) for a in actions if isinstance(a, SendMessage)]
        for action in actions:
            if (
                isinstance(action, ApplyEntry)
                and action.index - self.core.log.snapshot_index >= KEPT
            ):
                self.core.compact(action.index, b"")
        self.cpu += time.process_time() - began
        self.messages += len(frames)
        self.bytes += sum(len(frame) for _, frame in frames)
        return frames

    def hear(self, now: float, frame: bytes) -> list[tuple[str, bytes]]:
        began = time.process_time()
        actions = self.core.step(now, read(frame))
        self.cpu += time.process_time() - began
        return self.carry_out(actions)

    def tick(self, now: float) -> list[tuple[str, bytes]]:
        began = time.process_time()
        actions = self.core.tick(now)
        self.cpu += time.process_time() - began
        return self.carry_out(actions)

    def propose(self, now: float) -> list[tuple[str, bytes]]:
        began = time.process_time()
        actions = self.core.propose(now, BODY)[1]
        self.cpu += time.process_time() - began
        return self.carry_out(actions)


def measure(followers: int, seconds: float, changes: float) -> Spent:
    leader = Leader(followers)
    names = [*VOTERS[1:], *leader.core.learners]
    others = {
        n: RaftCore(n, VOTERS, PersistentState(), RaftTiming(), random.Random(i), 0.0)
        for i, n in enumerate(names)
    }

    def exchange(now: float, frames: list[tuple[str, bytes]]) -> None:
        while frames:
            answers = list[bytes]()
            for to, frame in frames:
                for action in others[to].step(now, read(frame)):
                    if isinstance(action, SendMessage) and action.to == VOTERS[0]:
                        answers.append(messages.pack(action.message))
            frames = [frame for answer in answers for frame in leader.hear(now, answer)]

    now = 0.0
    while leader.core.role.value != "leader":
        now = leader.core.next_deadline()
        exchange(now, leader.tick(now))
    leader.messages = leader.bytes = 0
    leader.cpu, proposed, began = 0.0, 0, now
    while now < began + seconds * 1000.0:
        now = leader.core.next_deadline()
        exchange(now, leader.tick(now))
        while proposed < (now - began) / 1000.0 * changes:
            proposed += 1
            exchange(now, leader.propose(now))
    took = (now - began) / 1000.0
    return Spent(followers, changes, leader.messages / took, leader.bytes / took, leader.cpu / took)


def main() -> None:
    parser = argparse.ArgumentParser(description="what a leader spends on members that only follow")
    parser.add_argument("--followers", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--changes", type=float, default=0.0, help="a second")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = [measure(n, options.seconds, options.changes) for n in options.followers]
    if options.json:
        print(json.dumps([asdict(row) for row in rows]))
        return
    for row in rows:
        print(f"{row.followers:5} followers, {row.changes:g} changes/s: {row.messages:8.0f} messages/s, "
              f"{row.bytes / 1000:8.1f} KB/s, {row.core:.2%} of a core")  # fmt: skip


if __name__ == "__main__":
    main()
