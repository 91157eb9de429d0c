"""Rejections: the final answer to a request that did not run or that is safe to repeat."""

from __future__ import annotations

from enum import Enum

from dockthread.policy.actions import Reject
from dockthread.policy.context import Context
from dockthread.policy.model import RequestClass

# Advised wait before the client retries, as a fraction of the class's latency objective. A retry
# that comes later than the objective has lost its value, and takes units from requests that can
# still be answered in time.
RETRY_AFTER_FRACTION = 0.25


class RejectionReason(Enum):
    """Why a request was rejected, as access logs and metrics show it."""

    UNSPECIFIED = ""
    QUOTA = "quota"
    CAP = "cap"
    OVERLOAD = "pressed"
    CEILING = "ceiling"
    ROUTE_LIMIT = "limit"


def reject(
    context: Context,
    request: int,
    request_class: RequestClass,
    reason: RejectionReason = RejectionReason.UNSPECIFIED,
) -> None:
    """Add an action that rejects a request and advises the client when to retry.

    Every rejection carries this advice; the host decides whether to pass it on to the client.
    """
    retry_after = min(
        context.settings.max_retry_after, RETRY_AFTER_FRACTION * request_class.latency_objective
    )
    context.actions.append(Reject(request, retry_after, reason.value))
