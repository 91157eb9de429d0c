"""Takes updates into a table, in their order or not at all.

A delta is checked whole before any of it is put. The parts of a snapshot go into a table of their
own, which takes the place of the held one with the last part; until then the held one stays as it
was. A snapshot of an older revision than what is held (one that the server encoded some time ago,
for a subscriber whose digest differed) goes on to be staged, with the deltas behind it, until it
has come as far.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.control_plane.messages import MAX_BODY_BYTES, MAX_NAME_BYTES, Resource, Update
from dockthread.control_plane.resource_table import ResourceTable


class InvalidUpdateError(Exception):
    """An update that its sender should not have sent; nothing of it was taken."""


class DigestMismatchError(Exception):
    """A complete update after which the digest differs from the sender's. A snapshot was not taken;
    a delta was, and `changed` is what it changed.
    """

    def __init__(self, changed: tuple[Resource, ...]) -> None:
        super().__init__("the digest differs from the server's")
        self.changed = changed


@dataclass(frozen=True, slots=True)
class AssemblyResult:
    """What an update changed in the table; None in `changed` while a snapshot is staged. `old`: it
    is complete, and older than what is held.
    """

    changed: tuple[Resource, ...] | None
    snapshot: bool = False
    old: bool = False


class UpdateAssembler:
    """Takes what one connection after another brings into `table`."""

    def __init__(self, table: ResourceTable) -> None:
        self._table = table
        self._staged: ResourceTable | None = None

    @property
    def staging(self) -> bool:
        """Whether a snapshot is under way."""
        return self._staged is not None

    def begin(self) -> None:
        """A new connection: what was staged of the one before is let go."""
        self._staged = None

    def add(self, update: Update) -> AssemblyResult:
        """Raises `BadUpdate` or `WrongDigest`; then the connection is of no use any more."""
        if not update.epoch or (update.complete and not update.digest):
            raise InvalidUpdateError("it names no epoch, or no digest where it is complete")
        if update.horizon > update.revision:
            raise InvalidUpdateError(
                f"a horizon of {update.horizon} in an update to {update.revision}"
            )
        if update.snapshot:
            self._staged = ResourceTable(update.epoch)
        into = self._table if self._staged is None else self._staged
        self._check(update, into)
        for resource in update.resources:
            into.put(resource)
        into.advance(update.revision)
        into.is_complete = update.complete
        return (
            self._end_delta(update)
            if self._staged is None
            else self._end_part(update, self._staged)
        )

    def _end_delta(self, update: Update) -> AssemblyResult:
        if update.complete and update.digest != self._table.digest:
            self._table.is_complete = False
            raise DigestMismatchError(update.resources)
        return AssemblyResult(update.resources)

    def _end_part(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        if not update.complete:
            return AssemblyResult(None, snapshot=True)
        if update.digest != staged.digest:
            raise DigestMismatchError(())
        staged.horizon = max(staged.horizon, update.horizon)
        if staged.epoch == self._table.epoch and staged.revision < self._table.revision:
            return AssemblyResult(None, snapshot=True, old=True)
        changed = self._table.difference(staged)
        self._table.replace_with(staged)
        self._staged = None
        return AssemblyResult(changed, snapshot=True)

    @staticmethod
    def _check(update: Update, into: ResourceTable) -> None:
        if update.epoch != into.epoch:
            raise InvalidUpdateError(f"an update of epoch {update.epoch} after {into.epoch}")
        before = into.revision
        if update.revision < before:
            raise InvalidUpdateError(f"an update to revision {update.revision} after {before}")
        for resource in update.resources:
            if not before < resource.revision <= update.revision:
                raise InvalidUpdateError(f"revision {resource.revision} out of its order")
            before = resource.revision
            if (
                max(len(resource.kind), len(resource.name)) > MAX_NAME_BYTES
                or len(resource.body or b"") > MAX_BODY_BYTES
            ):
                raise InvalidUpdateError("a resource is too large")
            if "\x00" in resource.kind:
                raise InvalidUpdateError("a kind holds a zero")
