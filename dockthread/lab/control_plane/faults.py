"""Injects faults into a simulated control plane; the seed determines every random choice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import combinations
from typing import Final, NamedTuple

from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.nodes import SimulatedProcess


class UniformRange(NamedTuple):
    """Bounds of a uniformly drawn value, in ms."""

    minimum: float
    maximum: float


OVERLAPPING_FAULTS: Final = (
    "delay",
    "break",
    "kill",
    "stall",
    "wave",
    "zone",
    "regions",
    "distributors",
    "voters",
    "slow",
    "spoil",
    "rot",
    "uplink",
    "history",
)
"""Faults of scenarios in which many faults overlap.

The order affects which faults a seed draws, so it must stay the same.
"""
SINGLE_FAULTS: Final = (
    "break",
    "kill",
    "stall",
    "wave",
    "zone",
    "voter",
    "slow",
    "uplink",
    "region",
)
"""Faults of the scenario that injects one fault at a time."""
HOUR_MS: Final = 3_600_000.0
"""One hour in ms."""
LATEST_HISTORY_LOSS: Final = 18_000.0
"""Latest time at which the log may be lost, in ms, so that changes follow in the new history."""
STALL_DURATION: Final = UniformRange(100.0, 12_000.0)
"""Duration for which a process is stalled, in ms."""
RESTART_DELAY: Final = UniformRange(50.0, 3_000.0)
"""Delay before a killed process is started again, in ms."""
QUICK_RESTART_DELAY: Final = UniformRange(50.0, 300.0)
"""Delay before the ingresses of a quick restart wave are started again, in ms."""
UPLINK_CUT_DURATION: Final = UniformRange(2_000.0, 12_000.0)
"""Duration for which a distributor cannot reach any voter, in ms."""
OUTAGE_DURATION: Final = UniformRange(500.0, 12_000.0)
"""Duration of the outage of a zone or of the links between regions, in ms."""
CORRUPTION_DURATION: Final = 500.0
"""Duration for which frames are corrupted, in ms."""
CORRUPTION_RATE: Final = 0.02
"""Probability that a frame is corrupted during the fault `spoil`."""
MEAN_QUEUEING_DELAYS: Final = (1.0, 5.0, 50.0)
"""Mean queueing delays that the fault `delay` chooses from, in ms."""
RESTART_WAVE_FRACTIONS: Final = (0.1, 0.3, 1.0)
"""Fractions of the ingresses that a restart wave restarts."""
MAX_BROKEN_CONNECTIONS: Final = 5
"""Maximum number of connections that break at the same time."""
VOTER_RESTART_PROBABILITY: Final = 0.7
"""Probability that the fault `voters` restarts a given voter."""
SLOW_TIME_PER_BYTE: Final = UniformRange(0.05, 0.8)
"""Transfer time per byte to a slow ingress, in ms."""


class FaultInjector:
    """Injects faults into a cluster; most of them end by themselves.

    It has more than twenty methods because each kind of fault has its own short method.

    Attributes:
        unaffected_since: Time at which the last fault of a process itself ends, by process name.
    """

    def __init__(self, environment: Environment, cluster: Cluster) -> None:
        self._environment = environment
        self._network = environment.network
        self._clock = environment.clock
        self._rng = environment.rng
        self._cluster = cluster
        self.unaffected_since: dict[str, float] = {}
        self._handlers: dict[str, Callable[[], None]] = {
            "delay": self._change_delay,
            "break": self._break_connections,
            "kill": self._restart_random_process,
            "stall": self._stall_random_process,
            "wave": self._restart_ingresses,
            "zone": self._isolate_zone,
            "regions": self._cut_region_pairs,
            "region": self._isolate_region,
            "distributors": self._restart_distributors,
            "voter": self._restart_random_voter,
            "voters": self._restart_voters,
            "slow": self._slow_ingress,
            "spoil": self._corrupt_frames,
            "rot": self._damage_cache,
            "uplink": self._cut_uplink,
            "history": self._lose_history,
        }

    def inject(self, fault: str) -> None:
        """Inject a fault."""
        self._environment.record_event(f"fault {fault}")
        self._handlers[fault]()

    def end_all(self) -> None:
        """End all faults: heal the network, and resume and start all processes."""
        self._network.heal()
        for process in self._cluster.processes:
            process.resume(process.incarnation)
            process.start()

    def cut_regions_for_hour(self) -> None:
        """Cut random pairs of regions from each other for an hour."""
        self._cut_region_pairs_for(HOUR_MS)

    def _mark_affected(self, process: SimulatedProcess, until: float) -> None:
        """Record that a fault affects a process itself until a time."""
        previous_end = self.unaffected_since.get(process.name, 0.0)
        self.unaffected_since[process.name] = max(previous_end, until)

    def _restart(
        self, process: SimulatedProcess, delay_range: UniformRange = RESTART_DELAY
    ) -> None:
        delay = self._rng.uniform(*delay_range)
        process.kill()
        self._mark_affected(process, self._clock.now + delay)
        self._clock.call_later(delay, process.start)

    def _random_process(self) -> SimulatedProcess:
        return self._rng.choice(self._cluster.processes)

    def _change_delay(self) -> None:
        self._network.mean_queueing_delay = self._rng.choice(MEAN_QUEUEING_DELAYS)

    def _break_connections(self) -> None:
        for _ in range(self._rng.randrange(1, MAX_BROKEN_CONNECTIONS + 1)):
            self._network.break_one()

    def _restart_random_process(self) -> None:
        self._restart(self._random_process())

    def _stall_random_process(self) -> None:
        process = self._random_process()
        duration = self._rng.uniform(*STALL_DURATION)
        process.stall()
        self._mark_affected(process, self._clock.now + duration)
        self._clock.call_later(duration, process.resume, process.incarnation)

    def _restart_ingresses(self) -> None:
        """Restart a random part of the ingresses in a short time."""
        fraction = self._rng.choice(RESTART_WAVE_FRACTIONS)
        delay_range = self._rng.choice((QUICK_RESTART_DELAY, RESTART_DELAY))
        for ingress in self._cluster.ingresses:
            if self._rng.random() < fraction:
                self._restart(ingress, delay_range)

    def _isolate_zone(self) -> None:
        """Isolate a zone from the network, and with probability 0.5 kill its processes as well."""
        zones = sorted({process.zone for process in self._cluster.processes})
        zone = self._rng.choice(zones)
        duration = self._rng.uniform(*OUTAGE_DURATION)
        loses_power = self._rng.random() < 0.5
        self._network.isolated_zones.add(zone)
        for process in self._cluster.processes:
            if process.zone != zone:
                continue
            self._mark_affected(process, self._clock.now + duration)
            if loses_power:
                process.kill()
                self._clock.call_later(duration, process.start)
        self._clock.call_later(duration, self._network.isolated_zones.discard, zone)

    def _cut_region_pairs(self) -> None:
        self._cut_region_pairs_for(self._rng.uniform(*OUTAGE_DURATION))

    def _cut_region_pairs_for(self, duration: float) -> None:
        """Cut random pairs of regions from each other."""
        pairs = [frozenset(pair) for pair in combinations(self._environment.settings.regions, 2)]
        cut_pairs = set(self._rng.sample(pairs, self._rng.randrange(1, len(pairs) + 1)))
        self._network.cut_region_pairs |= cut_pairs
        self._clock.call_later(
            duration, self._network.cut_region_pairs.difference_update, cut_pairs
        )

    def _isolate_region(self) -> None:
        """Cut one region off from all other regions."""
        regions = self._environment.settings.regions
        region = self._rng.choice(regions)
        duration = self._rng.uniform(*OUTAGE_DURATION)
        cut_pairs = {frozenset((region, other)) for other in regions if other != region}
        self._network.cut_region_pairs |= cut_pairs
        self._clock.call_later(
            duration, self._network.cut_region_pairs.difference_update, cut_pairs
        )
        for process in self._cluster.processes:
            if process.region == region:
                self._mark_affected(process, self._clock.now + duration)

    def _restart_distributors(self) -> None:
        for distributor in self._cluster.distributors:
            self._restart(distributor)

    def _cut_uplink(self) -> None:
        """Cut a distributor off from all voters, while its ingresses can still reach it."""
        distributor = self._rng.choice(self._cluster.distributors)
        links = {frozenset((distributor.name, voter.name)) for voter in self._cluster.voters}
        self._network.cut_links |= links
        duration = self._rng.uniform(*UPLINK_CUT_DURATION)
        self._clock.call_later(duration, self._network.cut_links.difference_update, links)

    def _restart_random_voter(self) -> None:
        self._restart(self._rng.choice(self._cluster.voters))

    def _restart_voters(self) -> None:
        for voter in self._cluster.voters:
            if self._rng.random() < VOTER_RESTART_PROBABILITY:
                self._restart(voter)

    def _lose_history(self) -> None:
        """Lose the disks of all voters, so that they begin a new log; at most once per run."""
        if self._cluster.history_count > 1 or self._clock.now > LATEST_HISTORY_LOSS:
            return
        self._cluster.history_count += 1
        self._environment.checker.on_history_lost()
        for voter in self._cluster.voters:
            voter.lose_disk()
            self._restart(voter)

    def _slow_ingress(self) -> None:
        ingress = self._rng.choice(self._cluster.ingresses)
        self._network.time_per_byte[ingress.name] = self._rng.uniform(*SLOW_TIME_PER_BYTE)
        self._network.break_one()
        self._mark_affected(ingress, float("inf"))

    def _corrupt_frames(self) -> None:
        self._network.corruption_rate = CORRUPTION_RATE
        self._clock.call_later(CORRUPTION_DURATION, self._network.stop_corruption)

    def _damage_cache(self) -> None:
        """Remove an entry from the cache of an ingress, and restart the ingress."""
        ingress = self._rng.choice(self._cluster.ingresses)
        cache = ingress.cache
        if cache is None or not cache.entries:
            return
        older_entries = [entry for entry in cache.entries if entry.revision < cache.revision]
        removed_entry = self._rng.choice(older_entries or [None])
        if removed_entry is None:
            return
        entries = tuple(entry for entry in cache.entries if entry is not removed_entry)
        applied = {
            key: resource
            for key, resource in cache.applied.items()
            if key != (removed_entry.kind, removed_entry.name)
        }
        ingress.cache = replace(cache, entries=entries, applied=applied)
        self._restart(ingress)
