"""The configuration side of an ingress in a run: its options, and a recorder of applied changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from dockthread.control_plane.ingress import IngressResourceApplier
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.lab.scale.plan import REGIONS, zone_name
from dockthread.lab.scale.recorder import ChangeRecorder

# A seeded defect: returns the altered resources, which are then applied.
ResourceAlteration = Callable[[Sequence[Resource]], Sequence[Resource]]


def control_options(number: int, servers: Sequence[str], key_file: str) -> ControlOptions:
    """Return the control options of an ingress, as its [control] section would give them."""
    region = f"region-{number % REGIONS}"
    zone = zone_name(number)
    return ControlOptions(
        role="ingress", servers=tuple(servers), region=region, zone=zone, key_file=key_file
    )


def control_section(options: ControlOptions) -> str:
    """Format the options as the [control] section of a configuration file."""
    return (
        f"[control]\nrole = ingress\nservers = {', '.join(options.servers)}\nregion = {options.region}\n"
        f"zone = {options.zone}\nkey_file = {options.key_file}\n"
    )


class ConfigurationRecorder(ChangeRecorder):
    """Records the changes that an ingress's configuration client passes to its applier."""

    def attach(
        self, applier: IngressResourceApplier, alter: ResourceAlteration | None = None
    ) -> None:
        """Insert the recorder between the client and its applier.

        Must be called right after the applier is opened, before any change can have arrived.
        """
        self._applier = applier
        self._alter = alter
        self._highest_revision = 0
        self._refused_names = set[str]()
        applier.client.batch_applier.applier = self

    # Methods that the client calls on its applier

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Apply the changes, altered by any seeded defect; record those older than applied ones."""
        applied = changes if self._alter is None else self._alter(changes)
        rejections = self._applier.apply(applied)
        # A refused resource is delivered again at the end of its batch, so an older version of it
        # is not an error.
        for resource in applied:
            if (
                resource.body is not None
                and resource.revision < self._highest_revision
                and resource.name not in self._refused_names
            ):
                self.older_versions.append(
                    [resource.name, self._highest_revision, resource.revision]
                )
        self._refused_names |= {resource.name for resource in rejections}
        self._highest_revision = max(
            [self._highest_revision, *(resource.revision for resource in changes)]
        )
        return rejections

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """Return the resource that the applier holds under a key."""
        return self._applier.applied_resource(kind, name)

    def on_batch_applied(self) -> None:
        """Pass on the call, and record the revision that the applied batch reached."""
        self._applier.on_batch_applied()
        self.record_revision(max(self._highest_revision, self._revision))
