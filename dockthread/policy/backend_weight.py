"""The weight by which backends are drawn."""

from __future__ import annotations

from dockthread.policy.backend import Backend
from dockthread.policy.context import Context
from dockthread.policy.slow_start import SlowStart

# Weight of a backend in the ingress's own zone, where requests to other zones cost anything.
OWN_ZONE_WEIGHT = 2.0
# The least weight that a list can give a backend, so that a division by it is defined.
LEAST_LISTED_WEIGHT = 1e-6
# Square root of the least weight by failures: a failing backend is still tried, or it could not
# show that it recovered.
LEAST_SUCCESS_FRACTION = 0.1


class BackendWeights:
    """Weighs backends by list, zone, failures and slow start."""

    __slots__ = ("_context", "_slow_start")

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        self._context = context
        self._slow_start = slow_start

    def weight(self, backend: Backend) -> float:
        """Return the weight by which a backend is drawn."""
        return self.warm_weight(backend) * self._slow_start.weight(backend)

    def warm_weight(self, backend: Backend) -> float:
        """Return the weight that a backend would have if it was warm."""
        endpoint = backend.endpoint
        settings = self._context.settings
        is_preferred = endpoint.zone == settings.zone and settings.costs.cross_zone
        zone_weight = OWN_ZONE_WEIGHT if is_preferred else 1.0
        listed_weight = max(endpoint.weight, LEAST_LISTED_WEIGHT)
        return (
            zone_weight
            * listed_weight
            * max(1 - backend.failure_fraction, LEAST_SUCCESS_FRACTION) ** 2
        )
