"""Calls to the shared counter, which tells what all ingresses admit of a customer.

Theory of operation. The counter keeps one number for each customer and epoch: the units used since
the epoch's start, and those that ran over the full token bucket. The epoch's filling, less the
number, is the level of the customer's one token bucket, whoever reads it. What the number lacks of
these units is a correction, which is added with the next units or by a call of its own.
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

# Seconds for which a customer's number on the counter counts; and for which the counter keeps it.
EPOCH = 40.0
NUMBER_LIFETIME = 60.0
# A counter's number is named by the customer, in the upper bits, and the epoch.
EPOCH_BITS = 24
EPOCH_MASK = 0xFFFFFF
# Decimal places of the units that are added.
UNIT_DECIMALS = 3
# Fraction of the burst that has to be left, so that a request is admitted without asking.
ENOUGH_LEFT = 0.5
# Fraction of the burst: a smaller correction waits for the next units.
SMALL_CORRECTION = 0.5
# The same directly after a call that took a correction along, which another ingress may have made
# in the same moment.
SMALL_REPEATED_CORRECTION = 0.1
# Failed calls in a row that open the circuit, and the seconds for which it stays open.
FAILURES_TO_OPEN = 3
CIRCUIT_OPEN_TIME = 0.3
# An error of the counter counts as this part of a failed call, for it is a sign of life.
ERROR_FAILURE_WEIGHT = 0.25


class CounterUpdate(NamedTuple):
    """What is left to do after a reply was taken over.

    Attributes:
        number: the customer's number.
        customer: the customer.
        call: the call that was answered.
        outcome: how it ended.
        waiting: the requests that waited for it and are to be decided now.
    """

    number: int
    customer: Customer
    call: CounterCall
    outcome: Outcome
    waiting: list[int]


class QuotaCounterSync:
    """Keeps customers' token buckets in step with the shared counter.

    Attributes:
        failures: calls that failed in a row; an error counts as a part of one.
        circuit_open_until: until when no call is made after failures, in seconds. Meanwhile this
            ingress shares each quota as if it knew nothing of the others.
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
        """Return whether a request has to wait for the counter, as the others' use decides on it.

        It need not within an even split of the quota, nor while the token bucket holds much, nor
        where the bucket is too empty for the request whatever the others used.
        """
        context = self._context
        if context.now < self.circuit_open_until or not self._is_needed(customer):
            return False
        plan = context.settings.plans[event.plan]
        age = context.now - customer.counter_at
        left = customer.quota.level - event.units
        if left < 0 or age <= context.settings.clock_tick:
            return False
        enough = ENOUGH_LEFT * plan.burst
        # where each ingress admits one request without asking, all is gone
        is_crowded = customer.spread * event.units > 2 * plan.burst
        even_rate = max(plan.rate / customer.spread, event.units / sketch.window)
        if not is_crowded and customer.arrival_rate <= even_rate:
            return left < enough
        return is_crowded or age > sketch.window or left - customer.remote_rate * age < enough

    def record_admission(self, event: RequestArrived, customer: Customer) -> None:
        """Count admitted units, and add them to the counter where it is needed."""
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
        """Call the counter with the units and the correction that it does not hold yet."""
        context = self._context
        clock = context.now + context.settings.clock_offset
        customer.counter_call = CounterCall(
            context.now - clock % EPOCH, customer.uncounted_units, customer.pending_correction
        )
        name = number << EPOCH_BITS | int(clock / EPOCH) & EPOCH_MASK
        amount = round(customer.uncounted_units + customer.counter_correction, UNIT_DECIMALS)
        context.actions.append(AddToCounter(name, amount, NUMBER_LIFETIME))
        customer.uncounted_units = 0.0
        customer.pending_correction = 0.0
        customer.counter_correction = 0.0

    def on_reply(self, event: CounterReplied) -> CounterUpdate | None:
        """Take over the counter's reply.

        Returns:
            What is left to do, after which `after_decisions` has to be called; None where nothing
            is, as the customer is forgotten or the call is repeated.
        """
        number = event.name >> EPOCH_BITS
        customer = self._customers.by_number.get(number)
        if customer is None or customer.counter_call is None:
            return None
        call = customer.counter_call
        customer.counter_call = None
        self._customers.get_known(number)
        if event.outcome is Outcome.OK:
            self._take_over_total(event.total, call, customer)
        elif self._is_call_repeated(event.outcome, call, number, customer):
            return None
        waiting = customer.waiting_requests
        customer.waiting_requests = []
        return CounterUpdate(number, customer, call, event.outcome, waiting)

    def after_decisions(self, update: CounterUpdate) -> None:
        """Call the counter again for what is left, once the waiting requests are decided."""
        customer, call = update.customer, update.call
        if (
            update.outcome is Outcome.OK
            and customer.counter_call is None
            and (customer.uncounted_units or self._has_large_correction(customer, call))
        ):
            self.send(update.number, customer)
        # They hold for this moment only.
        customer.pending_correction = 0.0
        customer.counter_correction = 0.0

    def _is_needed(self, customer: Customer) -> bool:
        """Return whether the counter has to tell what the others admit.

        It has for a quota, where the others' messages don't tell it.
        """
        return (
            self._context.settings.may_use_counter
            and customer.quota.rate > 0
            and not self._gossip.knows_peers_use(customer)
        )

    def _take_over_total(self, total: float, call: CounterCall, customer: Customer) -> None:
        """Set the customer's token bucket by the counter's number after a call."""
        now = self._context.now
        plan = self._context.settings.plans[customer.plan_number]
        sketch = self._customers.sketches[customer.plan_number]
        assert sketch is not None
        filled = plan.rate * (now - call.epoch_started_at)
        room = filled - (total - call.units - call.correction)
        left, lacking = customer.quota.counter_balance(room, call.units)
        remote_units = customer.quota.apply_counter(left - customer.uncounted_units)
        customer.remote_rate = sketch.decayed_rate(
            customer.remote_rate, remote_units, now - customer.counter_at
        )
        customer.pending_correction = lacking * (not call.correction)
        customer.counter_correction = lacking - call.correction
        customer.counter_at = now
        self.failures = 0.0
        # A smaller one is the others' use, and not their correction of the same.
        is_own = abs(customer.counter_correction) > abs(call.correction) / 2
        customer.counter_correction *= is_own

    def _is_call_repeated(
        self, outcome: Outcome, call: CounterCall, number: int, customer: Customer
    ) -> bool:
        """Note a failed call; return whether it is repeated at once for waiting requests."""
        customer.uncounted_units += call.units * (outcome in NEVER_RAN)
        is_error = outcome in (Outcome.ERROR, Outcome.RESET)
        self.failures += ERROR_FAILURE_WEIGHT if is_error else 1
        if self.failures >= FAILURES_TO_OPEN:
            self.circuit_open_until = self._context.now + CIRCUIT_OPEN_TIME
        elif is_error and customer.waiting_requests:
            self.send(number, customer)
            return True
        return False

    def _has_large_correction(self, customer: Customer, call: CounterCall) -> bool:
        """Return whether the correction after a call is worth a call of its own."""
        plan = self._context.settings.plans[customer.plan_number]
        correction = customer.counter_correction
        least = SMALL_REPEATED_CORRECTION if call.correction else SMALL_CORRECTION
        if abs(correction) <= least * plan.burst:
            return False
        return bool(call.correction or call.units or correction < 0)
