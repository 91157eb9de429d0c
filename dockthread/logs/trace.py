"""Single events in the log, at TRACE: what `benchmarks/fleet_count.py` counts across a fleet."""

from __future__ import annotations

from loguru import logger

from dockthread.observer import Observer
from dockthread.policy import Outcome


class Tracer(Observer):
    """One line an event, `trace WHAT KEY=VALUE ...`; times in milliseconds. It is set up only where
    the log takes TRACE, and gives way to telemetry's own observer where receivers are named.
    """

    active = tracing = True

    def event(self, what: str, **figures: object) -> None:
        logger.trace(
            "trace {}", " ".join([what, *(f"{key}={figure}" for key, figure in figures.items())])
        )

    def request_completed(
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
        self.event(
            "answer",
            kind=request_class,
            plan=plan,
            firm=f"{customer:x}",
            outcome=outcome,
            reason=reason.replace(" ", "-") or "-",
            took=round(duration_ms, 1),
            units=units,
            sent=int(was_forwarded),
        )

    def client_disconnected(
        self, request_class: int, plan: int, customer: int, units: float, was_forwarded: bool
    ) -> None:
        self.request_completed(request_class, plan, customer, "gone", "", 0.0, units, was_forwarded)

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        self.event("count", outcome=outcome.value.replace(" ", "-"), took=round(duration_ms, 1))

    def phase(self, name: str) -> None:
        self.event("phase", name=name)
