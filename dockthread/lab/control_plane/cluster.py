"""All processes of a simulated control plane, distributed over regions and zones."""

from __future__ import annotations

from typing import TypeVar

from dockthread.lab.control_plane.distributor import Distributor
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.ingress import Ingress
from dockthread.lab.control_plane.nodes import SimulatedProcess
from dockthread.lab.control_plane.voter import Voter

ProcessT = TypeVar("ProcessT", bound=SimulatedProcess)


class Cluster:
    """The processes: one voter per region, and distributors and ingresses in the zones.

    Attributes:
        voters: Voters, one per region.
        distributors: Distributors of all regions.
        ingresses: Ingresses of all regions.
        processes: All voters, then all distributors, then all ingresses.
        history_count: Number of histories so far; each loss of the log begins a new history.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        settings = environment.settings
        self.processes: list[SimulatedProcess] = []
        self.history_count = 1
        self.voters = [
            self._add_process(Voter, f"v-{region}", region, 0) for region in settings.regions
        ]
        self.distributors = self._add_to_each_region(
            Distributor, "d", settings.distributors_per_region
        )
        self.ingresses = self._add_to_each_region(Ingress, "i", settings.ingresses_per_region)
        for ingress in self.ingresses:
            ingress.has_cache = environment.rng.random() < 0.5
        peers = {voter.name: voter for voter in self.voters}
        for voter in self.voters:
            voter.peers = peers
        environment.voter_names = tuple(peers)
        environment.distributors = self.distributors

    def _add_process(
        self, process_type: type[ProcessT], name: str, region: str, index: int
    ) -> ProcessT:
        zone = f"{region}-{index % self._environment.settings.zones_per_region}"
        process = process_type(self._environment, name, region, zone)
        self.processes.append(process)
        self._environment.processes[name] = process
        return process

    def _add_to_each_region(
        self, process_type: type[ProcessT], prefix: str, count: int
    ) -> list[ProcessT]:
        """Create `count` processes in each region, in its zones in turn."""
        return [
            self._add_process(process_type, f"{prefix}-{region}-{index}", region, index)
            for region in self._environment.settings.regions
            for index in range(count)
        ]

    def latest_revision(self) -> int:
        """Return the highest revision that any voter has accepted."""
        return max(voter.state_machine.table.revision for voter in self.voters)
