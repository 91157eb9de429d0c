"""Calls to the shared counter, which totals the units that all ingresses admit of a customer.

Theory of operation. The counter keeps one total for each customer and epoch: the units used since
the epoch started, plus the units that overflowed the full token bucket. The refill since the epoch
started, minus the total, gives the level of the customer's token bucket, and every ingress that
reads the total computes the same level. If the total does not include all of these units, the
difference is a correction, which is added together with the next units or by a separate call.
"""

from __future__ import annotations

from typing import NamedTuple

from dockthread.policy.actions import AddToCounter
from dockthread.policy.context import NEVER, Context
from dockthread.policy.customer import CounterCall, Customer
from dockthread.policy.customer_registry import CustomerRegistry
from dockthread.policy.events import CounterReplied, RequestArrived
from dockthread.policy.gossip import GossipProtocol
from dockthread.policy.model import NEVER_RAN, Outcome
from dockthread.policy.rate_sketch import RateSketch

# Length of an epoch in seconds, and seconds for which the counter keeps the total of an epoch.
EPOCH = 40.0
TOTAL_LIFETIME = 60.0
# The name of a total has the customer's number in the upper bits and the epoch in the lower ones.
EPOCH_BITS = 24
EPOCH_MASK = 0xFFFFFF
# Decimal places of the units that are added.
UNIT_DECIMALS = 3
# A request is admitted without a call if this fraction of the burst is left in the token bucket.
MIN_LEVEL_FRACTION = 0.5
# A correction smaller than this fraction of the burst waits for the next units.
MIN_CORRECTION_FRACTION = 0.5
# This smaller fraction applies after a call that already carried a correction, because another
# ingress may have made the same correction at the same time.
MIN_REPEATED_CORRECTION_FRACTION = 0.1
# Failed calls in a row that open the circuit breaker, and the seconds for which it stays open.
CIRCUIT_FAILURE_THRESHOLD = 3
CIRCUIT_OPEN_TIME = 0.3
# Weight of an error reply as a failed call; it is below 1 because it shows that the counter runs.
ERROR_FAILURE_WEIGHT = 0.25


class CounterUpdate(NamedTuple):
    """An answered call to the counter and the requests that waited for it.

    Attributes:
        number: the customer's number.
        customer: the customer.
        call: the call that was answered.
        outcome: how the call ended.
        waiting: the requests that waited for the call and must be decided now.
    """

    number: int
    customer: Customer
    call: CounterCall
    outcome: Outcome
    waiting: list[int]


