"""Logs single events at TRACE, which `benchmarks/fleet_count.py` counts over all ingresses."""

from __future__ import annotations

from loguru import logger

from dockthread.observer import Observer
from dockthread.policy import Outcome


class Tracer(Observer):
    """Logs one line for each event: `trace EVENT KEY=VALUE ...`, with times in milliseconds.

    It is used only if the log level is TRACE and no telemetry receivers are configured; otherwise
    telemetry's observer replaces it. `benchmarks/fleet_count.py` reads the keys.
    """

    active = tracing = True

    def event(self, event_name: str, **fields: object) -> None:
        """Log an event with its keys and values."""
        logger.trace(
            "trace {}",
            " ".join([event_name, *(f"{key}={field}" for key, field in fields.items())]),
        )

    def request_completed(  # noqa: PLR0913  the observer's interface
        self,
        request_class: int,
        plan: int,
        customer: int,
        outcome: str,
        reason: str,
        duration_ms: float,
        units: float,
        was_forwarded: bool,
        is_late: bool,  # noqa: ARG002  the observer's interface
    ) -> None:
        """Log the response to a request."""
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
        """Log a request whose client disconnected before the response."""
        self.request_completed(
            request_class, plan, customer, "gone", "", 0.0, units, was_forwarded, is_late=False
        )

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        """Log the end of a call to the quota counter."""
        self.event("count", outcome=outcome.value.replace(" ", "-"), took=round(duration_ms, 1))

    def phase(self, name: str) -> None:
        """Log the start of a phase of the ingress's life cycle."""
        self.event("phase", name=name)
