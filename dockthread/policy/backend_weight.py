"""The weights by which backends are drawn at random."""

from __future__ import annotations

from dockthread.policy.backend import Backend
from dockthread.policy.context import Context
from dockthread.policy.slow_start import SlowStart

# Weight of a backend in the ingress's own zone, if requests to other zones have a cost.
OWN_ZONE_WEIGHT = 2.0
# Lower bound on the weight from the endpoint list, which avoids a division by zero.
MIN_LISTED_WEIGHT = 1e-6
# Lower bound on a backend's success fraction, whose square is a factor of its weight. A failing
# backend must still receive some requests, or its recovery would go unnoticed.
MIN_SUCCESS_FRACTION = 0.1


class BackendWeights:
    """Computes backends' weights from the endpoint list, zone, failures and slow start."""

    __slots__ = ("_context", "_slow_start")

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        self._context = context
        self._slow_start = slow_start

    def weight(self, backend: Backend) -> float:
        """Return the weight by which a backend is drawn."""
        return self.warm_weight(backend) * self._slow_start.weight(backend)

    def warm_weight(self, backend: Backend) -> float:
        """Return the weight that a backend would have if it were warm."""
        endpoint = backend.endpoint
        settings = self._context.settings
        is_preferred = endpoint.zone == settings.zone and settings.costs.cross_zone
        zone_weight = OWN_ZONE_WEIGHT if is_preferred else 1.0
        listed_weight = max(endpoint.weight, MIN_LISTED_WEIGHT)
        return (
            zone_weight
            * listed_weight
            * max(1 - backend.failure_fraction, MIN_SUCCESS_FRACTION) ** 2
        )
