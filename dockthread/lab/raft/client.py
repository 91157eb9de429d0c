"""A simulated client, which sends proposals and reads to leaders."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from dockthread.lab.raft.checker import RaftChecker
from dockthread.lab.raft.cluster import SimulatedCluster

MEAN_REQUEST_INTERVAL_MS: Final = 40.0
READ_PROBABILITY: Final = 0.3  # probability that a request is a read


@dataclass(frozen=True, slots=True)
class ProposedCommand:
    """A command that the client proposed.

    Attributes:
        number: Number of the command, starting at 1.
        at_ms: Time of the proposal.
        data: Content of the command.
    """

    number: int
    at_ms: float
    data: bytes


class SimulatedClient:
    """Sends requests at random intervals and remembers the commands that it proposed.

    Attributes:
        command_count: Number of commands proposed so far.
    """

    def __init__(self, cluster: SimulatedCluster, checker: RaftChecker) -> None:
        self._cluster = cluster
        self._checker = checker
        self.command_count = 0
        self._read_count = 0
        self._proposed_commands: list[ProposedCommand] = []

    def send_request(self) -> None:
        """Send a read or a command to a random leader, if there is one, and schedule the next."""
        cluster = self._cluster
        delay = cluster.rng.uniform(0.5, 1.5) * MEAN_REQUEST_INTERVAL_MS
        cluster.schedule(delay, self.send_request)
        leaders = cluster.running_leaders()
        if not leaders:
            return
        member, core = cluster.rng.choice(leaders)
        if cluster.rng.random() < READ_PROBABILITY:
            self._read_count += 1
            self._checker.read_requested(self._read_count)
            _, actions = core.read_index(cluster.now, self._read_count)
        else:
            self.command_count += 1
            data = b"c%d" % self.command_count
            self._proposed_commands.append(ProposedCommand(self.command_count, cluster.now, data))
            _, actions = core.propose(cluster.now, data)
        cluster.carry_out(member, actions)

    def first_command_after(self, number: int, until_ms: float) -> bytes | None:
        """Return the first command after `number` if it was proposed by `until_ms`, or None."""
        for command in self._proposed_commands:
            if command.number > number and command.at_ms <= until_ms:
                return command.data
        return None
