"""The interface by which an ingress reports what happens to telemetry and to the trace log.

The ingress calls an `Observer` at each event on its own path, so an observer only adds up.
`Observer` itself does nothing: an ingress has it while neither telemetry nor tracing is on.
"""

from __future__ import annotations

from dockthread.policy import Outcome

# Outcomes of a request; they are part of metric paths.
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
OUTCOMES = (SERVED, REJECTED, FAILED)


class Traffic:
    """Counts of one ingress since its start: bytes, connections, attempts, gossip and requests.

    They are plain integers that are always counted, which costs less than to ask whether anybody
    reads them.

    Attributes:
        attempts_started: Attempts begun.
        attempts_sent: Attempts whose last byte was sent.
        hedges_started: Attempts begun while an earlier one of the same request was in flight.
        gossip_rejected: Messages from an unknown sender, or too long.
        commands_rejected: Commands of clients that could not be served.
        outcomes: Completed requests by outcome, then by the policy engine's number of their class.
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
        self.outcomes: dict[str, list[int]] = {outcome: [] for outcome in OUTCOMES}

    def ensure_classes(self, count: int) -> None:
        """Have a count per outcome for at least `count` classes."""
        for counts in self.outcomes.values():
            counts.extend([0] * (count - len(counts)))


class Observer:
    """Receives the events of an ingress and ignores them.

    Times are in milliseconds; classes and plans are the policy engine's numbers. No method may
    raise.

    Attributes:
        active: Whether the ingress is to work out what it would report.
        tracing: Whether `event` is to be called for single events.
    """

    active = False
    tracing = False

    def request_completed(  # noqa: PLR0913 - called for every request, so no object is made for it
        self,
        request_class: int,
        plan: int,
        customer: int,
        outcome: str,
        reason: str,
        duration_ms: float,
        units: float,
        was_forwarded: bool,
    ) -> None:
        """A request was given its one response.

        `was_forwarded` says that at least one attempt was started, which consumes the units.
        """

    def client_disconnected(
        self, request_class: int, plan: int, customer: int, units: float, was_forwarded: bool
    ) -> None:
        """A client closed its connection before its response."""

    def attempt_ended(self, outcome: Outcome) -> None:
        """An attempt at a backend ended."""

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        """A call to the quota counter ended."""

    def phase(self, name: str) -> None:
        """The ingress entered a phase of its life cycle."""

    def event(self, what: str, **figures: object) -> None:
        """A single event happened; called only while `tracing` is set."""
