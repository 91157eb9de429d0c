"""The policy engine of one ingress: it takes events and returns actions.

The engine owns its parts and passes each event to one of them. `AdmissionController` decides
whether a request is admitted, `AttemptManager` when it is sent, retried, hedged or abandoned, and
`LoadBalancer` which backend it is sent to. The engine itself runs the periodic maintenance.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dockthread.policy.actions import Action, PollEndpoints
from dockthread.policy.admission import AdmissionController
from dockthread.policy.admission_probability import AdmissionProbability
from dockthread.policy.attempt_outcomes import AttemptOutcomes
from dockthread.policy.attempts import AttemptManager
from dockthread.policy.backend_pool import BackendPool
from dockthread.policy.backend_registry import BackendRegistry
from dockthread.policy.backend_weight import BackendWeights
from dockthread.policy.context import Context
from dockthread.policy.customer_registry import CustomerRegistry
from dockthread.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsListed,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dockthread.policy.gossip import GossipProtocol
from dockthread.policy.latency_estimates import failure_scaling_factor
from dockthread.policy.load_balancer import LoadBalancer
from dockthread.policy.model import EndpointListKind, PolicySettings
from dockthread.policy.pending_request import PendingRequests
from dockthread.policy.queueing_delay import MAINTENANCE_INTERVAL, QueueingDelayEstimator
from dockthread.policy.quota_counter_sync import QuotaCounterSync
from dockthread.policy.route_constraints import RouteConstraints
from dockthread.policy.slow_start import SlowStart
from dockthread.policy.timers import TimerQueue
from dockthread.policy.usual_latency import UsualLatencies

# Half-life in seconds of a backend's latency samples.
LATENCY_HALF_LIFE = 15.0
# Half-life in seconds of a backend's failures. Failures decay so that a backend that recovered is
# sent requests again. The half-life is longer in a larger fleet, because each ingress then sees
# fewer responses.
FAILURE_HALF_LIFE = 5.0
# Seconds between two removals of expired backends and customers. Without them, memory would fill
# up as new backends and customers keep appearing.
EXPIRY_INTERVAL = 2.0
# A failed poll of the endpoint list is retried after the poll interval divided by this.
POLL_RETRY_DIVISOR = 10
# Number of distinct incarnations; a gossip message encodes the incarnation in one byte.
INCARNATIONS = 256


class PolicyEngine:
    """The decision module of one ingress, which does no I/O.

    A simulation that injects a defect overrides the class of one part (`..._class`).

    Attributes:
        context: settings, clock, random source and actions, shared by all parts.
        timers: the timers that are set.
        requests: the requests without a final answer.
        customers: the known customers.
        backends: the known backends.
        latencies: the usual response times.
        delay: estimates how long an admitted request waits at the backends.
        slow_start: computes the weights of backends that are warming up.
        gossip: sends messages to peers and receives theirs.
        counter: calls the shared quota counter.
        routes: applies the constraints of requests' routes.
        balancer: chooses the backend of each attempt.
        outcomes: learns from ended attempts.
        attempts: sends the attempts of admitted requests.
        admission: admits or rejects requests.
    """

    attempts_class: type[AttemptManager] = AttemptManager
    delay_class: type[QueueingDelayEstimator] = QueueingDelayEstimator
    routes_class: type[RouteConstraints] = RouteConstraints
    slow_start_class: type[SlowStart] = SlowStart

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        """Create an engine that knows no backend.

        Args:
            settings: everything that the engine knows before its first event.
            seed: seed of the random source; the same seed and events give the same actions.
            now: the current time in seconds on the engine's clock.
        """
        self.context = Context(settings, seed, now)
        # The order of draws affects the decisions for a given seed: the incarnation is drawn
        # before the sketches draw their hash functions.
        incarnation = self.context.rng.randrange(INCARNATIONS)
        self._build_state(settings)
        self._build_usage_exchange(incarnation)
        self._build_decision_parts()
        self._is_started = False
        self._expired_at = now
        self._failure_half_life = FAILURE_HALF_LIFE * failure_scaling_factor(settings.ingress_count)
        self._handlers = self._event_handlers()

    def _build_state(self, settings: PolicySettings) -> None:
        """Create the parts that hold the engine's state."""
        context = self.context
        self.timers = TimerQueue(context)
        self.requests = PendingRequests()
        self.latencies = UsualLatencies(settings.classes)
        self.delay = self.delay_class(context, self.latencies)
        self.customers = CustomerRegistry(context, self.delay.tightest_objective)
        self.slow_start = self.slow_start_class(context, self.latencies)
        self._weights = BackendWeights(context, self.slow_start)
        pool = BackendPool(self._weights.weight, self.slow_start.weight)
        self.backends = BackendRegistry(context, pool)

    def _build_usage_exchange(self, incarnation: int) -> None:
        """Create the parts that exchange usage with the other ingresses."""
        self.gossip = GossipProtocol(
            self.context, self.timers, self.customers, self.backends, incarnation
        )
        self.counter = QuotaCounterSync(self.context, self.customers, self.gossip)

    def _build_decision_parts(self) -> None:
        """Create the parts that decide on requests."""
        context, pool = self.context, self.backends.pool
        self.routes = self.routes_class(context, self.timers, self.requests, pool)
        self.balancer = LoadBalancer(
            context, self.backends, self._weights, self.slow_start, self.routes
        )
        self.outcomes = AttemptOutcomes(
            context, self.backends, self.latencies, self.delay, self.slow_start
        )
        self.attempts = self.attempts_class(
            context,
            self.timers,
            self.requests,
            self.customers,
            self.backends,
            self.latencies,
            self.delay,
            self.slow_start,
            self.routes,
            self.balancer,
            self.outcomes,
            self.gossip,
        )
        self.admission = AdmissionController(
            context,
            self.requests,
            self.customers,
            self.delay,
            self.routes,
            self.gossip,
            self.counter,
            AdmissionProbability(context, self.gossip, self.latencies),
            self.attempts,
        )

    def _event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            RequestArrived: self.admission.on_request_arrived,
            AttemptEnded: self.attempts.on_attempt_ended,
            EndpointsListed: self._on_endpoints_listed,
            GossipReceived: self.gossip.on_gossip_received,
            TimerFired: self.timers.on_timer_fired,
            HealthCheckEnded: lambda _event: None,
            ResponseStarted: lambda event: self.requests.streaming.add(event.request),
            ClientDisconnected: lambda event: self.attempts.finish(event.request),
            CounterReplied: self.admission.on_counter_replied,
        }

    @property
    def settings(self) -> PolicySettings:
        """The settings in force."""
        return self.context.settings

    @property
    def actions(self) -> list[Action]:
        """The actions of the last event, even if its handling raised an error."""
        return self.context.actions

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event.

        Args:
            now: the event's time in seconds on the engine's clock, which never goes back.
            event: the event to handle.

        Returns:
            The resulting actions, in the order in which to carry them out.
        """
        context = self.context
        context.now = now
        context.actions = []
        if not self._is_started:
            self._start()
        self._handlers[type(event)](event)
        admitted = self.routes.admitted
        while admitted:
            self.admission.decide_waiting(admitted.popleft())
        return context.actions

    def apply_settings(self, settings: PolicySettings) -> None:
        """Replace the settings and recompute the values that the parts derived from the classes.

        The new settings contain the old classes at the same positions and may add more. Learnt
        state is kept, except for the usual response times.
        """
        self.context.settings = settings
        self.latencies.reset(settings.classes)
        self.delay.apply_classes(settings.classes)
        self.admission.probability.apply_classes(settings.classes)

    def _start(self) -> None:
        """Start the periodic maintenance, the watch of the endpoint list and the gossip."""
        context = self.context
        self._is_started = True
        # A random first interval keeps ingresses that start together from running in lockstep.
        first_interval = MAINTENANCE_INTERVAL * context.rng.uniform(0.5, 1)
        self.timers.set(context.now + first_interval, self.run_maintenance)
        if context.settings.must_poll_endpoints:
            context.actions.append(PollEndpoints())
        if context.settings.may_gossip:
            self.gossip.schedule_initial_messages()

    def run_maintenance(self) -> None:
        """Decay estimates, drop expired state, send heartbeats and retry waiting requests."""
        self.timers.set(self.context.now + MAINTENANCE_INTERVAL, self.run_maintenance)
        self.delay.decay()
        self.backends.pool.decay(
            0.5 ** (MAINTENANCE_INTERVAL / self._failure_half_life),
            0.5 ** (MAINTENANCE_INTERVAL / LATENCY_HALF_LIFE),
        )
        self._expire()
        self.gossip.schedule_heartbeats()
        self.attempts.send_awaiting_backend()

    def _expire(self) -> None:
        """Drop delisted backends, and customers whose state equals that of a new customer."""
        if self.context.now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = self.context.now
        self.backends.expire()
        if self.customers.expire():
            self.gossip.drop_unsent()

    def _on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Apply an endpoint list or changes to it; schedule another poll after a failed one."""
        if event.kind is EndpointListKind.FAILED:
            poll_interval = self.context.settings.safety.poll_interval
            self.timers.set(
                self.context.now + poll_interval / POLL_RETRY_DIVISOR, self._poll_endpoints
            )
        elif event.kind is not EndpointListKind.CHANGES:
            self.backends.remove_unlisted(event.endpoints)
        for endpoint in event.endpoints:
            self.backends.update(endpoint)  # rule 3: a removed backend is sent no further requests
        self.attempts.send_awaiting_backend()

    def _poll_endpoints(self) -> None:
        self.context.actions.append(PollEndpoints())
