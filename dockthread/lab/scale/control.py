"""The configuration side of an ingress in a run: its options, and a recorder of applied changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.lab.scale.plan import REGIONS, zone_name
from dockthread.lab.scale.witness import Observed

# How a planted bug changes the resources before they are applied.
Alteration = Callable[[Sequence[Resource]], Sequence[Resource]]


def options_of(number: int, servers: Sequence[str], key_file: str) -> ControlOptions:
    """Return the control options of an ingress, as its [control] section would give them."""
    region, zone = f"region-{number % REGIONS}", zone_name(number)
    return ControlOptions(
        role="ingress", servers=tuple(servers), region=region, zone=zone, key_file=key_file
    )


def section_of(options: ControlOptions) -> str:
    """Format the options as the [control] section of a configuration file."""
    return (
        f"[control]\nrole = ingress\nservers = {', '.join(options.servers)}\nregion = {options.region}\n"
        f"zone = {options.zone}\nkey_file = {options.key_file}\n"
    )


class ControlWitness(Observed):
    """Records the changes that an ingress's configuration client passes to its applier."""

    def observe(self, controlled: IngressResourceApplier, alter: Alteration | None = None) -> None:
        """Insert the recorder between the client and its applier.

        Must be called right after the applier is opened, before any change can have arrived.
        """
        self._owner, self._alter, self._highest = controlled, alter, 0
        self._refused = set[str]()
        controlled.client.batches.applier = self

    # Methods that the client calls on its applier

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Pass on the changes, altered by a planted bug, and record older versions."""
        applied = changes if self._alter is None else self._alter(changes)
        rejections = self._owner.apply(applied)
        # A refused resource is delivered again at the end of its batch, so an older version of it
        # is no error.
        for one in applied:
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
        """Return the resource that the applier holds under a key."""
        return self._owner.applied_resource(kind, name)

    def on_batch_applied(self) -> None:
        """Record the revision reached once a batch has been applied."""
        self._owner.on_batch_applied()
        self.come_to(max(self._highest, self._revision))
