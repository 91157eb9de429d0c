"""Tracks which resources of a subscriber's table are applied, and which were rejected."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dockthread.control_plane.messages import (
    MAX_REASON_CHARACTERS,
    MAX_REJECTIONS,
    Acknowledge,
    Rejection,
    Resource,
)


@dataclass(slots=True)
class _Batch:
    """Resources that are being applied.

    Attributes:
        number: Number of the batch, counted from 1.
        acknowledgement: Acknowledgement to send once the batch is applied, without rejections.
        resources: The resources of the batch.
    """

    number: int
    acknowledgement: Acknowledge
    resources: Sequence[Resource]


class AppliedResources:
    """Tracks batches until they are applied, and builds the acknowledgement."""

    def __init__(self, applied: Acknowledge, rejections: Iterable[Rejection]) -> None:
        self._applied = applied
        self._rejections = {(rejection.kind, rejection.name): rejection for rejection in rejections}
        self._batches: deque[_Batch] = deque()  # not yet applied, oldest first
        self._last_number = 0

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """Rejections of resources in the applied table."""
        return tuple(self._rejections.values())

    def begin_batch(self, resources: Sequence[Resource], acknowledgement: Acknowledge) -> int:
        """Return the number of a new batch; `acknowledgement` is valid once it is applied."""
        self._last_number += 1
        self._batches.append(_Batch(self._last_number, acknowledgement, resources))
        return self._last_number

    def on_unchanged(self, acknowledgement: Acknowledge) -> None:
        """Record that the table advanced without a change to any resource."""
        if self._batches:
            self._batches[-1].acknowledgement = acknowledgement
        else:
            self._applied = acknowledgement

    def on_applied(self, number: int, rejected: Iterable[Rejection]) -> bool:
        """Record that batches up to `number` are applied, except for rejected resources.

        Returns:
            Whether the batch was being applied; if not, nothing changes.
        """
        if not self._batches or not self._batches[0].number <= number <= self._last_number:
            return False
        while self._batches and self._batches[0].number <= number:
            batch = self._batches.popleft()
            self._drop_rejections(batch.resources)
            self._applied = batch.acknowledgement
        for rejection in rejected:
            reason = rejection.reason[:MAX_REASON_CHARACTERS]
            self._rejections[rejection.kind, rejection.name] = Rejection(
                rejection.kind, rejection.name, rejection.revision, reason
            )
        return True

    def acknowledgement(self) -> Acknowledge:
        """Return the acknowledgement of the currently applied table."""
        applied = self._applied
        rejections = self.rejections
        return Acknowledge(
            applied.epoch,
            applied.revision,
            applied.digest,
            rejections[:MAX_REJECTIONS],
            len(rejections),
        )

    def _drop_rejections(self, resources: Sequence[Resource]) -> None:
        if not self._rejections:
            return
        for resource in resources:
            self._rejections.pop((resource.kind, resource.name), None)
