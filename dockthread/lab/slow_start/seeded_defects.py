"""Seeded defects of slow start.

The checker has to find each of them, which shows that it sees such faults. The program itself never
loads this module. The names are words of the command line.
"""

from __future__ import annotations

from math import inf
from typing import Final

from dockthread.policy import PolicyEngine
from dockthread.policy.backend import Backend
from dockthread.policy.slow_start import RecoveryRamp, SlowStart


class FullWeight(SlowStart):
    """Gives a backend that warms up the weight of a warm one."""

    def weight(self, backend: Backend) -> float:  # noqa: ARG002  the defect
        """Return the slow-start weight of a warm backend."""
        return 1.0


class UnlimitedAttempts(SlowStart):
    """Sends every request to a pool without a warm backend, and at once those that waited."""

    def attempts_available(self, total_weight: float) -> float:  # noqa: ARG002  the defect
        """Return that any number of attempts may be sent."""
        return inf


class FleetWideRamp(SlowStart):
    """Has each ingress send what the whole fleet may send."""

    def _new_ramp(self) -> RecoveryRamp:
        return RecoveryRamp(self._context.settings.safety, 1, self._context.now)


class FullWeightEngine(PolicyEngine):
    """Counts backends that warm up as warm."""

    slow_start_class = FullWeight


class UnlimitedAttemptsEngine(PolicyEngine):
    """Sends every request to a pool without a warm backend."""

    slow_start_class = UnlimitedAttempts


class FleetWideRampEngine(PolicyEngine):
    """Takes the whole fleet's recovery ramp for this ingress's own."""

    slow_start_class = FleetWideRamp


DEFECTIVE_ENGINES: Final[dict[str, type[PolicyEngine]]] = {
    "warmth-ignored": FullWeightEngine,
    "unbounded": UnlimitedAttemptsEngine,
    "each-as-if-alone": FleetWideRampEngine,
}
