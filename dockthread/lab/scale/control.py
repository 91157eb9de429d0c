"""The configuration side of an ingress of a run: the program's own receiver, and a witness before
its owner.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.lab.scale.plan import REGIONS, zone_name
from dockthread.lab.scale.witness import Observed

Alteration = Callable[[Sequence[Resource]], Sequence[Resource]]  # a planted bug


def options_of(number: int, servers: Sequence[str], key_file: str) -> ControlOptions:
    """An ingress's part, as the section [control] would say it."""
    region, zone = f"region-{number % REGIONS}", zone_name(number)
    return ControlOptions(
        role="ingress", servers=tuple(servers), region=region, zone=zone, key_file=key_file
    )


def section_of(options: ControlOptions) -> str:
    """The same as text, for a file."""
    return (
        f"[control]\nrole = ingress\nservers = {', '.join(options.servers)}\nregion = {options.region}\n"
        f"zone = {options.zone}\nkey_file = {options.key_file}\n"
    )


class ControlWitness(Observed):
    """Stands between an ingress's client and what puts resources in force, and notes what has
    passed.
    """

    def observe(self, controlled: IngressResourceApplier, alter: Alteration | None = None) -> None:
        """From now on; at once after it was opened, before anything can have come."""
        self._owner, self._alter, self._highest = controlled, alter, 0
        self._refused = set[str]()
        controlled.client.batches.applier = self

    # What the client tells its owner

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Pass changes on, altered where there is a planted bug, and note what was older."""
        applied = changes if self._alter is None else self._alter(changes)
        rejections = self._owner.apply(applied)
        for one in applied:  # what was refused comes again at the end of its batch
            if (
                one.body is not None
                and one.revision < self._highest
                and one.name not in self._refused
            ):
                self.older.append([one.name, self._highest, one.revision])
        self._refused |= {one.name for one in rejections}
        self._highest = max([self._highest, *(one.revision for one in changes)])
        return rejections

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """What the owner holds under a key."""
        return self._owner.applied_resource(kind, name)

    def on_batch_applied(self) -> None:
        """All that was given has been dealt with: note how far that is."""
        self._owner.on_batch_applied()
        self.come_to(max(self._highest, self._revision))
