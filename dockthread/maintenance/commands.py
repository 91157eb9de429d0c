"""Types of the replicated log and state: commands, leader reports and requests.

All structs are encoded as arrays, so the order of their fields is the format of the log and of its
snapshots; names of fields and enum members are not. Values of the enums are encoded.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from dockthread.errors import DockthreadError

DEFAULT_GRANT_TIMEOUT_MS = 30_000.0  # how long a granted request may take to drain
DEFAULT_FAILURE_TIMEOUT_MS = 5_000.0  # silence after which a member counts as failed
DEFAULT_HEADROOM = 0.2  # fraction of a zone's remaining capacity that is to stay unused


class TargetKind(StrEnum):
    """What a request takes out of service."""

    BACKEND = "node"
    INGRESS = "ingress"


class CommandAction(StrEnum):
    """What a command does."""

    REQUEST = "ask"  # staff ask for maintenance of a target
    WITHDRAW = "withdraw"  # staff no longer need it
    COMPLETE = "done"  # staff have finished the work
    DRAINED = "held"  # a member has drained the target
    RELEASED = "freed"  # a member sends requests to the target again
    RESTARTED = "back"  # an ingress serves again in a new incarnation
    REPORT = "tick"  # the leader reports elapsed time and what a majority observes


class RequestState(StrEnum):
    """Where a request stands; `transitions.py` says which state follows which."""

    WAITING = "waiting"
    GRANTED = "granted"
    DRAINING = "draining"
    UNAVAILABLE = "out"
    OVERDUE = "overdue"
    RETURNING = "returning"
    WARMING_UP = "warming"
    DONE = "done"
    WITHDRAWN = "withdrawn"
    ABANDONED = "abandoned"


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a majority of the members observes of a zone.

    Attributes:
        name: The zone.
        ready: Number of backends that serve.
        failing: Backends whose requests fail.
        load: Requests in flight of all members, divided by the capacity of one backend; negative
            where that capacity is not known.
        is_overloaded: Requests wait too long in this zone.
    """

    name: str
    ready: int
    failing: tuple[str, ...] = ()
    load: float = -1.0
    is_overloaded: bool = False


class LeaderReport(msgspec.Struct, frozen=True, array_like=True):
    """The leader's periodic report, which moves the log's clock.

    Attributes:
        number: Reports before this one, plus one; a report with another number is ignored.
        elapsed_ms: Time since the report before, at most what the leader saw pass.
        members: All members of the fleet.
        reachable: Members from which the leader received a message lately.
        zones: Zones of the requested backends.
        listed_targets: Requested backends that a majority finds in its endpoint list.
        grant_timeout_ms: Time after which a grant that is not drained is revoked.
        failure_timeout_ms: Silence after which a member is not waited for.
        headroom: Fraction of the remaining capacity of a zone that is to stay unused.
    """

    number: int = 0
    elapsed_ms: float = 0.0
    members: tuple[str, ...] = ()
    reachable: tuple[str, ...] = ()
    zones: tuple[ZoneStatus, ...] = ()
    listed_targets: tuple[str, ...] = ()
    grant_timeout_ms: float = DEFAULT_GRANT_TIMEOUT_MS
    failure_timeout_ms: float = DEFAULT_FAILURE_TIMEOUT_MS
    headroom: float = DEFAULT_HEADROOM


class MaintenanceCommand(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        action: What the command does.
        target: Identifier of the backend, or name of the ingress.
        zone: Zone of the backend as the ingress that took the request knows it.
        comment: Staff's words on the request.
        sender: The member that proposes the command.
        urgency: Requests of higher urgency are granted first.
        max_unavailable: Targets of the zone that may be unavailable at once.
        command_id: The same where a command is proposed again; a known one is ignored.
        kind: What the target is.
        duration_ms: How long the work is to take; 0 where staff did not say.
        warm_up_ms: How long the target warms up after the work.
        epoch: Epoch of the grant that the command is about.
        incarnation: Incarnation of the sender.
        report: The report of a `REPORT` command.
    """

    action: CommandAction
    target: str = ""
    zone: str = ""
    comment: str = ""
    sender: str = ""
    urgency: int = 0
    max_unavailable: int = 1
    command_id: str = ""
    kind: TargetKind = TargetKind.BACKEND
    duration_ms: float = 0.0
    warm_up_ms: float = 0.0
    epoch: int = 0
    incarnation: str = ""
    report: LeaderReport = LeaderReport()


class MaintenanceRequest(msgspec.Struct, array_like=True):
    """A request in the replicated state.

    The names given by `field` are the keys of the management endpoint's listing.

    Attributes:
        target: Identifier of the backend, or name of the ingress.
        zone: Zone of the backend; empty for an ingress.
        comment: Staff's words on the request.
        requested_by: The member that took the request.
        urgency: Requests of higher urgency are granted first.
        max_unavailable: Targets of the zone that may be unavailable at once.
        requested_index: Index of the log at which it was requested.
        state: Where it stands.
        epoch: Index of the log at which it was granted; 0 before.
        kind: What the target is.
        duration_ms: How long the work is to take; 0 where staff did not say.
        warm_up_ms: How long the target warms up after the work.
        state_since_ms: The log's time at which the state began.
        drained_by: Members that have drained the target in this epoch.
        released_by: Members that send requests to the target again.
        final_state: State in which it ends once it is warm; empty before it returns.
        timeout_count: Grants that timed out.
        revocation_reason: Why the last grant was revoked, in words for staff.
        incarnation: Incarnation of the ingress that is to restart.
        is_evaluated: A report has come since it was requested.
    """

    target: str
    zone: str
    comment: str = msgspec.field(name="why")
    requested_by: str = msgspec.field(name="by")
    urgency: int
    max_unavailable: int = msgspec.field(name="most")
    requested_index: int = msgspec.field(name="since")
    state: RequestState = RequestState.WAITING
    epoch: int = 0
    kind: TargetKind = TargetKind.BACKEND
    duration_ms: float = msgspec.field(default=0.0, name="length")
    warm_up_ms: float = msgspec.field(default=0.0, name="warm")
    state_since_ms: float = msgspec.field(default=0.0, name="at")
    drained_by: tuple[str, ...] = msgspec.field(default=(), name="held")
    released_by: tuple[str, ...] = msgspec.field(default=(), name="freed")
    final_state: str = msgspec.field(default="", name="ends")
    timeout_count: int = msgspec.field(default=0, name="tries")
    revocation_reason: str = msgspec.field(default="", name="why_back")
    incarnation: str = msgspec.field(default="", name="life")
    is_evaluated: bool = msgspec.field(default=False, name="looked")


class MalformedCommandError(DockthreadError, ValueError):
    """An entry of the log is no maintenance command."""


def decode_command(data: bytes) -> MaintenanceCommand:
    """Decode a command from the log.

    Raises:
        MalformedCommandError: The bytes are no maintenance command.
    """
    try:
        return msgspec.msgpack.decode(data, type=MaintenanceCommand)
    except msgspec.MsgspecError as error:
        raise MalformedCommandError(f"no maintenance command: {error}") from error
