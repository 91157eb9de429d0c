"""The life cycle of a maintenance request: every transition between its states, in one table."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from types import MappingProxyType

from dockthread.maintenance.commands import RequestState


class RequestEvent(Enum):
    """What moves a request from one state to another."""

    GRANTED = auto()  # every constraint allows it
    MEMBER_DRAINED = auto()  # one member has drained the target
    ALL_DRAINED = auto()  # every awaited member has drained the target
    REVOKED = auto()  # the grant timed out, or its zone became unsafe
    ABANDONED = auto()  # too many grants timed out
    WITHDRAWN = auto()  # staff withdrew it before it was granted
    DURATION_EXCEEDED = auto()  # the work takes longer than staff said
    RETURN_STARTED = auto()  # the work is over, or the ingress has restarted
    ALL_RELEASED = auto()  # every awaited member sends requests to the target again
    WARMED_UP = auto()  # the target is warm after finished work
    WARMED_UP_AFTER_WITHDRAWAL = auto()  # the target is warm after withdrawn work


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
# The target is out of service: staff may work at it.
UNAVAILABLE_STATES = (RequestState.UNAVAILABLE, RequestState.OVERDUE)
# Every member sends no new requests to the target.
DRAINED_STATES = (*REVOCABLE_STATES, *UNAVAILABLE_STATES)
FINAL_STATES = (RequestState.DONE, RequestState.WITHDRAWN, RequestState.ABANDONED)
