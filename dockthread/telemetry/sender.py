"""Decides what one receiver is sent, and when. No I/O: events in, one action out.

Theory of operation. A receiver is down until there is something to say. Then a connection is tried;
a try that fails, or a connection that breaks, waits before the next, twice as long each time up to
a bound, with full jitter so that a fleet does not return in one instant. Reports go one at a time.
A connection that breaks has its last reports sent once more. `leave` asks for the end: what waits
is still sent, as long as the receiver takes it, and one more connection is tried at once; the time
for that is the caller's to bound.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from dockthread.telemetry.backlog import Backlog, Report

FIRST_PAUSE, MOST_PAUSE = 250.0, 15_000.0  # ms between tries
LAST_PAUSE = 50.0  # between tries while leaving


class Phase(Enum):
    DOWN = "down"  # no connection, none wanted
    CONNECTING = "connecting"
    UP = "up"  # connected, nothing to send
    SENDING = "sending"
    WAITING = "waiting"  # for the next try
    CLOSING = "closing"  # all is handed over; the other end is to see the end
    ENDED = "ended"


class Event(Enum):
    QUEUED = "queued"  # there is something to send
    CONNECTED = "connected"
    FAILED = "failed"  # a connection did not come up, broke or stalled
    HANDED = "handed"  # a report is with the receiver's side
    DUE = "due"  # the pause is over
    LEFT = "left"  # nothing more will be queued
    CLOSED = "closed"  # the other end has seen the end


class Do(Enum):
    NOTHING = "nothing"
    CONNECT = "connect"
    SEND = "send"
    PAUSE = "pause"
    CLOSE = "close"


STAY = (None, Do.NOTHING)
TABLE: dict[tuple[Phase, Event], tuple[Phase | None, Do]] = {
    (Phase.DOWN, Event.QUEUED): (Phase.CONNECTING, Do.CONNECT),
    (Phase.DOWN, Event.LEFT): (Phase.ENDED, Do.NOTHING),
    (Phase.CONNECTING, Event.QUEUED): STAY,
    (Phase.CONNECTING, Event.CONNECTED): (Phase.SENDING, Do.SEND),
    (Phase.CONNECTING, Event.FAILED): (Phase.WAITING, Do.PAUSE),
    (Phase.CONNECTING, Event.LEFT): STAY,
    (Phase.UP, Event.QUEUED): (Phase.SENDING, Do.SEND),
    (Phase.UP, Event.FAILED): (Phase.WAITING, Do.PAUSE),
    (Phase.UP, Event.LEFT): (Phase.CLOSING, Do.CLOSE),
    (Phase.SENDING, Event.QUEUED): STAY,
    (Phase.SENDING, Event.HANDED): (Phase.SENDING, Do.SEND),  # UP where nothing is left
    (Phase.SENDING, Event.FAILED): (Phase.WAITING, Do.PAUSE),
    (Phase.SENDING, Event.LEFT): STAY,
    (Phase.WAITING, Event.QUEUED): STAY,
    (Phase.WAITING, Event.DUE): (Phase.CONNECTING, Do.CONNECT),  # DOWN where nothing is left
    (Phase.WAITING, Event.LEFT): (Phase.CONNECTING, Do.CONNECT),
    (Phase.CLOSING, Event.CLOSED): (Phase.ENDED, Do.NOTHING),
    # it broke: the last reports go once more
    (Phase.CLOSING, Event.FAILED): (Phase.WAITING, Do.PAUSE),
}


@dataclass(frozen=True, slots=True)
class Action:
    """`report` goes with SEND; `pause`, in milliseconds, with PAUSE."""

    do: Do
    report: Report | None = None
    pause: float = 0.0


class Sender:
    def __init__(self, backlog: Backlog, rng: random.Random) -> None:
        self.backlog, self._rng = backlog, rng
        self.phase = Phase.DOWN
        self.leaving = False
        self.failures = 0  # in a row
        self.sent = self.lost = 0

    def queue(self, report: Report) -> Action:
        self.backlog.put(report)
        return self.handle(Event.QUEUED)

    def leave(self) -> Action:
        self.leaving = True
        return self.handle(Event.LEFT)

    def handle(self, event: Event) -> Action:
        """Raises KeyError for an event that the present phase cannot have."""
        phase, do = TABLE[self.phase, event]
        if event is Event.FAILED:
            self.failures, self.lost = self.failures + 1, self.lost + 1
            self.backlog.again()
        elif event is Event.HANDED:
            self.failures, self.sent = 0, self.sent + 1
        report = self.backlog.first()
        if report is None and (do is Do.SEND or do is Do.CONNECT):
            up = do is Do.SEND
            phase, do = (Phase.UP if up else Phase.DOWN), Do.NOTHING
            if self.leaving:
                phase, do = (Phase.CLOSING, Do.CLOSE) if up else (Phase.ENDED, Do.NOTHING)
        self.phase = phase or self.phase
        if do is Do.PAUSE:
            return Action(do, pause=self._pause())
        return Action(do, report if do is Do.SEND else None)

    def _pause(self) -> float:
        """Full jitter over a span that doubles."""
        if self.leaving:
            return LAST_PAUSE
        span = min(MOST_PAUSE, FIRST_PAUSE * 2 ** min(self.failures - 1, 16))
        return float(span * self._rng.uniform(0.1, 1.0))
