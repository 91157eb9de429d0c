"""Admission control by quota, cap on attempts in flight, queueing delay and ceiling."""

from __future__ import annotations

from dockthread.policy.admission_probability import AdmissionProbability
from dockthread.policy.attempts import AttemptManager
from dockthread.policy.context import Context
from dockthread.policy.customer import Customer
from dockthread.policy.customer_registry import CustomerRegistry
from dockthread.policy.events import CounterReplied, RequestArrived
from dockthread.policy.gossip import GossipProtocol
from dockthread.policy.model import Plan, RequestClass
from dockthread.policy.pending_request import PendingRequest, PendingRequests
from dockthread.policy.queueing_delay import MAX_DELAY_FRACTION, QueueingDelayEstimator
from dockthread.policy.quota_counter_sync import QuotaCounterSync
from dockthread.policy.rejection import RejectionReason, reject
from dockthread.policy.route_constraints import RouteConstraints

# The bound on the expected wait is the tightest latency objective times a factor between these
# two: the first for requests of the lowest priority, the second for those of the highest.
LOW_PRIORITY_FACTOR = 0.6
HIGH_PRIORITY_FACTOR = 2.0
# Weight of one more request's priority in the smoothed mean priority.
PRIORITY_SMOOTHING = 0.01


class AdmissionController:
    """Admits requests, rejects them, or queues them for the counter or their route's limit.

    Attributes:
        probability: computes the probability with which a quota admits a request.
    """

    __slots__ = (
        "_attempts",
        "_context",
        "_counter",
        "_customers",
        "_delay",
        "_gossip",
        "_requests",
        "_routes",
        "_usual_priority",
        "probability",
    )

    def __init__(  # noqa: PLR0913 - one for each part that admission depends on
        self,
        context: Context,
        requests: PendingRequests,
        customers: CustomerRegistry,
        delay: QueueingDelayEstimator,
        routes: RouteConstraints,
        gossip: GossipProtocol,
        counter: QuotaCounterSync,
        probability: AdmissionProbability,
        attempts: AttemptManager,
    ) -> None:
        self._context = context
        self._requests = requests
        self._customers = customers
        self._delay = delay
        self._routes = routes
        self._gossip = gossip
        self._counter = counter
        self._attempts = attempts
        self.probability = probability
        weights = [request_class.priority_weight for request_class in context.settings.classes]
        self._usual_priority = sum(weights) / len(weights)

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Decide on a new request, or let it wait for the counter's reply."""
        settings = self._context.settings
        deadline = self._context.now + event.remaining_time
        pending = PendingRequest(event, settings.classes[event.request_class], deadline)
        if not self._customers.has_room_for(event.customer):
            request_class = pending.request_class
            reject(self._context, event.request, request_class, RejectionReason.OVERLOAD)
            return
        customer = self._customers.get(event.customer, event.plan)
        sketch = self._customers.sketches[event.plan]
        customer.first_ingress = event.first_ingress % settings.ingress_count
        customer.spread = min(max(1, event.spread), settings.ingress_count)
        units = settings.plans[event.plan].charged_units(event.units)
        customer.requested_units += units
        if sketch is not None:
            customer.arrival_rate = sketch.add(event.customer, units, self._context.now)
            if self._counter.must_wait(event, customer, sketch):
                self._wait_for_counter(pending, customer)
                return
        self.decide(pending, customer)

    def _wait_for_counter(self, pending: PendingRequest, customer: Customer) -> None:
        request = pending.event.request
        self._requests.by_number[request] = pending
        customer.waiting_requests.append(request)
        # The counter's reply may never arrive.
        self._attempts.close_before_deadline(request, pending)
        if customer.counter_call is None:
            self._counter.send(pending.event.customer, customer)

    def on_counter_replied(self, event: CounterReplied) -> None:
        """Apply the counter's reply, and decide on the requests that waited for it."""
        update = self._counter.on_reply(event)
        if update is None:
            return
        requests = self._requests.by_number
        waiting = [requests[request] for request in update.waiting if request in requests]
        for pending in waiting:
            self.decide(pending, update.customer)
        self._counter.after_decisions(update)

    def decide_waiting(self, request: int) -> None:
        """Decide on a request that was queued and is now within its route's concurrency limit."""
        pending = self._requests.by_number.get(request)
        if pending is not None:
            event = pending.event
            self.decide(pending, self._customers.get(event.customer, event.plan))

    def decide(self, pending: PendingRequest, customer: Customer) -> None:
        """Admit a request and send its first attempt, or reject it.

        A request beyond its route's concurrency limit is queued and decided later.
        """
        if not self._routes.enter(pending):
            return
        event = pending.event
        reason = self._rejection_reason(pending, customer)
        self._gossip.report(event.customer, customer)
        if reason is not None:
            self._requests.by_number.pop(event.request, None)
            self._attempts.cancel_deadline_timer(pending)
            self._routes.leave(pending)
            reject(self._context, event.request, pending.request_class, reason)
            return
        self._requests.by_number[event.request] = pending
        self._attempts.close_before_deadline(event.request, pending)
        self._attempts.send(event.request, pending)
        self._counter.record_admission(event, customer)

    def _rejection_reason(
        self, pending: PendingRequest, customer: Customer
    ) -> RejectionReason | None:
        """Return why a request is rejected; if it is admitted, charge its units and return None."""
        event, request_class = pending.event, pending.request_class
        plan = self._context.settings.plans[event.plan]
        sketch = self._customers.sketches[event.plan]
        if sketch is not None:
            random_draw = self._context.rng.random()
            if random_draw >= self.probability.of_request(
                plan.charged_units(event.units),
                request_class.priority_weight,
                customer,
                plan,
                sketch,
            ):
                return RejectionReason.QUOTA
        if self._is_at_cap(customer):
            return RejectionReason.CAP
        if self._is_wait_too_long(request_class, plan):
            return RejectionReason.OVERLOAD
        if plan.ceiling_rate and not self._is_below_ceiling(event.units, customer, plan):
            return RejectionReason.CEILING
        customer.quota.take(event.units)
        customer.admitted_units += event.units
        return None

    def _is_at_cap(self, customer: Customer) -> bool:
        """Return whether the customer's cap on attempts in flight is reached.

        The attempts of this ingress count, and those that peers reported recently.
        """
        cap = self._context.settings.plans[customer.plan_number].max_in_flight
        if cap <= 0:
            return False
        since = self._context.now - self._delay.tightest_objective
        peer_in_flight_count = sum(
            count for at, count in customer.peer_in_flight.values() if at > since
        )
        return cap <= customer.in_flight + peer_in_flight_count

    def _is_wait_too_long(self, request_class: RequestClass, plan: Plan) -> bool:
        """Return whether the expected wait is too long for a request of this priority.

        Such a request would be answered too late, or would delay requests of a higher priority.
        This protects against queues whatever their cause.
        """
        priority = request_class.priority_weight * plan.priority_multiplier
        self._usual_priority += PRIORITY_SMOOTHING * (priority - self._usual_priority)
        relative_priority = priority / self._usual_priority
        factor = min(HIGH_PRIORITY_FACTOR, max(LOW_PRIORITY_FACTOR, relative_priority))
        max_delay = min(
            HIGH_PRIORITY_FACTOR * request_class.latency_objective,
            factor * self._delay.tightest_objective,
        )
        return self._delay.expected_delay() > MAX_DELAY_FRACTION * max_delay

    def _is_below_ceiling(self, units: float, customer: Customer, plan: Plan) -> bool:
        """Return whether the plan's ceiling admits a request; if so, take its units (rule 5).

        The ceiling is an exact token bucket. Each ingress that serves the customer has an equal
        part of it, which is empty when the ingress starts.
        """
        now = self._context.now
        elapsed = now - customer.ceiling_updated_at
        customer.ceiling_tokens += plan.ceiling_rate / customer.spread * elapsed
        customer.ceiling_tokens = min(plan.ceiling_burst / customer.spread, customer.ceiling_tokens)
        customer.ceiling_updated_at = now
        if customer.ceiling_tokens < units:
            return False
        customer.ceiling_tokens -= units
        return True