class QuotaCounterSync:
    """Synchronizes customers' token buckets with the shared counter.

    Attributes:
        failures: number of failed calls in a row; an error reply counts as a fraction of one.
        circuit_open_until: end of the period after failures in which no call is made, in seconds.
            During this period the ingress shares each quota as if it knew nothing about the other
            ingresses.
    """

    __slots__ = ("_context", "_customers", "_gossip", "circuit_open_until", "failures")

    def __init__(
        self, context: Context, customers: CustomerRegistry, gossip: GossipProtocol
    ) -> None:
        self._context = context
        self._customers = customers
        self._gossip = gossip
        self.failures = 0.0
        self.circuit_open_until = NEVER

    def must_wait(self, event: RequestArrived, customer: Customer, sketch: RateSketch) -> bool:
        """Return whether a request must wait until the counter reports the others' usage.

        It need not wait if the bucket is too empty for it in any case, or if the last reply is at
        most a clock tick old. At an arrival rate within an even split of the quota, it waits only
        if it would leave less than `MIN_LEVEL_FRACTION` of the burst in the bucket. At a higher
        rate the expected usage of the other ingresses since the last reply is subtracted from this
        level, and the request also waits if the reply is older than the sketch's window.
        """
        context = self._context
        if context.now < self.circuit_open_until or not self._is_needed(customer):
            return False
        plan = context.settings.plans[event.plan]
        age = context.now - customer.counter_at
        level_after = customer.quota.level - event.units
        if level_after < 0 or age <= context.settings.clock_tick:
            return False
        min_level = MIN_LEVEL_FRACTION * plan.burst
        # One request at each ingress without a call would use up more than twice the burst.
        is_crowded = customer.spread * event.units > 2 * plan.burst
        even_rate = max(plan.rate / customer.spread, event.units / sketch.window)
        if not is_crowded and customer.arrival_rate <= even_rate:
            return level_after < min_level
        return (
            is_crowded
            or age > sketch.window
            or level_after - customer.remote_rate * age < min_level
        )

    def record_admission(self, event: RequestArrived, customer: Customer) -> None:
        """Record admitted units, and add them to the counter if it is needed."""
        sketch = self._customers.sketches[event.plan]
        if not self._is_needed(customer) or sketch is None:
            return
        now = self._context.now
        customer.local_rate = sketch.decayed_rate(
            customer.local_rate, event.units, now - customer.local_rate_at
        )
        customer.local_rate_at = now
        customer.uncounted_units += event.units
        if customer.counter_call is None and now >= self.circuit_open_until:
            self.send(event.customer, customer)

    def send(self, number: int, customer: Customer) -> None:
        """Add the units and the correction that the counter does not include yet."""
        context = self._context
        shared_time = context.now + context.settings.clock_offset
        customer.counter_call = CounterCall(
            context.now - shared_time % EPOCH, customer.uncounted_units, customer.pending_correction
        )
        name = number << EPOCH_BITS | int(shared_time / EPOCH) & EPOCH_MASK
        amount = round(customer.uncounted_units + customer.counter_correction, UNIT_DECIMALS)
        context.actions.append(AddToCounter(name, amount, TOTAL_LIFETIME))
        customer.uncounted_units = 0.0
        customer.pending_correction = 0.0
        customer.counter_correction = 0.0

    def on_reply(self, event: CounterReplied) -> CounterUpdate | None:
        """Apply the counter's reply.

        Returns:
            The answered call with the requests to decide, after which the caller must call
            `after_decisions`; None if the customer is no longer known or the call is repeated.
        """
        number = event.name >> EPOCH_BITS
        customer = self._customers.by_number.get(number)
        if customer is None or customer.counter_call is None:
            return None
        call = customer.counter_call
        customer.counter_call = None
        self._customers.get_known(number)
        if event.outcome is Outcome.OK:
            self._apply_total(event.total, call, customer)
        elif self._record_failed_call(event.outcome, call, number, customer):
            return None
        waiting = customer.waiting_requests
        customer.waiting_requests = []
        return CounterUpdate(number, customer, call, event.outcome, waiting)

    def after_decisions(self, update: CounterUpdate) -> None:
        """Send remaining units and corrections, once the waiting requests are decided."""
        customer, call = update.customer, update.call
        if (
            update.outcome is Outcome.OK
            and customer.counter_call is None
            and (customer.uncounted_units or self._has_large_correction(customer, call))
        ):
            self.send(update.number, customer)
        # Both are valid only at the time of the reply.
        customer.pending_correction = 0.0
        customer.counter_correction = 0.0

    def _is_needed(self, customer: Customer) -> bool:
        """Return whether the counter is needed to learn what the other ingresses admit.

        It is needed for a plan with a quota, unless gossip reports what they admit.
        """
        return (
            self._context.settings.may_use_counter
            and customer.quota.rate > 0
            and not self._gossip.knows_peer_usage(customer)
        )

    def _apply_total(self, total: float, call: CounterCall, customer: Customer) -> None:
        """Update the customer's token bucket with the counter's total after a call."""
        now = self._context.now
        plan = self._context.settings.plans[customer.plan_number]
        sketch = self._customers.sketches[customer.plan_number]
        assert sketch is not None
        refill = plan.rate * (now - call.epoch_started_at)
        unused_refill = refill - (total - call.units - call.correction)
        level_after, missing = customer.quota.level_and_correction(unused_refill, call.units)
        remote_units = customer.quota.apply_counter(level_after - customer.uncounted_units)
        customer.remote_rate = sketch.decayed_rate(
            customer.remote_rate, remote_units, now - customer.counter_at
        )
        customer.pending_correction = missing * (not call.correction)
        customer.counter_correction = missing - call.correction
        customer.counter_at = now
        self.failures = 0.0
        # A smaller correction results from usage by other ingresses, and not from another ingress
        # that made the same correction.
        is_duplicate = abs(customer.counter_correction) > abs(call.correction) / 2
        customer.counter_correction *= is_duplicate

    def _record_failed_call(
        self, outcome: Outcome, call: CounterCall, number: int, customer: Customer
    ) -> bool:
        """Record a failed call; return whether it is repeated at once for waiting requests."""
        customer.uncounted_units += call.units * (outcome in NEVER_RAN)
        is_error = outcome in (Outcome.ERROR, Outcome.RESET)
        self.failures += ERROR_FAILURE_WEIGHT if is_error else 1
        if self.failures >= CIRCUIT_FAILURE_THRESHOLD:
            self.circuit_open_until = self._context.now + CIRCUIT_OPEN_TIME
        elif is_error and customer.waiting_requests:
            self.send(number, customer)
            return True
        return False

    def _has_large_correction(self, customer: Customer, call: CounterCall) -> bool:
        """Return whether the correction after a call is large enough for a separate call."""
        plan = self._context.settings.plans[customer.plan_number]
        correction = customer.counter_correction
        min_fraction = (
            MIN_REPEATED_CORRECTION_FRACTION if call.correction else MIN_CORRECTION_FRACTION
        )
        if abs(correction) <= min_fraction * plan.burst:
            return False
        return bool(call.correction or call.units or correction < 0)
