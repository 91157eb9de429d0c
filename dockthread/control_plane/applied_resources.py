"""What of a table the owner has put in force, and what it refused."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dockthread.control_plane.messages import (
    MAX_REJECTIONS,
    MOST_REASON,
    Acknowledge,
    Rejection,
    Resource,
)


@dataclass(slots=True)
class _Batch:
    number: int
    acknowledge: Acknowledge  # once it is in force, without rejections
    resources: Sequence[Resource]


class AppliedResources:
    """Batches that the owner was given, until it tells that they are in force."""

    def __init__(self, held: Acknowledge, rejections: Iterable[Rejection]) -> None:
        self._held = held
        self._rejections = {(one.kind, one.name): one for one in rejections}
        self._batches: deque[_Batch] = deque()
        self._given = 0

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """Of all that is in force."""
        return tuple(self._rejections.values())

    def give(self, resources: Sequence[Resource], then: Acknowledge) -> int:
        """The number of a new batch; `then` holds once it is in force."""
        self._given += 1
        self._batches.append(_Batch(self._given, then, resources))
        return self._given

    def unchanged(self, then: Acknowledge) -> None:
        """The table moved on without a change to any resource."""
        if self._batches:
            self._batches[-1].acknowledge = then
        else:
            self._held = then

    def on_applied(self, number: int, rejected: Iterable[Rejection]) -> bool:
        """All up to this batch is in force but for what was rejected. False for a batch that is not
        awaited.
        """
        if not self._batches or not self._batches[0].number <= number <= self._given:
            return False
        while self._batches and self._batches[0].number <= number:
            batch = self._batches.popleft()
            if self._rejections:
                for resource in batch.resources:
                    self._rejections.pop((resource.kind, resource.name), None)
            self._held = batch.acknowledge
        for one in rejected:
            shortened = Rejection(one.kind, one.name, one.revision, one.reason[:MOST_REASON])
            self._rejections[one.kind, one.name] = shortened
        return True

    def acknowledge(self) -> Acknowledge:
        """What is in force now."""
        held = self._held
        rejected = self.rejections
        return Acknowledge(
            held.epoch, held.revision, held.digest, rejected[:MAX_REJECTIONS], len(rejected)
        )
