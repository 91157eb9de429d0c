"""Defects of the control plane that the checker has to find; never part of the program.

Each defect replaces one part of a simulated control plane by a subclass with one mistake. That the
checker finds every one of them shows that its rules have teeth.
"""

from __future__ import annotations

import random
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
from dockthread.control_plane.server_selection import CandidateServer
from dockthread.control_plane.subscriber import Subscriber
from dockthread.control_plane.subscriber_actions import Action
from dockthread.control_plane.subscriber_settings import SubscriberSettings
from dockthread.control_plane.table_receiver import TableReceiver
from dockthread.control_plane.update_assembler import AssemblyResult, UpdateAssembler

FOREVER_MS: Final = 1e12
"""A time, or a rate, that no simulation reaches."""


@dataclass(frozen=True, slots=True)
class SeededDefect:
    """The parts of a simulation, one of them defective.

    Attributes:
        scenario: Scenario that is to find it.
        faults: Faults that bring it out; None for those of the scenario.
        subscriber: Class of the subscribers.
        fan_out: Class of the servers' fan-outs.
        state_machine: Class of the voters' state machines.
    """

    scenario: str = "drawn"
    faults: tuple[str, ...] | None = None
    subscriber: type[Subscriber] = Subscriber
    fan_out: type[FanOut] = FanOut
    state_machine: type[PublishStateMachine] = PublishStateMachine


class ResumesFromSentCursor(FanOut):
    """Resumes behind what it returned for an earlier connection, whether that arrived or not."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._sent: dict[str, tuple[str, int]] = {}  # epoch and revision by subscriber

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Subscribe with the revision that was returned last."""
        epoch, revision = self._sent.get(message.name, ("", 0))
        if epoch == message.epoch and revision > message.revision > 0:
            message = Subscribe(
                message.name, epoch, revision, NO_DIGEST, message.region, message.zone
            )
        return super().subscribe(now, connection, message)

    def on_closed(self, now: float, connection: int) -> None:
        """Remember the cursor."""
        cursor = self._cursors.get(connection)
        if cursor is not None:
            self._sent[cursor.record.subscription.name] = (cursor.epoch, cursor.revision)
        super().on_closed(now, connection)


class DeletionIgnoringAssembler(UpdateAssembler):
    """Reports no deletions of a snapshot."""

    def add(self, update: Update) -> AssemblyResult:
        """Leave out the tombstones."""
        result = super().add(update)
        if not result.snapshot or result.changed is None:
            return result
        live = tuple(resource for resource in result.changed if resource.body is not None)
        return AssemblyResult(live, snapshot=True)


class DeletionIgnoringReceiver(TableReceiver):
    """Uses the assembler that reports no deletions of a snapshot."""

    assembler_type = DeletionIgnoringAssembler


class IgnoresDeletions(Subscriber):
    """Keeps applied what a snapshot does not name."""

    receiver_type = DeletionIgnoringReceiver


