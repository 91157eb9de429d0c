"""Deliberate bugs in the control plane that the checker has to find.

Each seeded defect replaces components of a simulated control plane with subclasses that contain a
bug. Tests check that the checker finds every one of them, which shows that its rules are effective.
The program itself never loads this module.
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

UNREACHABLE_LIMIT: Final = 1e12
"""A timeout in ms that no simulation reaches; also used as a rate and a burst that none exceeds."""


@dataclass(frozen=True, slots=True)
class SeededDefect:
    """Classes of the components of a simulation, and the scenario that reveals their defect.

    Attributes:
        scenario: Name of the scenario that reveals the defect.
        faults: Faults that reveal the defect; None for the faults of the scenario.
        subscriber: Class of all subscribers.
        fan_out: Class of the fan-outs of all servers.
        state_machine: Class of the state machines of all voters.
    """

    scenario: str = "drawn"
    faults: tuple[str, ...] | None = None
    subscriber: type[Subscriber] = Subscriber
    fan_out: type[FanOut] = FanOut
    state_machine: type[PublishStateMachine] = PublishStateMachine


class ResumesFromSentCursor(FanOut):
    """Resumes after the last revision sent on an earlier connection, even if it never arrived."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Epoch and revision last sent to each subscriber, by name.
        self._sent_cursors: dict[str, tuple[str, int]] = {}

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Subscribe with the revision that was last sent to this subscriber."""
        epoch, revision = self._sent_cursors.get(message.name, ("", 0))
        if epoch == message.epoch and revision > message.revision > 0:
            message = Subscribe(
                message.name, epoch, revision, NO_DIGEST, message.region, message.zone
            )
        return super().subscribe(now, connection, message)

    def on_closed(self, now: float, connection: int) -> None:
        """Remember the cursor of the closed connection."""
        cursor = self._cursors.get(connection)
        if cursor is not None:
            self._sent_cursors[cursor.record.subscription.name] = (cursor.epoch, cursor.revision)
        super().on_closed(now, connection)


class DeletionIgnoringAssembler(UpdateAssembler):
    """Does not report the deletions that a snapshot contains."""

    def add(self, update: Update) -> AssemblyResult:
        """Add an update, and remove the tombstones from the result of a snapshot."""
        result = super().add(update)
        if not result.snapshot or result.changed is None:
            return result
        live_resources = tuple(resource for resource in result.changed if resource.body is not None)
        return AssemblyResult(live_resources, snapshot=True)


class DeletionIgnoringReceiver(TableReceiver):
    """Uses the assembler that does not report the deletions in a snapshot."""

    assembler_type = DeletionIgnoringAssembler


class IgnoresDeletions(Subscriber):
    """Keeps resources applied that a snapshot no longer contains."""

    receiver_type = DeletionIgnoringReceiver


class RevertingAssembler(UpdateAssembler):
    """Lets an older snapshot replace a newer table."""

    def _end_chunk(self, update: Update, staged: ResourceTable) -> AssemblyResult:
        if update.complete:
            self._table.revision = min(self._table.revision, staged.revision)
        return super()._end_chunk(update, staged)


class RevertingReceiver(TableReceiver):
    """Uses the assembler that lets an older snapshot replace a newer table."""

    assembler_type = RevertingAssembler


class AppliesOutdatedSnapshots(Subscriber):
    """Applies a snapshot even if it is older than the table."""

    receiver_type = RevertingReceiver


class ServesOutdatedSnapshots(FanOut):
    """Sends its own snapshot to a subscriber that holds a newer revision."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Treat a subscriber with a newer revision as one without a table."""
        if message.revision > self.table.revision:
            message = Subscribe(message.name, message.epoch, 0)
        return super().subscribe(now, connection, message)


class UncheckedDigestAssembler(UpdateAssembler):
    """Does not verify the digest after a delta."""

    def _end_delta(self, update: Update) -> AssemblyResult:
        return AssemblyResult(update.resources)


class UncheckedDigestReceiver(TableReceiver):
    """Uses the assembler that does not verify the digest after a delta."""

    assembler_type = UncheckedDigestAssembler


class IgnoresDigests(Subscriber):
    """Does not verify the digest after a delta."""

    receiver_type = UncheckedDigestReceiver


class IgnoresSubscribedDigest(FanOut):
    """Does not verify the digest of a subscription."""

    def subscribe(self, now: float, connection: int, message: Subscribe) -> RetryLater | None:
        """Subscribe without the digest."""
        without_digest = Subscribe(
            message.name, message.epoch, message.revision, NO_DIGEST, message.region, message.zone
        )
        return super().subscribe(now, connection, without_digest)


class LosesOutcomes(PublishStateMachine):
    """Loses the outcomes of all tokens when it restores a snapshot."""

    def restore(self, index: int, state: bytes) -> None:
        """Restore only the table."""
        super().restore(index, state)
        self._outcomes.clear()


class IgnoresExpectedRevision(PublishStateMachine):
    """Accepts a change even if the expected revision does not match."""

    def _conflict(self, request: PublishRequest) -> str:  # noqa: ARG002  the defect ignores it
        return ""


