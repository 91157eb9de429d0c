"""Types of the replicated log and state: commands, leader reports and requests.

All structs are encoded as arrays, so the order of their fields and the values of the enums are part
of the format of the log and of its snapshots; the names of fields and enum members are not.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from dockthread.errors import DockthreadError

DEFAULT_GRANT_TIMEOUT_MS = 30_000.0  # maximum time that a granted request may take to drain
DEFAULT_FAILURE_TIMEOUT_MS = 5_000.0  # unreachable time after which a member counts as failed
DEFAULT_HEADROOM = 0.2  # fraction of a zone's remaining capacity that must stay free


class TargetKind(StrEnum):
    """The kind of target that a request takes out of service."""

    BACKEND = "node"
    INGRESS = "ingress"


class CommandAction(StrEnum):
    """The effect of a command."""

    REQUEST = "ask"  # an operator requests maintenance of a target
    WITHDRAW = "withdraw"  # an operator withdraws a request
    COMPLETE = "done"  # an operator reports that maintenance is finished
    DRAINED = "held"  # a member has drained the target
    RELEASED = "freed"  # a member sends requests to the target again
    RESTARTED = "back"  # an ingress serves again in a new incarnation
    REPORT = "tick"  # the leader reports elapsed time and the aggregated observations


class RequestState(StrEnum):
    """State of a request; `transitions.py` defines the transitions."""

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
    """Status of a zone, aggregated from the observations of a majority of the members.

    Attributes:
        name: Name of the zone.
        ready: Number of backends that serve requests.
        failing: Backends at which requests fail.
        load: Requests in flight from all members, divided by the capacity of one backend; negative
            if that capacity is unknown.
        is_overloaded: Whether requests wait too long in this zone.
    """

    name: str
    ready: int
    failing: tuple[str, ...] = ()
    load: float = -1.0
    is_overloaded: bool = False


class LeaderReport(msgspec.Struct, frozen=True, array_like=True):
    """The leader's periodic report, which advances the replicated time.

    Attributes:
        number: Sequence number from 1; a report that is out of sequence is ignored.
        elapsed_ms: Time since the previous report, at most the time passed on the leader's clock.
        members: All members of the fleet.
        reachable: Members that the leader has recently received a message from.
        zones: Status of the zones of the requested backends.
        listed_targets: Requested backends that are in the endpoint lists of a majority.
        grant_timeout_ms: Time after which a grant is revoked if the target is not drained.
        failure_timeout_ms: Unreachable time after which a member's confirmation is not awaited.
        headroom: Fraction of a zone's remaining capacity that must stay free.
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
        action: Effect of the command.
        target: Identifier of the backend, or name of the ingress.
        zone: Zone of the backend as known to the ingress that received the request.
        comment: The operator's comment on the request.
        sender: The member that proposes the command.
        urgency: Requests of higher urgency are granted first.
        max_unavailable: Maximum number of targets of the zone that may be out of service at once.
        command_id: Identifier of the command; a repeated proposal has the same and is ignored.
        kind: Kind of the target.
        duration_ms: Expected duration of maintenance; 0 if the operator gave none.
        warm_up_ms: Warm-up time of the target after maintenance.
        epoch: Epoch of the grant that the command refers to.
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
    """A maintenance request in the replicated state.

    The names given by `field` are the keys of the management endpoint's listing.

    Attributes:
        target: Identifier of the backend, or name of the ingress.
        zone: Zone of the backend; empty for an ingress.
        comment: The operator's comment.
        requested_by: The member that received the request.
        urgency: Requests of higher urgency are granted first.
        max_unavailable: Maximum number of targets of the zone that may be out of service at once.
        requested_index: Log index of the request.
        state: Current state of the request.
        epoch: Log index of the grant; 0 before the first grant.
        kind: Kind of the target.
        duration_ms: Expected duration of maintenance; 0 if the operator gave none.
        warm_up_ms: Warm-up time of the target after maintenance.
        state_since_ms: Replicated time at which the state began.
        drained_by: Members that have drained the target in this epoch.
        released_by: Members that send requests to the target again.
        final_state: Final state after the warm-up; empty before the target returns.
        timeout_count: Number of grants that timed out.
        revocation_reason: Why the last grant was revoked, as text for operators.
        incarnation: Incarnation of the ingress that has to restart.
        is_evaluated: Whether a report has been applied since the request.
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
    """A log entry that cannot be decoded as a maintenance command."""


def decode_command(data: bytes) -> MaintenanceCommand:
    """Decode a command from the log.

    Raises:
        MalformedCommandError: The bytes are not a maintenance command.
    """
    try:
        return msgspec.msgpack.decode(data, type=MaintenanceCommand)
    except msgspec.MsgspecError as error:
        raise MalformedCommandError(f"cannot decode a maintenance command: {error}") from error
