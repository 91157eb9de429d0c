"""Load balancing: the choice of the backend for an attempt.

A few candidates are drawn at random by their weights, and the one with the lowest expected cost is
chosen (as in "power of two choices" load balancing). Backends that are warming up are sent less,
and backends at capacity are avoided.
"""

from __future__ import annotations

from dockthread.policy.backend import Backend
from dockthread.policy.backend_pool import NO_BACKENDS, DrawableBackends
from dockthread.policy.backend_registry import BackendRegistry
from dockthread.policy.backend_weight import BackendWeights
from dockthread.policy.context import NEVER, Context
from dockthread.policy.model import IDLE_CLOSE_FRACTION, Effect
from dockthread.policy.pending_request import Attempt, PendingRequest
from dockthread.policy.route_constraints import RouteConstraints
from dockthread.policy.slow_start import SlowStart, warming_multiple

# For one attempt, an ingress draws this many times its share of the backends as candidates. Its
# share is the number of backends divided by the number of ingresses.
CANDIDATES_PER_BACKEND = 4
# Minimum number of candidates drawn for one attempt.
MIN_CANDIDATES = 2
# A new connection costs as much as this many usual response times, times the handshake cost.
HANDSHAKE_RESPONSE_TIMES = 8.0
# Between backends whose expected costs differ by less than this fraction, the choice is random.
COST_NOISE = 0.05


class LoadBalancer:
    """Chooses the backend of an attempt."""

    __slots__ = (
        "_backends",
        "_context",
        "_idle_connection_time",
        "_pool",
        "_routes",
        "_slow_start",
        "_weights",
    )

    def __init__(
        self,
        context: Context,
        backends: BackendRegistry,
        weights: BackendWeights,
        slow_start: SlowStart,
        routes: RouteConstraints,
    ) -> None:
        self._context = context
        self._backends = backends
        self._pool = backends.pool
        self._weights = weights
        self._slow_start = slow_start
        self._routes = routes
        self._idle_connection_time = context.settings.connection_idle_time * IDLE_CLOSE_FRACTION

    def choose(self, pending: PendingRequest) -> Backend | None:
        """Return the backend for a request's next attempt, or None if none is available now.

        Drawing by weight keeps ingresses from herding, and from together overloading a backend that
        is warming up (rule 4). Of the candidates for a first attempt, at most `warming_multiple`
        may be warming up, even if the others are at capacity. If all backends of the pool are
        warming up, `RecoveryRamp` limits the attempts.
        """
        pool = self._pool
        if not pool.has_warm_backend and self._slow_start.attempts_available(pool.total_weight) < 1:
            return None
        possible_run = pending.first_possible_run()
        used_backends = {attempt.backend for attempt in pending.attempts}
        candidates = self._routes.candidates(pending)
        effect = Effect.SAFE if possible_run is None else self._routes.effect(pending)
        if possible_run is not None and effect is not Effect.SAFE:
            candidates = self._deduplicating_backends(pending, possible_run, effect, candidates)
        elif candidates:
            backend = self._lowest_cost_backend(pending, candidates, used_backends)
            if backend is not None:
                return backend
        return self._draw_with_capacity(pending, possible_run, candidates, used_backends)

    def idle_connection_cutoff(self) -> float:
        """Return the cutoff in seconds: connections idle since before it have been closed."""
        return self._context.now - self._idle_connection_time

    def _deduplicating_backends(
        self,
        pending: PendingRequest,
        possible_run: Attempt,
        effect: Effect,
        candidates: DrawableBackends,
    ) -> DrawableBackends:
        """Return the backends that would drop a duplicate of the attempt that may have run."""
        is_repeatable = (
            effect is Effect.KEYED
            and self._context.now < self._routes.repeat_window_end(possible_run, pending)
        )
        if not is_repeatable:
            return NO_BACKENDS
        home = self._backends.by_number[possible_run.backend].endpoint
        return self._routes.deduplicating_backends(pending, home, candidates)

    def _lowest_cost_backend(
        self, pending: PendingRequest, candidates: DrawableBackends, used_backends: set[int]
    ) -> Backend | None:
        """Return the drawn candidate with the lowest cost; None if no candidate is usable."""
        settings = self._context.settings
        share = CANDIDATES_PER_BACKEND * len(candidates) // settings.ingress_count
        drawn_candidates = candidates.draw(self._context.rng, max(MIN_CANDIDATES, share))
        max_warming_up = 0 if pending.attempts else warming_multiple(settings.safety)
        usable = [
            backend
            for position, backend in enumerate(drawn_candidates)
            if self._is_usable(backend, pending, position < max_warming_up)
        ]
        unused = [backend for backend in usable if backend.endpoint.backend not in used_backends]
        return min(unused, key=self._cost) if unused else None

    def _draw_with_capacity(
        self,
        pending: PendingRequest,
        possible_run: Attempt | None,
        candidates: DrawableBackends,
        used_backends: set[int],
    ) -> Backend | None:
        """Draw from all backends with capacity, because none of the drawn candidates is usable.

        The draw is by weight and not by cost: a backend that drains without notice has no load, so
        it would always have the lowest cost. If all backends are at capacity, only a first attempt
        is sent.
        """
        eligible = self._backends_with_capacity(pending, candidates)
        if not eligible and not pending.attempts:
            eligible = list(candidates.sample(self._context.rng))
        unused = [backend for backend in eligible if backend.endpoint.backend not in used_backends]
        if not unused and possible_run is None:
            unused = eligible
        if not unused:
            return None
        weights = [self._weights.weight(backend) for backend in unused]
        return self._context.rng.choices(unused, weights)[0]

    def _backends_with_capacity(
        self, pending: PendingRequest, candidates: DrawableBackends
    ) -> list[Backend]:
        """Return the backends with capacity; only warm ones, if there is a warm backend.

        From a long list it returns those in a sample, unless none in the sample has capacity.
        """
        may_warm_up = not self._pool.has_warm_backend
        usable_backends = [
            backend
            for backend in candidates.sample(self._context.rng)
            if self._is_usable(backend, pending, may_warm_up)
        ]
        return usable_backends or [
            backend for backend in candidates if self._is_usable(backend, pending, may_warm_up)
        ]

    def _cost(self, backend: Backend) -> float:
        """Return the expected cost of one more request, with noise that breaks ties at random.

        The cost is the expected response time, in usual response times, divided by the weight.
        """
        context = self._context
        now = context.now
        if backend.has_idle_connection(now - self._idle_connection_time):
            connection_cost = 1.0
        else:
            connection_cost = 1 + HANDSHAKE_RESPONSE_TIMES * context.settings.costs.handshake
        return (
            (backend.load(now) + 1)
            * backend.relative_latency
            / self._weights.warm_weight(backend)
            * connection_cost
            * context.rng.uniform(1, 1 + COST_NOISE)
        )

    def _is_usable(self, backend: Backend, pending: PendingRequest, may_warm_up: bool) -> bool:
        """Return whether a backend is ready, has capacity for the plan and is warm if required."""
        if not backend.is_ready:
            return False
        if self._context.now < backend.at_capacity_until.get(pending.event.plan, NEVER):
            return False
        return may_warm_up or self._slow_start.weight(backend) >= 1.0
