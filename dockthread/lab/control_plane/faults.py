"""Injects faults into a simulated control plane; the seed determines every random choice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import combinations
from typing import Final, NamedTuple

from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.nodes import SimulatedProcess


class Range(NamedTuple):
    """Bounds of a uniformly drawn value, in ms."""

    shortest: float
    longest: float


FAULTS: Final = (
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
HOUR: Final = 3_600_000.0
"""One hour in ms."""
LAST_HISTORY: Final = 18_000.0
"""Latest time in ms at which the log may be lost, so that changes in the new history follow."""
STALL_TIME: Final = Range(100.0, 12_000.0)
"""Duration for which a process is stalled."""
RESTART_TIME: Final = Range(50.0, 3_000.0)
"""Delay before a killed process is started again."""
QUICK_RESTART_TIME: Final = Range(50.0, 300.0)
"""Delay before the ingresses of a quick restart wave are started again."""
UPLINK_TIME: Final = Range(2_000.0, 12_000.0)
"""Duration for which a distributor cannot reach any voter."""
OUTAGE_TIME: Final = Range(500.0, 12_000.0)
"""Duration of the outage of a zone or of the links between regions."""
CORRUPTION_TIME: Final = 500.0
"""Duration for which frames are corrupted, in ms."""
CORRUPTION_RATE: Final = 0.02
"""Probability that a frame is corrupted while frame corruption lasts."""
MEAN_DELAYS: Final = (1.0, 5.0, 50.0)
"""Mean queueing delays that the fault `delay` chooses from, in ms."""
WAVE_SHARES: Final = (0.1, 0.3, 1.0)
"""Fractions of the ingresses that a restart wave restarts."""
MAX_BROKEN: Final = 5
"""Maximum number of connections that break at the same time."""
VOTER_RESTART_SHARE: Final = 0.7
"""Probability that a voter is restarted when several voters are."""
SLOWNESS: Final = Range(0.05, 0.8)
"""Transfer time per byte to a slow ingress, in ms."""


class FaultInjector:
    """Injects faults into a cluster; most of them end by themselves.

    It has more than twenty methods because each kind of fault has a short method of its own.

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
            "kill": self._kill_one,
            "stall": self._stall_one,
            "wave": self._restart_ingresses,
            "zone": self._lose_zone,
            "regions": self._cut_some_regions,
            "region": self._isolate_region,
            "distributors": self._restart_distributors,
            "voter": self._restart_one_voter,
            "voters": self._restart_voters,
            "slow": self._slow_ingress,
            "spoil": self._corrupt_frames,
            "rot": self._damage_cache,
            "uplink": self._cut_uplink,
            "history": self._lose_history,
        }

    def strike(self, fault: str) -> None:
        """Inject a fault."""
        self._environment.note(f"fault {fault}")
        self._handlers[fault]()

    def heal(self) -> None:
        """End all faults: heal the network, and resume and start all processes."""
        self._network.heal()
        for process in self._cluster.processes:
            process.resume(process.incarnation)
            process.start()

    def cut_regions_for_hour(self) -> None:
        """Cut random pairs of regions from each other for an hour."""
        self._cut_regions(HOUR)

    def _affect(self, process: SimulatedProcess, until: float) -> None:
        """Record that a fault affects a process itself until a time."""
        previous = self.unaffected_since.get(process.name, 0.0)
        self.unaffected_since[process.name] = max(previous, until)

    def _restart(self, process: SimulatedProcess, within: Range = RESTART_TIME) -> None:
        delay = self._rng.uniform(*within)
        process.kill()
        self._affect(process, self._clock.now + delay)
        self._clock.call_later(delay, process.start)

    def _draw_process(self) -> SimulatedProcess:
        return self._rng.choice(self._cluster.processes)

    def _change_delay(self) -> None:
        self._network.mean_delay = self._rng.choice(MEAN_DELAYS)

    def _break_connections(self) -> None:
        for _ in range(self._rng.randrange(1, MAX_BROKEN + 1)):
            self._network.break_one()

    def _kill_one(self) -> None:
        self._restart(self._draw_process())

    def _stall_one(self) -> None:
        process = self._draw_process()
        duration = self._rng.uniform(*STALL_TIME)
        process.stall()
        self._affect(process, self._clock.now + duration)
        self._clock.call_later(duration, process.resume, process.incarnation)

    def _restart_ingresses(self) -> None:
        """Restart a random part of the ingresses in a short time."""
        share = self._rng.choice(WAVE_SHARES)
        within = self._rng.choice((QUICK_RESTART_TIME, RESTART_TIME))
        for ingress in self._cluster.ingresses:
            if self._rng.random() < share:
                self._restart(ingress, within)

    def _lose_zone(self) -> None:
        """Isolate a zone from the network, and with probability 0.5 kill its processes as well."""
        zones = sorted({process.zone for process in self._cluster.processes})
        zone = self._rng.choice(zones)
        duration = self._rng.uniform(*OUTAGE_TIME)
        loses_power = self._rng.random() < 0.5
        self._network.dark_zones.add(zone)
        for process in self._cluster.processes:
            if process.zone != zone:
                continue
            self._affect(process, self._clock.now + duration)
            if loses_power:
                process.kill()
                self._clock.call_later(duration, process.start)
        self._clock.call_later(duration, self._network.dark_zones.discard, zone)

    def _cut_some_regions(self) -> None:
        self._cut_regions(self._rng.uniform(*OUTAGE_TIME))

    def _cut_regions(self, duration: float) -> None:
        """Cut random pairs of regions from each other."""
        pairs = [frozenset(pair) for pair in combinations(self._environment.settings.regions, 2)]
        cut = set(self._rng.sample(pairs, self._rng.randrange(1, len(pairs) + 1)))
        self._network.cut_regions |= cut
        self._clock.call_later(duration, self._network.cut_regions.difference_update, cut)

    def _isolate_region(self) -> None:
        """Cut one region off from all other regions."""
        regions = self._environment.settings.regions
        region = self._rng.choice(regions)
        duration = self._rng.uniform(*OUTAGE_TIME)
        cut = {frozenset((region, other)) for other in regions if other != region}
        self._network.cut_regions |= cut
        self._clock.call_later(duration, self._network.cut_regions.difference_update, cut)
        for process in self._cluster.processes:
            if process.region == region:
                self._affect(process, self._clock.now + duration)

    def _restart_distributors(self) -> None:
        for distributor in self._cluster.distributors:
            self._restart(distributor)

    def _cut_uplink(self) -> None:
        """Cut a distributor off from all voters, while its ingresses can still reach it."""
        distributor = self._rng.choice(self._cluster.distributors)
        links = {frozenset((distributor.name, voter.name)) for voter in self._cluster.voters}
        self._network.cut_links |= links
        duration = self._rng.uniform(*UPLINK_TIME)
        self._clock.call_later(duration, self._network.cut_links.difference_update, links)

    def _restart_one_voter(self) -> None:
        self._restart(self._rng.choice(self._cluster.voters))

    def _restart_voters(self) -> None:
        for voter in self._cluster.voters:
            if self._rng.random() < VOTER_RESTART_SHARE:
                self._restart(voter)

    def _lose_history(self) -> None:
        """Lose the disks of all voters, so that they begin a new log; at most once per run."""
        if self._cluster.histories > 1 or self._clock.now > LAST_HISTORY:
            return
        self._cluster.histories += 1
        self._environment.checker.on_history_lost()
        for voter in self._cluster.voters:
            voter.lose_disk()
            self._restart(voter)

    def _slow_ingress(self) -> None:
        ingress = self._rng.choice(self._cluster.ingresses)
        self._network.slowness[ingress.name] = self._rng.uniform(*SLOWNESS)
        self._network.break_one()
        self._affect(ingress, float("inf"))

    def _corrupt_frames(self) -> None:
        self._network.corruption_rate = CORRUPTION_RATE
        self._clock.call_later(CORRUPTION_TIME, self._network.stop_corruption)

    def _damage_cache(self) -> None:
        """Remove an entry from the cache of an ingress, and restart the ingress."""
        ingress = self._rng.choice(self._cluster.ingresses)
        cache = ingress.cache
        if cache is None or not cache.entries:
            return
        older = [entry for entry in cache.entries if entry.revision < cache.revision]
        lost = self._rng.choice(older or [None])
        if lost is None:
            return
        entries = tuple(entry for entry in cache.entries if entry is not lost)
        applied = {
            key: resource
            for key, resource in cache.applied.items()
            if key != (lost.kind, lost.name)
        }
        ingress.cache = replace(cache, entries=entries, applied=applied)
        self._restart(ingress)
