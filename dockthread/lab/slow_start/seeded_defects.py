"""Seeded defects of slow start that the checker has to find.

The program itself never loads this module. The keys of `DEFECTIVE_ENGINES` are the names of the
defects on the command line.
"""

from __future__ import annotations

from math import inf
from typing import Final

from dockthread.policy import PolicyEngine
from dockthread.policy.backend import Backend
from dockthread.policy.slow_start import RecoveryRamp, SlowStart


class FullWeight(SlowStart):
    """Gives a backend that is warming up the weight of a warm backend."""

    def weight(self, backend: Backend) -> float:  # noqa: ARG002  the defect
        """Return the slow-start weight of a warm backend."""
        return 1.0


class UnlimitedAttempts(SlowStart):
    """Sends all requests immediately, including waiting ones, even if no backend is warm."""

    def attempts_available(self, total_weight: float) -> float:  # noqa: ARG002  the defect
        """Allow any number of attempts."""
        return inf


class FleetWideRamp(SlowStart):
    """Lets each ingress send as much as the recovery ramp allows all ingresses together."""

    def _new_ramp(self) -> RecoveryRamp:
        return RecoveryRamp(self._context.settings.safety, 1, self._context.now)


class FullWeightEngine(PolicyEngine):
    """A policy engine that treats backends that are warming up as warm."""

    slow_start_class = FullWeight


class UnlimitedAttemptsEngine(PolicyEngine):
    """A policy engine that sends all requests immediately, even if no backend is warm."""

    slow_start_class = UnlimitedAttempts


class FleetWideRampEngine(PolicyEngine):
    """A policy engine that uses the recovery ramp of all ingresses for itself alone."""

    slow_start_class = FleetWideRamp


DEFECTIVE_ENGINES: Final[dict[str, type[PolicyEngine]]] = {
    "warmth-ignored": FullWeightEngine,
    "unbounded": UnlimitedAttemptsEngine,
    "each-as-if-alone": FleetWideRampEngine,
}
