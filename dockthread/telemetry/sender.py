"""The state machine that decides what one receiver is sent, and when; it does no I/O.

Theory of operation. An event goes in and one action comes out. A receiver is disconnected until
there is something to send. Then a connection is attempted. When an attempt fails or a connection
breaks, the sender waits before the next attempt; the wait doubles with each failure up to a bound,
with full jitter, so that many ingresses do not return in one instant. Reports are sent one at a
time. When a connection breaks, the last reports delivered over it are sent again. A drain asks for
the end: what is queued is still sent as long as the receiver takes it, and a wait is cut short. The
caller bounds the time of a drain.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from dockthread.telemetry.delivery_queue import DeliveryQueue, Report

# Milliseconds of the first wait, before jitter.
INITIAL_BACKOFF_MS = 250.0
# Milliseconds that a wait never exceeds.
MAX_BACKOFF_MS = 15_000.0
# Part of a wait that jitter leaves at least.
MIN_JITTER = 0.1
# Doublings that are counted; far beyond `MAX_BACKOFF_MS`, and small enough for a float.
MAX_DOUBLINGS = 16
# Milliseconds of each wait during a drain, whose time is short.
DRAIN_BACKOFF_MS = 50.0


class SenderState(Enum):
    """What the sender is doing."""

    DISCONNECTED = "disconnected"  # without a connection, and with nothing to send
    CONNECTING = "connecting"
    IDLE = "idle"  # connected, with nothing to send
    SENDING = "sending"
    BACKING_OFF = "backing off"  # waiting for the next attempt to connect
    CLOSING = "closing"  # all is delivered; waiting for the receiver to see the end
    ENDED = "ended"


class Event(Enum):
    """What happened to the queue or the connection."""

    QUEUED = "queued"
    CONNECTED = "connected"
    FAILED = "failed"  # the connection was not established, broke or stalled
    DELIVERED = "delivered"  # a report was written completely
    BACKOFF_ELAPSED = "backoff elapsed"
    DRAIN_REQUESTED = "drain requested"  # nothing more will be queued
    CLOSED = "closed"  # the receiver has seen the end


class ActionKind(Enum):
    """What the caller is to do."""

    NOTHING = "nothing"
    CONNECT = "connect"
    SEND = "send"
    BACK_OFF = "back off"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Action:
    """What the caller is to do next.

    Attributes:
        kind: What to do.
        report: The report to send, with `SEND`.
        backoff_ms: The time to wait, with `BACK_OFF`.
    """

    kind: ActionKind
    report: Report | None = None
    backoff_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Transition:
    """The next state, or None to stay, and what to do on the way."""

    state: SenderState | None
    action: ActionKind = ActionKind.NOTHING


STAY = Transition(None)
CONNECT = Transition(SenderState.CONNECTING, ActionKind.CONNECT)
SEND = Transition(SenderState.SENDING, ActionKind.SEND)
BACK_OFF = Transition(SenderState.BACKING_OFF, ActionKind.BACK_OFF)
CLOSE = Transition(SenderState.CLOSING, ActionKind.CLOSE)
END = Transition(SenderState.ENDED)

# Where nothing is queued, CONNECT and SEND are replaced; see `Sender._without_report`.
TRANSITIONS: dict[tuple[SenderState, Event], Transition] = {
    (SenderState.DISCONNECTED, Event.QUEUED): CONNECT,
    (SenderState.DISCONNECTED, Event.DRAIN_REQUESTED): END,
    (SenderState.CONNECTING, Event.QUEUED): STAY,
    (SenderState.CONNECTING, Event.CONNECTED): SEND,
    (SenderState.CONNECTING, Event.FAILED): BACK_OFF,
    (SenderState.CONNECTING, Event.DRAIN_REQUESTED): STAY,
    (SenderState.IDLE, Event.QUEUED): SEND,
    (SenderState.IDLE, Event.FAILED): BACK_OFF,
    (SenderState.IDLE, Event.DRAIN_REQUESTED): CLOSE,
    (SenderState.SENDING, Event.QUEUED): STAY,
    (SenderState.SENDING, Event.DELIVERED): SEND,
    (SenderState.SENDING, Event.FAILED): BACK_OFF,
    (SenderState.SENDING, Event.DRAIN_REQUESTED): STAY,
    (SenderState.BACKING_OFF, Event.QUEUED): STAY,
    (SenderState.BACKING_OFF, Event.BACKOFF_ELAPSED): CONNECT,
    (SenderState.BACKING_OFF, Event.DRAIN_REQUESTED): CONNECT,
    (SenderState.CLOSING, Event.CLOSED): END,
    # The connection broke before the receiver saw the end: the last reports are sent again.
    (SenderState.CLOSING, Event.FAILED): BACK_OFF,
}


class Sender:
    """The state machine of one receiver.

    Attributes:
        delivery_queue: The reports that wait for the receiver.
        state: What the sender is doing.
        is_draining: Whether the end was asked for.
        failures: Failed connections in a row.
        sent: Reports delivered since the start.
        lost: Connections that failed or broke since the start.
    """

    def __init__(self, delivery_queue: DeliveryQueue, rng: random.Random) -> None:
        self.delivery_queue = delivery_queue
        self.state = SenderState.DISCONNECTED
        self.is_draining = False
        self.failures = 0
        self.sent = 0
        self.lost = 0
        self._rng = rng

    def enqueue(self, report: Report) -> Action:
        """Queue a report and return what to do."""
        self.delivery_queue.enqueue(report)
        return self.handle(Event.QUEUED)

    def drain(self) -> Action:
        """Send what is queued and end; return what to do first."""
        self.is_draining = True
        return self.handle(Event.DRAIN_REQUESTED)

    def handle(self, event: Event) -> Action:
        """Go to the next state and return what to do.

        Raises:
            KeyError: if the event cannot happen in the present state.
        """
        transition = TRANSITIONS[self.state, event]
        self._count(event)
        report = self.delivery_queue.peek()
        if report is None:
            transition = self._without_report(transition)
        self.state = transition.state or self.state
        if transition.action is ActionKind.BACK_OFF:
            return Action(transition.action, backoff_ms=self._next_backoff_ms())
        if transition.action is ActionKind.SEND:
            return Action(transition.action, report)
        return Action(transition.action)

    def _count(self, event: Event) -> None:
        if event is Event.FAILED:
            self.failures += 1
            self.lost += 1
            self.delivery_queue.requeue_delivered()
        elif event is Event.DELIVERED:
            self.failures = 0
            self.sent += 1

    def _without_report(self, transition: Transition) -> Transition:
        """Replace a transition that needs a report while none is queued."""
        if transition.action is ActionKind.SEND:
            return CLOSE if self.is_draining else Transition(SenderState.IDLE)
        if transition.action is ActionKind.CONNECT:
            return END if self.is_draining else Transition(SenderState.DISCONNECTED)
        return transition

    def _next_backoff_ms(self) -> float:
        """Return a random wait of a span that doubles with each failure (full jitter)."""
        if self.is_draining:
            return DRAIN_BACKOFF_MS
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        span_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**doublings)
        return float(span_ms * self._rng.uniform(MIN_JITTER, 1.0))
