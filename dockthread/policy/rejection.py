"""Rejections: the final answer to a request that is not tried, or proved harmless to repeat."""

from __future__ import annotations

from enum import Enum

from dockthread.policy.actions import Reject
from dockthread.policy.context import Context
from dockthread.policy.model import RequestClass

# Advised wait before the client asks again, as a fraction of the class's latency objective. A
# client that waits longer than the objective returns for nothing and takes units from requests
# that are still in time.
RETRY_AFTER_FRACTION = 0.25


class RejectionReason(Enum):
    """Why a request was rejected, as access logs and metrics show it."""

    UNSPECIFIED = ""
    QUOTA = "quota"
    CAP = "cap"
    PRESSED = "pressed"
    CEILING = "ceiling"
    ROUTE_LIMIT = "limit"


def reject(
    context: Context,
    request: int,
    request_class: RequestClass,
    reason: RejectionReason = RejectionReason.UNSPECIFIED,
) -> None:
    """Append the rejection of a request, with advice when to retry.

    Every rejection carries the advice: whoever passes answers on decides whether clients see it.
    """
    retry_after = min(
        context.settings.max_retry_after, RETRY_AFTER_FRACTION * request_class.latency_objective
    )
    context.actions.append(Reject(request, retry_after, reason.value))
