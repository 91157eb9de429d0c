"""State that all simulated processes share: clock, random generator, network and checker."""

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
from dockthread.lab.control_plane.checker import ControlPlaneChecker
from dockthread.lab.control_plane.network import Endpoint, Network, SimulatedClock
from dockthread.lab.control_plane.seeded_defects import SeededDefect
from dockthread.lab.control_plane.settings import RESOURCE_KINDS, SimulationSettings

CHUNK_OVERHEAD_FACTOR = 2.0
"""Factor by which a chunk, including its overhead, may exceed the configured chunk size."""


def _accept_any(_name: str, _body: bytes) -> str:
    """Accept any body, as voters of a simulation have no schemas."""
    return ""


class Environment:
    """Shared state of all processes of one run, and factories for their components.

    Attributes:
        settings: Size and limits of the control plane.
        defect: Classes of the components, at least one of them defective if the run has a defect.
        rng: The only source of randomness, so that the seed determines the run.
        clock: Simulated time.
        network: Connections between processes.
        checker: Checks the rules.
        record: Lines that describe the events of the run.
        processes: All processes by name.
        voter_names: Names of the voters.
        distributors: All distributors.
    """

    def __init__(self, seed: int, settings: SimulationSettings, defect: SeededDefect) -> None:
        self.settings = settings
        self.defect = defect
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.network = Network(self.clock, self.rng)
        limits = settings.fan_out_limits
        max_chunk_bytes = limits.chunk_bytes * CHUNK_OVERHEAD_FACTOR
        self.checker = ControlPlaneChecker(
            limits.snapshot_burst, limits.snapshot_rate, max_chunk_bytes
        )
        self.record: list[str] = []
        self.processes: dict[str, Endpoint] = {}
        self.voter_names: tuple[str, ...] = ()
        self.distributors: Sequence[Endpoint] = ()

    def record_event(self, text: str) -> None:
        """Add a line with the current time to the record."""
        self.record.append(f"{self.clock.now:11.3f} {text}")

    def voter_servers(self) -> list[CandidateServer]:
        """Return the servers that a distributor can subscribe to."""
        return [CandidateServer(name) for name in self.voter_names]

    def distributor_servers(self, region: str) -> list[CandidateServer]:
        """Return the servers that an ingress can subscribe to, preferring those in its region."""
        return [
            CandidateServer(distributor.name, int(distributor.region != region))
            for distributor in self.distributors
        ]

    def make_subscriber(
        self,
        process: Endpoint,
        servers: Sequence[CandidateServer],
        table: ResourceTable,
        rejections: Sequence[Rejection] = (),
    ) -> Subscriber:
        """Create the subscriber of a process; it starts with `table`."""
        rng = random.Random(self.rng.random())
        settings = SubscriberSettings(
            process.name, process.region, process.zone, self.settings.subscriber_times
        )
        return self.defect.subscriber(settings, servers, rng, self.clock.now, table, rejections)

    def make_fan_out(self, table: ResourceTable) -> FanOut:
        """Create a fan-out that serves `table`."""
        rng = random.Random(self.rng.random())
        return self.defect.fan_out(table, self.settings.fan_out_limits, rng, b"", self.clock.now)

    def make_state_machine(self) -> PublishStateMachine:
        """Create an empty state machine for a voter."""
        rng = random.Random(self.rng.random())
        validators = dict.fromkeys(RESOURCE_KINDS, _accept_any)
        return self.defect.state_machine(
            validators, rng, self.settings.max_tokens, self.settings.max_tombstones
        )
