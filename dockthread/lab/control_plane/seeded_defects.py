"""Planted bugs of the distribution, which the checker has to find: proof that it sees. Never in the
program.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from dockthread.control_plane.encoded import DeltaFrame, FramesCache, Snapshot
from dockthread.control_plane.fanout import Fanout
from dockthread.control_plane.messages import (
    NO_DIGEST,
    Publish,
    Rejection,
    RetryLater,
    Subscribe,
    Update,
)
from dockthread.control_plane.publish_state_machine import Publishing
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber import Action, Subscriber
from dockthread.control_plane.update_assembler import Receiver, Taken

FOREVER: Final = 1e12  # ms


@dataclass(frozen=True, slots=True)
class Plant:
    """The cores of a world, one of them wrong, and the scenario that is to find it. `faults`: which
    bring it out; the scenario's own where None.
    """

    scenario: str = "drawn"
    faults: tuple[str, ...] | None = None
    subscriber: type[Subscriber] = Subscriber
    fanout: type[Fanout] = Fanout
    publishing: type[Publishing] = Publishing


class CursorOfTheName(Fanout):
    """Goes on from what it handed over to a subscriber's connection before, whether that arrived or
    not.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._sent: dict[str, tuple[str, int]] = {}

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        epoch, revision = self._sent.get(message.name, ("", 0))
        if epoch == message.epoch and revision > message.revision > 0:
            message = Subscribe(
                message.name, epoch, revision, NO_DIGEST, message.region, message.zone
            )
        return super().subscribe(now, connection, message)

    def closed(self, now: float, connection: int) -> None:
        cursor = self._cursors.get(connection)
        if cursor is not None:
            self._sent[cursor.standing.message.name] = (cursor.epoch, cursor.revision)
        super().closed(now, connection)


class DeletesForgotten(Subscriber):
    """What a snapshot does not name stays in force."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._receiver = MergingReceiver(self.table)


class MergingReceiver(Receiver):
    def take(self, update: Update) -> Taken:
        taken = super().take(update)
        if not taken.snapshot or taken.changed is None:
            return taken
        return Taken(tuple(one for one in taken.changed if one.body is not None), snapshot=True)


class OlderTaken(Subscriber):
    """A snapshot counts whatever its revision."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._receiver = CarelessReceiver(self.table)


class CarelessReceiver(Receiver):
    def _end_part(self, update: Update, staged: ResourceTable) -> Taken:
        if update.complete:
            self._table.revision = min(self._table.revision, staged.revision)
        return super()._end_part(update, staged)


class OlderServed(Fanout):
    """Gives a snapshot of its own to one that holds more."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        if message.revision > self.table.revision:
            message = Subscribe(message.name, message.epoch, 0)
        return super().subscribe(now, connection, message)


class DigestUnchecked(Subscriber):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._receiver = TrustingReceiver(self.table)


class TrustingReceiver(Receiver):
    def _end_delta(self, update: Update) -> Taken:
        return Taken(update.resources)


class DigestUnread(Fanout):
    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        unread = Subscribe(
            message.name, message.epoch, message.revision, NO_DIGEST, message.region, message.zone
        )
        return super().subscribe(now, connection, unread)


class TokensForgotten(Publishing):
    """A state holds no outcomes."""

    def restore(self, index: int, state: bytes) -> None:
        super().restore(index, state)
        self._outcomes.clear()


class ExpectedUnchecked(Publishing):
    def _unexpected(self, publish: Publish) -> str:
        return ""


class BudgetIgnored(Fanout):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._budget._rate, self._budget._burst = FOREVER, FOREVER


class SilenceUnnoticed(Subscriber):
    """Neither silence nor the age that grows with it counts; either alone would do for the
    bound.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._times = replace(self._times, silence=FOREVER, stale=FOREVER)


class StaleServerKept(Subscriber):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._times = replace(self._times, stale=FOREVER)


class AnyHistory(Subscriber):
    """Whatever history a server tells counts."""

    def _other_history(self, *args: Any) -> bool:
        return False


class StaleSnapshotServed(Fanout):
    """The cached snapshot counts as the table of now."""

    def _end_snapshot(self, cursor: Any, snapshot: Snapshot) -> None:
        super()._end_snapshot(cursor, snapshot)
        cursor.revision = self.table.revision


class StaleDeltas(Fanout):
    """What followed a revision once is sent for good."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._cache = EndlessCache(self.table, self._limits.part, self._key)


class EndlessCache(FramesCache):
    def __init__(self, table: ResourceTable, part: int, key: bytes) -> None:
        super().__init__(table, part, key)
        self._kept: dict[int, DeltaFrame] = {}

    def delta(self, revision: int) -> DeltaFrame:
        kept = self._kept.get(revision)
        if kept is None:
            kept = self._kept[revision] = super().delta(revision)
        return replace(kept, revision=self._table.revision)


class PartsAtOnce(Subscriber):
    """The first part of a snapshot takes the place of all that is held."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._receiver = HastyReceiver(self.table)


class HastyReceiver(Receiver):
    def _end_part(self, update: Update, staged: ResourceTable) -> Taken:
        staged.whole = True
        changed = self._table.difference(staged)
        self._table.adopt(staged)
        self._staged = None
        return Taken(changed, snapshot=True)


class RejectionsUntold(Subscriber):
    def applied(self, now: float, batch: int, rejected: Sequence[Rejection] = ()) -> list[Action]:
        return super().applied(now, batch, ())


class AlwaysFresh(Fanout):
    """Heartbeats say that the table is fresh, whatever is known."""

    def fresh(self, now: float, age: float) -> None:
        super().fresh(now, 0.0)


PLANTS: Final = {
    "cursor-of-the-name": Plant(fanout=CursorOfTheName, subscriber=DigestUnchecked),
    "deletes-forgotten": Plant(faults=("stall", "zone"), subscriber=DeletesForgotten),
    "older-applied": Plant(subscriber=OlderTaken, fanout=OlderServed),
    "digest-not-compared": Plant(faults=("rot",), subscriber=DigestUnchecked, fanout=DigestUnread),
    "tokens-forgotten": Plant(faults=("voters",), publishing=TokensForgotten),
    "expected-unchecked": Plant(publishing=ExpectedUnchecked),
    "budget-ignored": Plant(faults=("wave",), fanout=BudgetIgnored),
    "silence-unnoticed": Plant("single", ("stall", "zone"), subscriber=SilenceUnnoticed),
    "stale-server-kept": Plant("single", ("uplink",), subscriber=StaleServerKept),
    "always-fresh": Plant("single", ("uplink",), fanout=AlwaysFresh),
    "any-history": Plant(
        faults=("history", "uplink", "break", "distributors"), subscriber=AnyHistory
    ),
    "stale-snapshot-served": Plant(fanout=StaleSnapshotServed, subscriber=DigestUnchecked),
    "stale-deltas": Plant(fanout=StaleDeltas, subscriber=DigestUnchecked),
    "parts-at-once": Plant(faults=("rot", "regions"), subscriber=PartsAtOnce),
    "rejections-untold": Plant(subscriber=RejectionsUntold),
}
NAMES: Final = tuple(PLANTS)
