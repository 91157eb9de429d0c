"""All customers that an ingress knows, and the sketches of their arrival rates."""

from __future__ import annotations

from dockthread.policy.context import NEVER, Context
from dockthread.policy.customer import Customer
from dockthread.policy.model import PolicySettings
from dockthread.policy.rate_sketch import RateSketch

# With gossip, customers are dropped only when there are more than this many, because peers may
# still report them.
GOSSIP_CUSTOMERS_KEPT = 4096
# With gossip, seconds without a request after which a customer may be dropped. Its token bucket is
# full again by then, like that of a new customer.
GOSSIP_IDLE_TIME = 120.0
# Seconds between two searches of a full registry for customers that can be dropped.
SEARCH_INTERVAL = 0.25
# Seconds without a request after which a full registry may drop a customer.
FULL_IDLE_TIME = 2.0


class CustomerRegistry:
    """The known customers by number.

    Attributes:
        by_number: the customers.
        sketches: by plan, the sketch of its customers' arrival rates; None for a plan without a
            quota and without a cap on attempts in flight.
    """

    __slots__ = ("_context", "_searched_at", "by_number", "sketches")

    def __init__(self, context: Context, cap_window: float) -> None:
        """Create an empty registry.

        Args:
            context: the engine's context.
            cap_window: seconds over which arrival rates decay for a plan that only has a cap on
                attempts in flight.
        """
        self._context = context
        self.by_number: dict[int, Customer] = {}
        self._searched_at = NEVER
        windows = rate_windows(context.settings, cap_window)
        self.sketches = [RateSketch(window, context.rng) if window else None for window in windows]

    def get(self, number: int, plan_number: int) -> Customer:
        """Return a customer with its token bucket refilled; create the customer if unknown."""
        customer = self.by_number.get(number)
        if customer is None:
            context = self._context
            plan = context.settings.plans[plan_number]
            customer = Customer(plan_number, plan, context.now, context.started_at)
            self.by_number[number] = customer
        customer.quota.refill(self._context.now)
        return customer

    def has_room_for(self, number: int) -> bool:
        """Return whether a customer is known, or may become known.

        Names are free to whoever sends requests, so their number is bounded. A customer is dropped
        for a new one only if it has sent nothing for a while and its state is that of a new one.
        """
        max_customers = self._context.settings.max_customers
        if not max_customers or number in self.by_number or len(self.by_number) < max_customers:
            return True
        now = self._context.now
        if now - self._searched_at < SEARCH_INTERVAL:
            return False
        self._searched_at = now
        plans = self._context.settings.plans
        self.by_number = {
            known: customer
            for known, customer in self.by_number.items()
            if now - customer.quota.updated_at < FULL_IDLE_TIME
            or not customer.has_full_buckets(plans[customer.plan_number], now)
        }
        return len(self.by_number) < max_customers

    def get_known(self, number: int) -> Customer:
        """Return a known customer with its token bucket refilled.

        Raises:
            KeyError: the customer is not known.
        """
        customer = self.by_number[number]
        customer.quota.refill(self._context.now)
        return customer

    def expire(self) -> bool:
        """Drop customers whose state is equivalent to that of a new customer.

        With gossip, only customers without recent requests are dropped, and only if there are more
        than `GOSSIP_CUSTOMERS_KEPT` customers.

        Returns:
            Whether unsent gossip may refer to dropped customers.
        """
        settings, now = self._context.settings, self._context.now
        if not settings.may_gossip:
            self.by_number = {
                number: customer
                for number, customer in self.by_number.items()
                if not customer.is_equivalent_to_new(settings.plans[customer.plan_number], now)
            }
            return False
        if len(self.by_number) <= GOSSIP_CUSTOMERS_KEPT:
            return False
        self.by_number = {
            number: customer
            for number, customer in self.by_number.items()
            if customer.quota.updated_at > now - GOSSIP_IDLE_TIME or customer.in_flight
        }
        return True


def rate_windows(settings: PolicySettings, cap_window: float) -> list[float]:
    """Return, by plan, the seconds over which arrival rates decay; 0 for an unlimited plan."""
    return [
        plan.burst / plan.rate if plan.rate > 0 else cap_window * bool(plan.max_in_flight)
        for plan in settings.plans
    ]
