"""Planted bugs of the distribution, which the checker has to find: proof that it sees. Never in the
program.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from dockthread.control_plane.encoded import DeltaFrame, EncodedFrameCache, EncodedSnapshot
from dockthread.control_plane.fanout import FanOut
from dockthread.control_plane.messages import (
    NO_DIGEST,
    PublishRequest,
    Rejection,
    RetryLater,
    Subscribe,
    Update,
)
from dockthread.control_plane.publish_state_machine import PublishStateMachine
from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber import Action, Subscriber
from dockthread.control_plane.update_assembler import AssemblyResult, UpdateAssembler

FOREVER: Final = 1e12  # ms


@dataclass(frozen=True, slots=True)
class Plant:
    """The cores of a world, one of them wrong, and the scenario that is to find it. `faults`: which
    bring it out; the scenario's own where None.
    """

    scenario: str = "drawn"
    faults: tuple[str, ...] | None = None
    subscriber: type[Subscriber] = Subscriber
    fanout: type[FanOut] = FanOut
    publishing: type[PublishStateMachine] = PublishStateMachine


class CursorOfTheName(FanOut):
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

    def on_closed(self, now: float, connection: int) -> None:
        cursor = self._cursors.get(connection)
        if cursor is not None:
            self._sent[cursor.standing.message.name] = (cursor.epoch, cursor.revision)
        super().on_closed(now, connection)


class DeletesForgotten(Subscriber):
    """What a snapshot does not name stays in force."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._assembler = MergingReceiver(self.table)


class MergingReceiver(UpdateAssembler):
    def add(self, update: Update) -> AssemblyResult:
        taken = super().add(update)
        if not taken.snapshot or taken.changed is None:
            return taken
        return AssemblyResult(
            tuple(one for one in taken.changed if one.body is not None), snapshot=True
        )


class OlderTaken(Subscriber):
    """A snapshot counts whatever its revision."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._assembler = CarelessReceiver(self.table)


class CarelessReceiver(UpdateAssembler):
    def _end_part(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        if update.complete:
            self._table.revision = min(self._table.revision, staged.revision)
        return super()._end_part(update, staged)


class OlderServed(FanOut):
    """Gives a snapshot of its own to one that holds more."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        if message.revision > self.table.revision:
            message = Subscribe(message.name, message.epoch, 0)
        return super().subscribe(now, connection, message)


class DigestUnchecked(Subscriber):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._assembler = TrustingReceiver(self.table)


class TrustingReceiver(UpdateAssembler):
    def _end_delta(self, update: Update) -> AssemblyResult:
        return AssemblyResult(update.resources)


class DigestUnread(FanOut):
    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        unread = Subscribe(
            message.name, message.epoch, message.revision, NO_DIGEST, message.region, message.zone
        )
        return super().subscribe(now, connection, unread)


class TokensForgotten(PublishStateMachine):
    """A state holds no outcomes."""

    def restore(self, index: int, state: bytes) -> None:
        super().restore(index, state)
        self._outcomes.clear()


class ExpectedUnchecked(PublishStateMachine):
    def _unexpected(self, publish: PublishRequest) -> str:
        return ""


class BudgetIgnored(FanOut):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._budget._rate, self._budget._burst = FOREVER, FOREVER


class SilenceUnnoticed(Subscriber):
    """Neither silence nor the age that grows with it counts; either alone would do for the
    bound.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._times = replace(self._times, silence_timeout=FOREVER, staleness_limit=FOREVER)


class StaleServerKept(Subscriber):
    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._times = replace(self._times, staleness_limit=FOREVER)


class AnyHistory(Subscriber):
    """Whatever history a server tells counts."""

    def _other_history(self, *args: Any) -> bool:
        return False


class StaleSnapshotServed(FanOut):
    """The cached snapshot counts as the table of now."""

    def _end_snapshot(self, cursor: Any, snapshot: EncodedSnapshot) -> None:
        super()._end_snapshot(cursor, snapshot)
        cursor.revision = self.table.revision


class StaleDeltas(FanOut):
    """What followed a revision once is sent for good."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._cache = EndlessCache(self.table, self._limits.chunk_bytes, self._key)


class EndlessCache(EncodedFrameCache):
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
        self._assembler = HastyReceiver(self.table)


class HastyReceiver(UpdateAssembler):
    def _end_part(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        staged.is_complete = True
        changed = self._table.difference(staged)
        self._table.replace_with(staged)
        self._staged = None
        return AssemblyResult(changed, snapshot=True)


class RejectionsUntold(Subscriber):
    def on_applied(
        self, now: float, batch: int, rejected: Sequence[Rejection] = ()
    ) -> list[Action]:
        return super().on_applied(now, batch, ())


class AlwaysFresh(FanOut):
    """Heartbeats say that the table is fresh, whatever is known."""

    def set_table_age(self, now: float, age: float) -> None:
        super().set_table_age(now, 0.0)


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
