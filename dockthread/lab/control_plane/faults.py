"""What goes wrong in a simulated distribution, drawn from its seed."""

from __future__ import annotations

from dataclasses import replace
from itertools import combinations
from typing import TYPE_CHECKING, Final

from dockthread.lab.control_plane.nodes import Process

if TYPE_CHECKING:
    from dockthread.lab.control_plane.simulation import World

FAULTS: Final = (
    "delay", "break", "kill", "stall", "wave", "zone", "regions", "distributors", "voters", "slow", "spoil", "rot",
    "uplink", "history",
)  # fmt: skip
# one at a time
SINGLE: Final = ("break", "kill", "stall", "wave", "zone", "voter", "slow", "uplink", "region")
LAST_HISTORY: Final = 18_000.0  # ms into a play
STALL: Final = (100.0, 12_000.0)  # ms for which a process is held still
HOUR: Final = 3_600_000.0  # ms
RESTART: Final = (50.0, 3_000.0)  # ms until a process that died is started
UPLINK: Final = (2_000.0, 12_000.0)  # ms for which a distributor reaches no voter
QUICK: Final = (50.0, 300.0)  # ms until all of a wave are started
AWAY: Final = (500.0, 12_000.0)  # ms for which a zone or the links between regions are lost


class Faults:
    """Carries them out; `alone_at` tells from when on an ingress is left alone by them."""

    def __init__(self, world: World) -> None:
        self._world, self._rng = world, world.rng
        self.alone_at: dict[str, float] = {}

    def strike(self, kind: str) -> None:
        """One fault, which ends by itself."""
        self._world.note(f"fault {kind}")
        getattr(self, f"_{kind}")()

    def heal(self) -> None:
        """All faults end."""
        world, network = self._world, self._world.network
        network.cut_regions.clear()
        network.cut_links.clear()
        network.dark_zones.clear()
        network.slow.clear()
        for connection in network.connections.values():
            connection.slow = 0.0
        network.delay, network.spoil = 5.0, 0.0
        for process in world.processes.values():
            process.go_on(process.life)
            process.start()

    def _touch(self, process: Process, until: float) -> None:
        """The fault concerns this process itself until then."""
        self.alone_at[process.name] = max(self.alone_at.get(process.name, 0.0), until)

    def _restart(self, process: Process, within: tuple[float, float] = RESTART) -> None:
        wait = self._rng.uniform(*within)
        process.kill()
        self._touch(process, self._world.clock.now + wait)
        self._world.clock.after(wait, process.start)

    def _any(self) -> Process:
        return self._rng.choice(list(self._world.processes.values()))

    def _delay(self) -> None:
        self._world.network.delay = self._rng.choice((1.0, 5.0, 50.0))

    def _break(self) -> None:
        for _ in range(self._rng.randrange(1, 6)):
            self._world.network.break_some()

    def _kill(self) -> None:
        self._restart(self._any())

    def _stall(self) -> None:
        process, lasts = self._any(), self._rng.uniform(*STALL)
        process.stall()
        self._touch(process, self._world.clock.now + lasts)
        self._world.clock.after(lasts, process.go_on, process.life)

    def _wave(self) -> None:
        """Many ingresses are restarted at once."""
        share, within = self._rng.choice((0.1, 0.3, 1.0)), self._rng.choice((QUICK, RESTART))
        for ingress in self._world.ingresses:
            if self._rng.random() < share:
                self._restart(ingress, within)

    def _zone(self) -> None:
        zone = self._rng.choice(
            sorted({process.zone for process in self._world.processes.values()})
        )
        lasts, power = self._rng.uniform(*AWAY), self._rng.random() < 0.5
        self._world.network.dark_zones.add(zone)
        for process in self._world.processes.values():
            if process.zone == zone:
                self._touch(process, self._world.clock.now + lasts)
                if power:
                    process.kill()
                    self._world.clock.after(lasts, process.start)
        self._world.clock.after(lasts, self._world.network.dark_zones.discard, zone)

    def _regions(self) -> None:
        self._cut(self._rng.uniform(*AWAY))

    def hour(self) -> None:
        """Regions are cut for an hour."""
        self._cut(HOUR)

    def _cut(self, lasts: float) -> None:
        pairs = [frozenset(pair) for pair in combinations(self._world.settings.regions, 2)]
        cut = set(self._rng.sample(pairs, self._rng.randrange(1, len(pairs) + 1)))
        self._world.network.cut_regions |= cut
        self._world.clock.after(lasts, self._world.network.cut_regions.difference_update, cut)

    def _distributors(self) -> None:
        """All of them are lost."""
        for distributor in self._world.distributors:
            self._restart(distributor)

    def _uplink(self) -> None:
        """A distributor reaches no voter, and its ingresses reach it."""
        distributor = self._rng.choice(self._world.distributors)
        links = {frozenset((distributor.name, voter.name)) for voter in self._world.voters}
        self._world.network.cut_links |= links
        wait = self._rng.uniform(*UPLINK)
        self._world.clock.after(wait, self._world.network.cut_links.difference_update, links)

    def _region(self) -> None:
        """One region is cut off from the others."""
        region, lasts = self._rng.choice(self._world.settings.regions), self._rng.uniform(*AWAY)
        cut = {
            frozenset((region, other)) for other in self._world.settings.regions if other != region
        }
        self._world.network.cut_regions |= cut
        self._world.clock.after(lasts, self._world.network.cut_regions.difference_update, cut)
        for process in self._world.processes.values():
            if process.region == region:
                self._touch(process, self._world.clock.now + lasts)

    def _voter(self) -> None:
        self._restart(self._rng.choice(self._world.voters))

    def _voters(self) -> None:
        for voter in self._world.voters:
            if self._rng.random() < 0.7:
                self._restart(voter)

    def _history(self) -> None:
        """All voters lose their disks, and staff begin a new log. Once a play, with time left for
        changes in it.
        """
        world = self._world
        if world.histories > 1 or world.clock.now > LAST_HISTORY:
            return
        world.histories += 1
        world.checker.began_anew()
        for voter in world.voters:
            voter.lose_disk()
            self._restart(voter)

    def _slow(self) -> None:
        ingress = self._rng.choice(self._world.ingresses)
        self._world.network.slow[ingress.name] = self._rng.uniform(0.05, 0.8)
        self._world.network.break_some()
        self._touch(ingress, float("inf"))

    def _spoil(self) -> None:
        self._world.network.spoil = 0.02
        self._world.clock.after(500.0, setattr, self._world.network, "spoil", 0.0)

    def _rot(self) -> None:
        """A copy on a disk is not what was written."""
        ingress = self._rng.choice(self._world.ingresses)
        cache = ingress.cache
        if cache is None or not cache.entries:
            return
        lost = self._rng.choice(
            [entry for entry in cache.entries if entry.revision < cache.revision] or [None]
        )
        if lost is None:
            return
        entries = [entry for entry in cache.entries if entry is not lost]
        in_force = {
            key: held for key, held in cache.in_force.items() if key != (lost.kind, lost.name)
        }
        ingress.cache = replace(cache, entries=tuple(entries), in_force=in_force)
        self._restart(ingress)