class IgnoresBudget(FanOut):
    """Sends snapshots without a rate limit."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._budget._rate = UNREACHABLE_LIMIT
        self._budget._burst = UNREACHABLE_LIMIT


class KeepsSilentServer(Subscriber):
    """Never leaves a silent server.

    Both the silence timeout and the staleness limit are disabled, because either one alone keeps
    ingresses within the bound.
    """

    def __init__(
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        *args: Any,
    ) -> None:
        times = replace(
            settings.times, silence_timeout=UNREACHABLE_LIMIT, staleness_limit=UNREACHABLE_LIMIT
        )
        super().__init__(replace(settings, times=times), servers, rng, *args)


class KeepsStaleServer(Subscriber):
    """Never leaves a stale server."""

    def __init__(
        self,
        settings: SubscriberSettings,
        servers: Sequence[CandidateServer],
        rng: random.Random,
        *args: Any,
    ) -> None:
        times = replace(settings.times, staleness_limit=UNREACHABLE_LIMIT)
        super().__init__(replace(settings, times=times), servers, rng, *args)


class AnyEpochReceiver(TableReceiver):
    """Accepts updates of any epoch, even of a history that it has left."""

    def accepts_epoch(self, update: Update, is_server_fresh: bool) -> bool:  # noqa: ARG002  the defect ignores it
        """Return True for every update."""
        return True


class AcceptsAnyHistory(Subscriber):
    """Returns to an old history if its server still has it."""

    receiver_type = AnyEpochReceiver


class ServesStaleSnapshot(FanOut):
    """Treats a cached snapshot as the current table, and skips the changes after it."""

    def _end_snapshot(self, cursor: Any, snapshot: EncodedSnapshot) -> None:
        super()._end_snapshot(cursor, snapshot)
        cursor.revision = self.table.revision


class UnrefreshedDeltaCache(EncodedFrameCache):
    """Caches the first delta after each revision and never refreshes it."""

    def __init__(self, table: ResourceTable, chunk_bytes: int, key: bytes) -> None:
        super().__init__(table, chunk_bytes, key)
        self._first_deltas: dict[int, DeltaFrame] = {}

    def delta(self, revision: int) -> DeltaFrame:
        """Return the cached delta, labelled with the current revision."""
        first_delta = self._first_deltas.get(revision)
        if first_delta is None:
            first_delta = super().delta(revision)
            self._first_deltas[revision] = first_delta
        return replace(first_delta, revision=self._table.revision)


class ServesStaleDeltas(FanOut):
    """Sends outdated deltas from a cache that is never refreshed."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._frames = UnrefreshedDeltaCache(self.table, self._limits.chunk_bytes, self._key)


class PrematureAssembler(UpdateAssembler):
    """Replaces the table after each chunk of a snapshot instead of after the last one."""

    def _end_chunk(self, update: Update, staged: ResourceTable) -> AssemblyResult:  # noqa: ARG002  the defect ignores it
        staged.is_complete = True
        changed = self._table.difference(staged)
        self._table.replace_with(staged)
        self._staged = None
        return AssemblyResult(changed, snapshot=True)


class PrematureReceiver(TableReceiver):
    """Uses the assembler that replaces the table after each chunk."""

    assembler_type = PrematureAssembler


class AppliesFirstChunk(Subscriber):
    """Replaces the whole table with the first chunk of a snapshot."""

    receiver_type = PrematureReceiver


class OmitsRejections(Subscriber):
    """Does not report rejections to its server."""

    def on_applied(
        self,
        now: float,
        batch: int,
        rejected: Sequence[Rejection] = (),  # noqa: ARG002  the defect ignores it
    ) -> list[Action]:
        """Acknowledge the batch as if no resource was rejected."""
        return super().on_applied(now, batch, ())


class ReportsZeroAge(FanOut):
    """Reports in heartbeats that the table is up to date, regardless of its age."""

    def set_table_age(self, now: float, age: float) -> None:  # noqa: ARG002  the defect ignores it
        """Set the age to zero."""
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
    "tokens-forgotten": SeededDefect(faults=("voters",), state_machine=LosesOutcomes),
    "expected-unchecked": SeededDefect(state_machine=IgnoresExpectedRevision),
    "budget-ignored": SeededDefect(faults=("wave",), fan_out=IgnoresBudget),
    "silence-unnoticed": SeededDefect("single", ("stall", "zone"), subscriber=KeepsSilentServer),
    "stale-server-kept": SeededDefect("single", ("uplink",), subscriber=KeepsStaleServer),
    "always-fresh": SeededDefect("single", ("uplink",), fan_out=ReportsZeroAge),
    "any-history": SeededDefect(
        faults=("history", "uplink", "break", "distributors"), subscriber=AcceptsAnyHistory
    ),
    "stale-snapshot-served": SeededDefect(fan_out=ServesStaleSnapshot, subscriber=IgnoresDigests),
    "stale-deltas": SeededDefect(fan_out=ServesStaleDeltas, subscriber=IgnoresDigests),
    "parts-at-once": SeededDefect(faults=("rot", "regions"), subscriber=AppliesFirstChunk),
    "rejections-untold": SeededDefect(subscriber=OmitsRejections),
}
"""Seeded defects by their names on the command line."""
DEFECT_NAMES: Final = tuple(SEEDED_DEFECTS)
"""Names of all seeded defects."""
