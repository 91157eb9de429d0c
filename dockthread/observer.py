"""The interface through which an ingress reports events to telemetry and to the trace log.

The ingress calls an `Observer` while it processes requests, so its methods must be cheap, such as
incrementing counters. `Observer` itself ignores all events; an ingress uses it while telemetry and
tracing are off.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.policy import Outcome

LOG_INTERVAL_MS = 10_000.0  # Minimum time between two log lines about observers that failed.

# Outcomes of a request. They are part of metric paths.
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
OUTCOMES = (SERVED, REJECTED, FAILED)


class DropReason(Enum):
    """Why a connection or an attempt was given up, as metrics show it."""

    RESPONSE_CUT = "response_cut"  # the backend broke off within a long answer
    BACKEND_STALLED = "backend_stalled"  # it wrote nothing for too long within a reply
    CLIENT_STALLED = "client_stalled"  # it read nothing for too long
    CLIENT_LEFT = "client_left"  # an attempt was not sent, because the client had closed
    COMMAND_TIMEOUT = "command_timeout"  # a command was not completed in time
    NO_MEMORY = "no_memory"  # there were no blocks for the body of a request
    REPEATED_ID = "repeated_id"  # a request had an id that must not run again

    # Reasons are hashed for each count; Enum's own hash is written in Python.
    __hash__ = object.__hash__


class Traffic:
    """Counters of one ingress since its start: bytes, connections, attempts, gossip and requests.

    They are plain integers that are always incremented, which costs less than checking whether they
    are needed.

    Attributes:
        attempts_started: Number of attempts started.
        attempts_sent: Number of attempts whose last byte was sent.
        hedges_started: Number of attempts started while another one of the same request was in
            flight.
        gossip_rejected: Number of gossip messages that were too long or from an unknown sender.
        commands_rejected: Number of client commands that could not be served.
        outcomes: Number of completed requests by outcome and class number.
        drops: Number of connections and attempts that were given up, by reason.
    """

    __slots__ = (
        "attempts_sent",
        "attempts_started",
        "backend_bytes_in",
        "backend_bytes_out",
        "backend_connections_opened",
        "client_bytes_in",
        "client_bytes_out",
        "client_connections_opened",
        "commands_rejected",
        "drops",
        "gossip_received",
        "gossip_rejected",
        "gossip_sent",
        "hedges_started",
        "outcomes",
    )

    def __init__(self) -> None:
        self.attempts_started = 0
        self.attempts_sent = 0
        self.hedges_started = 0
        self.client_bytes_in = 0
        self.client_bytes_out = 0
        self.backend_bytes_in = 0
        self.backend_bytes_out = 0
        self.client_connections_opened = 0
        self.backend_connections_opened = 0
        self.gossip_received = 0
        self.gossip_sent = 0
        self.gossip_rejected = 0
        self.commands_rejected = 0
        self.drops = dict.fromkeys(DropReason, 0)
        self.outcomes: dict[str, list[int]] = {outcome: [] for outcome in OUTCOMES}

    def ensure_classes(self, count: int) -> None:
        """Extend the counters of each outcome to at least `count` classes."""
        for counts in self.outcomes.values():
            counts.extend([0] * (count - len(counts)))


class Observer:
    """Receives the events of an ingress and ignores them.

    Times are in milliseconds; classes and plans are the policy engine's numbers. Exceptions are
    logged and go no further (see `IsolatedObserver`).

    Attributes:
        active: Whether the observer uses what is reported; if not, calls may be skipped.
        tracing: Whether the ingress should call `event` for individual events.
    """

    active = False
    tracing = False

    def request_completed(  # noqa: PLR0913 - called for every request, so it avoids an extra object
        self,
        request_class: int,
        plan: int,
        customer: int,
        outcome: str,
        reason: str,
        duration_ms: float,
        units: float,
        was_forwarded: bool,
        is_late: bool,
    ) -> None:
        """A request was answered.

        `was_forwarded` tells whether at least one attempt was started, which consumes the units.
        `is_late` tells whether the latency objective with which the request arrived was exceeded.
        """

    def client_disconnected(
        self, request_class: int, plan: int, customer: int, units: float, was_forwarded: bool
    ) -> None:
        """A client closed its connection before it got the response to a request."""

    def classes_added(self, class_count: int) -> None:
        """Classes may have been added; there are `class_count` now.

        It is called before the first request of a new class arrives. Numbers of classes never
        change.
        """

    def attempt_ended(self, outcome: Outcome) -> None:
        """An attempt at a backend ended."""

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        """A call to the quota counter ended."""

    def phase(self, name: str) -> None:
        """The ingress entered a phase of its lifecycle."""

    def event(self, event_name: str, **fields: object) -> None:
        """An individual event occurred; called only while `tracing` is set."""


class IsolatedObserver(Observer):
    """Passes all events to another observer, and logs the exceptions that it raises.

    An exception would otherwise reach the code that reports the event, such as the code that sends
    a response. The first failure is logged with its traceback; later ones are counted and logged
    once per `LOG_INTERVAL_MS`.

    Attributes:
        failures: Number of calls that raised an exception.
    """

    def __init__(self, observer: Observer, clock: Clock) -> None:
        self.active = observer.active
        self.tracing = observer.tracing
        self.failures = 0
        self._observer = observer
        self._clock = clock
        self._failures_logged = 0
        self._next_log_ms = 0.0

    def request_completed(self, *arguments: Any, **flags: Any) -> None:
        """Pass on that a request was answered."""
        self._call(self._observer.request_completed, *arguments, **flags)

    def client_disconnected(self, *arguments: Any) -> None:
        """Pass on that a client closed its connection before the response."""
        self._call(self._observer.client_disconnected, *arguments)

    def classes_added(self, class_count: int) -> None:
        """Pass on the number of classes."""
        self._call(self._observer.classes_added, class_count)

    def attempt_ended(self, outcome: Outcome) -> None:
        """Pass on that an attempt ended."""
        self._call(self._observer.attempt_ended, outcome)

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        """Pass on that a call to the quota counter ended."""
        self._call(self._observer.counter_call_ended, outcome, duration_ms)

    def phase(self, name: str) -> None:
        """Pass on the phase that the ingress entered."""
        self._call(self._observer.phase, name)

    def event(self, event_name: str, **fields: object) -> None:
        """Pass on an individual event."""
        self._call(self._observer.event, event_name, **fields)

    def _call(self, method: Callable[..., None], *arguments: Any, **keywords: Any) -> None:
        try:
            method(*arguments, **keywords)
        except Exception:  # noqa: BLE001 - whatever an observer raises, requests are served
            self.failures += 1
            with suppress(Exception):  # the log may be what fails
                self._log_failure(method.__name__)

    def _log_failure(self, method_name: str) -> None:
        now = self._clock.now()
        if now < self._next_log_ms:
            return
        self._next_log_ms = now + LOG_INTERVAL_MS
        new_failures = self.failures - self._failures_logged
        self._failures_logged = self.failures
        logger.bind(failures=self.failures).exception(
            "an observer failed in {}, {} times since the last line", method_name, new_failures
        )
