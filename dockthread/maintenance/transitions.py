"""The lifecycle of a maintenance request: every transition between its states, in one table."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from types import MappingProxyType

from dockthread.maintenance.commands import RequestState


class RequestEvent(Enum):
    """An event that moves a request from one state to another."""

    GRANTED = auto()  # every constraint allows the grant
    MEMBER_DRAINED = auto()  # one member has drained the target
    ALL_DRAINED = auto()  # every awaited member has drained the target
    REVOKED = auto()  # the grant timed out, or its zone became unsafe
    ABANDONED = auto()  # too many grants timed out
    WITHDRAWN = auto()  # an operator withdrew the request before it was granted
    DURATION_EXCEEDED = auto()  # maintenance takes longer than the operator announced
    RETURN_STARTED = auto()  # maintenance is over, or the ingress has restarted
    ALL_RELEASED = auto()  # every awaited member sends requests to the target again
    WARMED_UP = auto()  # the target has warmed up after completed maintenance
    WARMED_UP_AFTER_WITHDRAWAL = auto()  # the target has warmed up after withdrawn maintenance


TRANSITIONS: Mapping[tuple[RequestState, RequestEvent], RequestState] = MappingProxyType(
    {
        (RequestState.WAITING, RequestEvent.GRANTED): RequestState.GRANTED,
        (RequestState.WAITING, RequestEvent.WITHDRAWN): RequestState.WITHDRAWN,
        (RequestState.WAITING, RequestEvent.ABANDONED): RequestState.ABANDONED,
        (RequestState.GRANTED, RequestEvent.MEMBER_DRAINED): RequestState.DRAINING,
        (RequestState.GRANTED, RequestEvent.REVOKED): RequestState.WAITING,
        (RequestState.GRANTED, RequestEvent.RETURN_STARTED): RequestState.RETURNING,
        (RequestState.DRAINING, RequestEvent.MEMBER_DRAINED): RequestState.DRAINING,
        (RequestState.DRAINING, RequestEvent.ALL_DRAINED): RequestState.UNAVAILABLE,
        (RequestState.DRAINING, RequestEvent.REVOKED): RequestState.WAITING,
        (RequestState.DRAINING, RequestEvent.RETURN_STARTED): RequestState.RETURNING,
        (RequestState.UNAVAILABLE, RequestEvent.DURATION_EXCEEDED): RequestState.OVERDUE,
        (RequestState.UNAVAILABLE, RequestEvent.RETURN_STARTED): RequestState.RETURNING,
        (RequestState.OVERDUE, RequestEvent.RETURN_STARTED): RequestState.RETURNING,
        (RequestState.RETURNING, RequestEvent.ALL_RELEASED): RequestState.WARMING_UP,
        (RequestState.WARMING_UP, RequestEvent.WARMED_UP): RequestState.DONE,
        (
            RequestState.WARMING_UP,
            RequestEvent.WARMED_UP_AFTER_WITHDRAWAL,
        ): RequestState.WITHDRAWN,
    }
)

# A grant in one of these states may still be revoked.
REVOCABLE_STATES = (RequestState.GRANTED, RequestState.DRAINING)
# Every awaited member has drained the target, so that operators may work on it.
UNAVAILABLE_STATES = (RequestState.UNAVAILABLE, RequestState.OVERDUE)
# No member sends new requests to the target.
DRAINED_STATES = (*REVOCABLE_STATES, *UNAVAILABLE_STATES)
FINAL_STATES = (RequestState.DONE, RequestState.WITHDRAWN, RequestState.ABANDONED)
