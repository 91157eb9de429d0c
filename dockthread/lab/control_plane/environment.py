"""What all simulated processes share: time, chance, network, checker, record and settings."""

from __future__ import annotations

import random
from collections.abc import Sequence

from dockthread.control_plane.fanout import FanOut
from dockthread.control_plane.messages import Rejection
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.lab.control_plane.checker import Checker
from dockthread.lab.control_plane.network import Endpoint, Network, SimulatedClock
from dockthread.lab.control_plane.seeded_defects import SeededDefect
from dockthread.lab.control_plane.settings import KINDS, SimulationSettings

CHUNK_TOLERANCE = 2.0
"""Times the limit that a chunk may have with its overhead."""


def _accept_any(_name: str, _body: bytes) -> str:
    """Reject nothing: the voters of a simulation know no schemas."""
    return ""


class Environment:
    """The surroundings of simulated processes, which it can look up by name.

    Attributes:
        settings: Size and limits.
        defect: Classes of the simulated parts.
        rng: The one source of chance, so that a seed determines a run.
        clock: Simulated time.
        network: Connections between processes.
        checker: Judges the run.
        record: Lines of the run.
        processes: All processes by name.
        voter_names: Names of the voters.
        distributors: The distributors.
    """

    def __init__(self, seed: int, settings: SimulationSettings, defect: SeededDefect) -> None:
        self.settings = settings
        self.defect = defect
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.network = Network(self.clock, self.rng)
        limits = settings.limits
        chunk = limits.chunk_bytes * CHUNK_TOLERANCE
        self.checker = Checker(limits.snapshot_burst, limits.snapshot_rate, chunk)
        self.record: list[str] = []
        self.processes: dict[str, Endpoint] = {}
        self.voter_names: tuple[str, ...] = ()
        self.distributors: Sequence[Endpoint] = ()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.record.append(f"{self.clock.now:11.3f} {text}")

    def voter_servers(self) -> list[CandidateServer]:
        """Return the servers of a distributor."""
        return [CandidateServer(name) for name in self.voter_names]

    def distributor_servers(self, region: str) -> list[CandidateServer]:
        """Return the servers of an ingress; those of its region are near."""
        return [CandidateServer(one.name, int(one.region != region)) for one in self.distributors]

    def make_subscriber(
        self,
        process: Endpoint,
        servers: Sequence[CandidateServer],
        table: ResourceTable,
        rejections: Sequence[Rejection] = (),
    ) -> Subscriber:
        """Return the subscriber of a process that starts with `table`."""
        rng = random.Random(self.rng.random())
        settings = SubscriberSettings(
            process.name, process.region, process.zone, self.settings.times
        )
        return self.defect.subscriber(settings, servers, rng, self.clock.now, table, rejections)

    def make_fan_out(self, table: ResourceTable) -> FanOut:
        """Return a fan-out of `table`."""
        rng = random.Random(self.rng.random())
        return self.defect.fan_out(table, self.settings.limits, rng, b"", self.clock.now)

    def make_state_machine(self) -> PublishStateMachine:
        """Return the empty state machine of a voter."""
        rng = random.Random(self.rng.random())
        validators = dict.fromkeys(KINDS, _accept_any)
        return self.defect.state_machine(
            validators, rng, self.settings.max_tokens, self.settings.max_tombstones
        )
