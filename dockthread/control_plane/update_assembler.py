"""Assembles updates into a table, in order and each one completely or not at all.

A delta is checked completely before any of its resources is put into the table. The chunks of a
snapshot are put into a staged table, which replaces the current one after the last chunk; until
then the current table is unchanged. A snapshot can be older than the current table, if the server
sends a cached snapshot to a subscriber whose digest differed. The snapshot then stays staged, and
the deltas that follow it are added to the staged table until it has caught up.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.control_plane.messages import MAX_BODY_BYTES, MAX_NAME_BYTES, Resource, Update
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.errors import DockthreadError


class InvalidUpdateError(DockthreadError):
    """An update is invalid; none of its resources were put into the table."""


class DigestMismatchError(DockthreadError):
    """After a complete update, the digest of the table differs from the sender's.

    After a snapshot, the current table is unchanged and `changed` is empty. A delta has been put
    into the table, and `changed` contains its resources.
    """

    def __init__(self, changed: tuple[Resource, ...]) -> None:
        super().__init__("the digest differs from the server's")
        self.changed = changed


@dataclass(frozen=True, slots=True)
class AssemblyResult:
    """Effect of an update on the table.

    Attributes:
        changed: Resources that changed in the table; None while a snapshot is staged.
        snapshot: Whether the update belongs to a snapshot.
        is_outdated: Whether a complete snapshot stays staged because it is older than the
            current table.
    """

    changed: tuple[Resource, ...] | None
    snapshot: bool = False
    is_outdated: bool = False


class UpdateAssembler:
    """Assembles updates into `table`, over successive connections."""

    def __init__(self, table: ResourceTable) -> None:
        self._table = table
        self._staged: ResourceTable | None = None

    @property
    def is_staging(self) -> bool:
        """Whether a snapshot is staged."""
        return self._staged is not None

    def begin(self) -> None:
        """Start with a new connection: discard a snapshot staged on the previous one."""
        self._staged = None

    def add(self, update: Update) -> AssemblyResult:
        """Put an update into the current table, or into the staged one.

        Raises:
            InvalidUpdateError: The update is out of order, too large or lacks a field.
            DigestMismatchError: The digest differs from the sender's.

        After either error the caller must close the connection.
        """
        if not update.epoch or (update.complete and not update.digest):
            raise InvalidUpdateError("the update has no epoch, or is complete and has no digest")
        if update.horizon > update.revision:
            raise InvalidUpdateError(
                f"the update's horizon {update.horizon} is after its revision {update.revision}"
            )
        if update.snapshot:
            self._staged = ResourceTable(update.epoch)
        target = self._table if self._staged is None else self._staged
        _check_order(update, target)
        for resource in update.resources:
            target.put(resource)
        target.advance(update.revision)
        target.is_complete = update.complete
        if self._staged is None:
            return self._end_delta(update)
        return self._end_chunk(update, self._staged)

    def _end_delta(self, update: Update) -> AssemblyResult:
        if update.complete and update.digest != self._table.digest:
            self._table.is_complete = False
            raise DigestMismatchError(update.resources)
        return AssemblyResult(update.resources)

    def _end_chunk(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        if not update.complete:
            return AssemblyResult(None, snapshot=True)
        if update.digest != staged.digest:
            raise DigestMismatchError(())
        staged.horizon = max(staged.horizon, update.horizon)
        if staged.epoch == self._table.epoch and staged.revision < self._table.revision:
            return AssemblyResult(None, snapshot=True, is_outdated=True)
        changed = self._table.difference(staged)
        self._table.replace_with(staged)
        self._staged = None
        return AssemblyResult(changed, snapshot=True)


def _check_order(update: Update, target: ResourceTable) -> None:
    """Raise InvalidUpdateError unless the update can be applied to `target`."""
    if update.epoch != target.epoch:
        raise InvalidUpdateError(
            f"an update of epoch {update.epoch} for a table of epoch {target.epoch}"
        )
    previous = target.revision
    if update.revision < previous:
        raise InvalidUpdateError(
            f"an update to revision {update.revision} for a table at {previous}"
        )
    for resource in update.resources:
        if not previous < resource.revision <= update.revision:
            raise InvalidUpdateError(f"a resource is out of order at revision {resource.revision}")
        previous = resource.revision
        _check_bounds(resource)


def _check_bounds(resource: Resource) -> None:
    """Raise InvalidUpdateError if a resource is too large or its kind holds a null character."""
    longest_field = max(len(resource.kind), len(resource.name))
    if longest_field > MAX_NAME_BYTES or len(resource.body or b"") > MAX_BODY_BYTES:
        raise InvalidUpdateError("a resource is too large")
    if "\x00" in resource.kind:
        raise InvalidUpdateError("a kind contains a null character")
