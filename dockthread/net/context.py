"""The objects that the components of one ingress share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dockthread.clock import Clock
from dockthread.net.endpoint_list import EndpointList
from dockthread.net.event_loop_lag import EventLoopLagMonitor
from dockthread.net.lifecycle import Lifecycle
from dockthread.net.timers import Timers
from dockthread.observer import Traffic
from dockthread.policy import Event

MAINTENANCE_INTERVAL_MS = 250.0  # Time between two runs of an ingress's periodic maintenance.


@dataclass(frozen=True, slots=True)
class IngressContext:
    """Objects shared by the components of one ingress.

    `dispatch` passes an event to the policy engine.
    """

    clock: Clock
    timers: Timers
    lifecycle: Lifecycle
    traffic: Traffic
    endpoints: EndpointList
    event_loop_lag: EventLoopLagMonitor
    dispatch: Callable[[Event], None]
