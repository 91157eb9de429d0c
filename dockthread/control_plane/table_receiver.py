"""Receives updates into a subscriber's table and tracks which of its resources are applied.

A resource never replaces a newer one, and a replaced epoch is never accepted again. Digests are
compared after each update that the server marks as complete; if they differ, the next subscription
requests a full snapshot.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from dockthread.control_plane.applied_resources import AppliedResources
from dockthread.control_plane.messages import (
    AGE_UNKNOWN,
    NO_DIGEST,
    Acknowledge,
    Heartbeat,
    Rejection,
    Resource,
    Subscribe,
    Update,
)
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_actions import (
    Action,
    ResourcesChanged,
    SubscriberCounts,
)
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.control_plane.update_assembler import DigestMismatchError, UpdateAssembler


class TableReceiver:
    """Receives updates into the table of one subscriber.

    Appends `ResourcesChanged` actions to `actions`. `rejections` lists the resources of the initial
    `table` that were rejected.

    Attributes:
        table: The received table.
        applied: Which of its resources are applied.
    """

    assembler_type: ClassVar[type[UpdateAssembler]] = UpdateAssembler

    def __init__(
        self,
        table: ResourceTable,
        rejections: Sequence[Rejection],
        counts: SubscriberCounts,
        actions: list[Action],
    ) -> None:
        self.table = table
        self._counts = counts
        self._actions = actions
        self._assembler = self.assembler_type(table)
        self.applied = AppliedResources(self._full_acknowledgement(), rejections)
        self._needs_snapshot = False  # after a digest mismatch
        self._replaced_epochs: set[str] = set()
        self._complete_at: float | None = None  # when the table was last known to be complete

    @property
    def is_staging(self) -> bool:
        """Whether a snapshot is staged."""
        return self._assembler.is_staging

    def begin(self) -> None:
        """Start with a new connection: discard a staged snapshot."""
        self._assembler.begin()

    def age(self, now: float) -> float:
        """Return the time in ms for which the table may have lacked a change, or `AGE_UNKNOWN`."""
        return AGE_UNKNOWN if self._complete_at is None else max(0.0, now - self._complete_at)

    def subscription(self, settings: SubscriberSettings) -> Subscribe:
        """Return the first message of a connection."""
        table = self.table
        if self._needs_snapshot:
            return Subscribe(
                settings.name, table.epoch, 0, NO_DIGEST, settings.region, settings.zone
            )
        digest = self._comparable_digest()
        return Subscribe(
            settings.name, table.epoch, table.revision, digest, settings.region, settings.zone
        )

    def on_fresh_server(self, message: Heartbeat, complete_at: float) -> None:
        """Record that the server's table was complete at `complete_at`.

        If this table includes all changes of the server's table, it was complete then as well.
        """
        includes_server_table = (
            message.epoch == self.table.epoch and message.revision <= self.table.revision
        )
        if includes_server_table and self.table.is_complete and not self.is_staging:
            previous = complete_at if self._complete_at is None else self._complete_at
            self._complete_at = max(complete_at, previous)

    def accepts_epoch(self, update: Update, is_server_fresh: bool) -> bool:
        """Return whether an update has the current epoch, or may replace it with another.

        Only a server known not to be stale may introduce another epoch, and a replaced epoch is
        never accepted again.
        """
        if not self.table.epoch or update.epoch == self.table.epoch:
            return True
        return update.epoch not in self._replaced_epochs and is_server_fresh

    def add(self, update: Update) -> bool:
        """Put an update into the table.

        Returns:
            Whether to send an acknowledgement now, because the update changed no resource.

        Raises:
            InvalidUpdateError: The update is out of order, too large or lacks a field.
            DigestMismatchError: The digest differs from the server's. The changes of a delta are
                applied nevertheless.
        """
        previous_epoch = self.table.epoch
        try:
            result = self._assembler.add(update)
        except DigestMismatchError as error:
            self._counts.mismatches += 1
            self._needs_snapshot = True
            self.apply(error.changed, complete=False)
            raise
        self._counts.outdated_snapshots += result.is_outdated
        if previous_epoch not in ("", self.table.epoch):
            self._replaced_epochs.add(previous_epoch)
        if result.changed is None:
            return False
        if result.snapshot:
            self._counts.snapshots += 1
            self._needs_snapshot = False
        else:
            self._counts.deltas += 1
        return self.apply(result.changed, update.complete)

    def apply(self, changed: tuple[Resource, ...], complete: bool) -> bool:
        """Request that the changed resources be applied.

        Returns:
            Whether to send an acknowledgement now, because there is nothing to apply.
        """
        acknowledgement = self._full_acknowledgement()
        if not changed:
            self.applied.on_unchanged(acknowledgement)
            return True
        batch = self.applied.begin_batch(changed, acknowledgement)
        self._actions.append(
            ResourcesChanged(batch, self.table.epoch, self.table.revision, changed, complete)
        )
        return False

    def _full_acknowledgement(self) -> Acknowledge:
        """Return an acknowledgement of all resources in the table, without rejections."""
        table = self.table
        return Acknowledge(table.epoch, table.revision, self._comparable_digest())

    def _comparable_digest(self) -> bytes:
        return self.table.digest if self.table.is_complete else NO_DIGEST
