"""The state machine that decides what is sent to one receiver, and when; it does no I/O.

Each event results in one action. The sender stays disconnected until a report is queued, and then
connects. When connecting fails or a connection breaks, it backs off before the next attempt. The
backoff doubles with each failure up to a maximum. Random jitter keeps many ingresses from
reconnecting at the same time. Reports are sent one at a time. When a connection breaks, the last
delivered reports are sent again. A drain ends the current backoff, sends all queued reports and
then closes the connection. The caller sets a time limit for a drain.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from dockthread.telemetry.delivery_queue import DeliveryQueue, Report

# First backoff in milliseconds, before jitter.
INITIAL_BACKOFF_MS = 250.0
# Maximum backoff in milliseconds, before jitter.
MAX_BACKOFF_MS = 15_000.0
# Lower bound of the random factor by which a backoff is multiplied; the upper bound is 1.
MIN_JITTER_FACTOR = 0.1
# Maximum number of times that the backoff is doubled: enough to reach `MAX_BACKOFF_MS`, and small
# enough to prevent an overflow.
MAX_DOUBLINGS = 16
# Backoff in milliseconds during a drain; it is short because the time for a drain is limited.
DRAIN_BACKOFF_MS = 50.0


class SenderState(Enum):
    """States of the sender."""

    DISCONNECTED = "disconnected"  # not connected, and no report is queued
    CONNECTING = "connecting"
    IDLE = "idle"  # connected, and no report is queued
    SENDING = "sending"
    BACKING_OFF = "backing off"  # waiting before the next connection attempt
    CLOSING = (
        "closing"  # all reports are written; waiting for the receiver to see the end of the stream
    )
    ENDED = "ended"


class Event(Enum):
    """Changes of the queue or the connection, which drive the state machine."""

    QUEUED = "queued"
    CONNECTED = "connected"
    FAILED = "failed"  # connecting failed, or the connection broke or timed out
    DELIVERED = "delivered"  # a report was written completely
    BACKOFF_ELAPSED = "backoff elapsed"
    DRAIN_REQUESTED = "drain requested"  # no more reports will be queued
    CLOSED = "closed"  # the receiver has seen the end of the stream


class ActionKind(Enum):
    """Kinds of actions that the caller performs."""

    NOTHING = "nothing"
    CONNECT = "connect"
    SEND = "send"
    BACK_OFF = "back off"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Action:
    """The action that the caller performs next.

    Attributes:
        kind: The kind of the action.
        report: The report to send, if the kind is `SEND`.
        backoff_ms: The time to wait, if the kind is `BACK_OFF`.
    """

    kind: ActionKind
    report: Report | None = None
    backoff_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Transition:
    """The next state, or None to keep the current one, and the action to perform."""

    state: SenderState | None
    action: ActionKind = ActionKind.NOTHING


STAY = Transition(None)
CONNECT = Transition(SenderState.CONNECTING, ActionKind.CONNECT)
SEND = Transition(SenderState.SENDING, ActionKind.SEND)
BACK_OFF = Transition(SenderState.BACKING_OFF, ActionKind.BACK_OFF)
CLOSE = Transition(SenderState.CLOSING, ActionKind.CLOSE)
END = Transition(SenderState.ENDED)

# When no report is queued, CONNECT and SEND are replaced; see `Sender._transition_without_report`.
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
    # The connection broke before the receiver saw the end of the stream, so reports are resent.
    (SenderState.CLOSING, Event.FAILED): BACK_OFF,
}


class Sender:
    """The state machine for one receiver.

    Attributes:
        delivery_queue: The reports that are waiting for the receiver.
        state: The current state.
        is_draining: Whether a drain was requested.
        consecutive_failures: Number of consecutive failures; reset when a report is delivered.
        reports_sent: Number of reports delivered since the sender was created.
        connections_lost: Number of connections that failed or broke since the sender was created.
    """

    def __init__(self, delivery_queue: DeliveryQueue, rng: random.Random) -> None:
        self.delivery_queue = delivery_queue
        self.state = SenderState.DISCONNECTED
        self.is_draining = False
        self.consecutive_failures = 0
        self.reports_sent = 0
        self.connections_lost = 0
        self._rng = rng

    def enqueue(self, report: Report) -> Action:
        """Queue a report and return the next action."""
        self.delivery_queue.enqueue(report)
        return self.handle(Event.QUEUED)

    def drain(self) -> Action:
        """Request a drain and return the next action."""
        self.is_draining = True
        return self.handle(Event.DRAIN_REQUESTED)

    def handle(self, event: Event) -> Action:
        """Change to the next state and return the next action.

        Raises:
            KeyError: if the event cannot occur in the current state.
        """
        transition = TRANSITIONS[self.state, event]
        self._update_counts(event)
        report = self.delivery_queue.peek()
        if report is None:
            transition = self._transition_without_report(transition)
        self.state = transition.state or self.state
        if transition.action is ActionKind.BACK_OFF:
            return Action(transition.action, backoff_ms=self._next_backoff_ms())
        if transition.action is ActionKind.SEND:
            return Action(transition.action, report)
        return Action(transition.action)

    def _update_counts(self, event: Event) -> None:
        if event is Event.FAILED:
            self.consecutive_failures += 1
            self.connections_lost += 1
            self.delivery_queue.requeue_delivered()
        elif event is Event.DELIVERED:
            self.consecutive_failures = 0
            self.reports_sent += 1

    def _transition_without_report(self, transition: Transition) -> Transition:
        """Return the transition to use while no report is queued."""
        if transition.action is ActionKind.SEND:
            return CLOSE if self.is_draining else Transition(SenderState.IDLE)
        if transition.action is ActionKind.CONNECT:
            return END if self.is_draining else Transition(SenderState.DISCONNECTED)
        return transition

    def _next_backoff_ms(self) -> float:
        """Return a backoff that doubles with each failure and has random jitter."""
        if self.is_draining:
            return DRAIN_BACKOFF_MS
        doublings = min(self.consecutive_failures - 1, MAX_DOUBLINGS)
        nominal_backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**doublings)
        return float(nominal_backoff_ms * self._rng.uniform(MIN_JITTER_FACTOR, 1.0))