class RevertingAssembler(UpdateAssembler):
    """Lets an older snapshot replace the table."""

    def _end_chunk(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        if update.complete:
            self._table.revision = min(self._table.revision, staged.revision)
        return super()._end_chunk(update, staged)


class RevertingReceiver(TableReceiver):
    """Uses the assembler that lets an older snapshot replace the table."""

    assembler_type = RevertingAssembler


class AppliesOutdatedSnapshots(Subscriber):
    """Applies a snapshot whatever its revision."""

    receiver_type = RevertingReceiver


class ServesOutdatedSnapshots(FanOut):
    """Sends its own snapshot to a subscriber that holds a newer revision."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Take a newer revision for none."""
        if message.revision > self.table.revision:
            message = Subscribe(message.name, message.epoch, 0)
        return super().subscribe(now, connection, message)


class UncheckedDigestAssembler(UpdateAssembler):
    """Compares no digest after a delta."""

    def _end_delta(self, update: Update) -> AssemblyResult:
        return AssemblyResult(update.resources)


class UncheckedDigestReceiver(TableReceiver):
    """Uses the assembler that compares no digest after a delta."""

    assembler_type = UncheckedDigestAssembler


class IgnoresDigests(Subscriber):
    """Compares no digest after a delta."""

    receiver_type = UncheckedDigestReceiver


class IgnoresSubscribedDigest(FanOut):
    """Reads no digest of a subscription."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Drop the digest."""
        without_digest = Subscribe(
            message.name, message.epoch, message.revision, NO_DIGEST, message.region, message.zone
        )
        return super().subscribe(now, connection, without_digest)


class ForgetsTokens(PublishStateMachine):
    """Restores no outcomes."""

    def restore(self, index: int, state: bytes) -> None:
        """Restore the table alone."""
        super().restore(index, state)
        self._outcomes.clear()


class IgnoresExpectedRevision(PublishStateMachine):
    """Accepts a change whatever revision it expects."""

    def _conflict(self, request: PublishRequest) -> str:  # noqa: ARG002  that is the defect
        return ""


class IgnoresBudget(FanOut):
    """Sends snapshots at any rate."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._budget._rate = FOREVER_MS
        self._budget._burst = FOREVER_MS


class IgnoresSilence(Subscriber):
    """Notices neither silence nor the age that grows with it; either alone meets the bound."""

    def __init__(
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        *args: Any,
    ) -> None:
        times = replace(settings.times, silence_timeout=FOREVER_MS, staleness_limit=FOREVER_MS)
        super().__init__(replace(settings, times=times), servers, rng, *args)


class StaysWithStaleServer(Subscriber):
    """Never leaves a stale server."""

    def __init__(
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        *args: Any,
    ) -> None:
        times = replace(settings.times, staleness_limit=FOREVER_MS)
        super().__init__(replace(settings, times=times), servers, rng, *args)


class AnyEpochReceiver(TableReceiver):
    """Accepts any epoch."""

    def accepts_epoch(self, update: Update, is_server_current: bool) -> bool:  # noqa: ARG002  the defect
        """Accept it."""
        return True


class AcceptsAnyHistory(Subscriber):
    """Accepts whatever history a server has."""

    receiver_type = AnyEpochReceiver


class ServesStaleSnapshot(FanOut):
    """Takes the cached snapshot for the current table."""

    def _end_snapshot(self, cursor: Any, snapshot: EncodedSnapshot) -> None:
        super()._end_snapshot(cursor, snapshot)
        cursor.revision = self.table.revision


class UnboundedDeltaCache(EncodedFrameCache):
    """Reuses the first delta that followed a revision forever."""

    def __init__(self, table: ResourceTable, chunk_bytes: int, key: bytes) -> None:
        super().__init__(table, chunk_bytes, key)
        self._first_deltas: dict[int, DeltaFrame] = {}

    def delta(self, revision: int) -> DeltaFrame:
        """Return the first delta, as if it led to the current revision."""
        first = self._first_deltas.get(revision)
        if first is None:
            first = super().delta(revision)
            self._first_deltas[revision] = first
        return replace(first, revision=self._table.revision)


class ServesStaleDeltas(FanOut):
    """Sends what once followed a revision forever."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._frames = UnboundedDeltaCache(self.table, self._limits.chunk_bytes, self._key)


class HastyAssembler(UpdateAssembler):
    """Replaces the table with each chunk of a snapshot."""

    def _end_chunk(self, update: Update, staged: ResourceTable) -> AssemblyResult:  # noqa: ARG002  the defect
        staged.is_complete = True
        changed = self._table.difference(staged)
        self._table.replace_with(staged)
        self._staged = None
        return AssemblyResult(changed, snapshot=True)


class HastyReceiver(TableReceiver):
    """Uses the assembler that replaces the table with each chunk."""

    assembler_type = HastyAssembler


class AppliesFirstChunk(Subscriber):
    """Replaces everything by the first chunk of a snapshot."""

    receiver_type = HastyReceiver


class HidesRejections(Subscriber):
    """Acknowledges without its rejections."""

    def on_applied(
        self,
        now: float,
        batch: int,
        rejected: Sequence[Rejection] = (),  # noqa: ARG002  that is the defect
    ) -> list[Action]:
        """Acknowledge as if nothing was rejected."""
        return super().on_applied(now, batch, ())


class ClaimsFreshness(FanOut):
    """Reports in heartbeats that the table is fresh, whatever is known."""

    def set_table_age(self, now: float, age: float) -> None:  # noqa: ARG002  that is the defect
        """Set an age of zero."""
        super().set_table_age(now, 0.0)


SEEDED_DEFECTS: Final = {
    "cursor-of-the-name": SeededDefect(fan_out=ResumesFromSentCursor, subscriber=IgnoresDigests),
    "deletes-forgotten": SeededDefect(faults=("stall", "zone"), subscriber=IgnoresDeletions),
    "older-applied": SeededDefect(
        subscriber=AppliesOutdatedSnapshots, fan_out=ServesOutdatedSnapshots
    ),
    "digest-not-compared": SeededDefect(
        faults=("rot",), subscriber=IgnoresDigests, fan_out=IgnoresSubscribedDigest
    ),
    "tokens-forgotten": SeededDefect(faults=("voters",), state_machine=ForgetsTokens),
    "expected-unchecked": SeededDefect(state_machine=IgnoresExpectedRevision),
    "budget-ignored": SeededDefect(faults=("wave",), fan_out=IgnoresBudget),
    "silence-unnoticed": SeededDefect("single", ("stall", "zone"), subscriber=IgnoresSilence),
    "stale-server-kept": SeededDefect("single", ("uplink",), subscriber=StaysWithStaleServer),
    "always-fresh": SeededDefect("single", ("uplink",), fan_out=ClaimsFreshness),
    "any-history": SeededDefect(
        faults=("history", "uplink", "break", "distributors"), subscriber=AcceptsAnyHistory
    ),
    "stale-snapshot-served": SeededDefect(fan_out=ServesStaleSnapshot, subscriber=IgnoresDigests),
    "stale-deltas": SeededDefect(fan_out=ServesStaleDeltas, subscriber=IgnoresDigests),
    "parts-at-once": SeededDefect(faults=("rot", "regions"), subscriber=AppliesFirstChunk),
    "rejections-untold": SeededDefect(subscriber=HidesRejections),
}
"""The defects by the names of the command line."""
NAMES: Final = tuple(SEEDED_DEFECTS)
