"""All customers that an ingress knows, and the sketches of their arrival rates."""

from __future__ import annotations

from dockthread.policy.context import Context
from dockthread.policy.customer import Customer
from dockthread.policy.model import PolicySettings
from dockthread.policy.rate_sketch import RateSketch

# With gossip, customers are dropped only when there are more than this many, because peers may
# still report them.
GOSSIP_CUSTOMERS_KEPT = 4096
# With gossip, seconds without a request after which a customer may be dropped. Its token bucket is
# full again by then, like that of a new customer.
GOSSIP_IDLE_TIME = 120.0


class CustomerRegistry:
    """The known customers by number.

    Attributes:
        by_number: the customers.
        sketches: by plan, the sketch of its customers' arrival rates; None for a plan without a
            quota and without a cap on attempts in flight.
    """

    __slots__ = ("_context", "by_number", "sketches")

    def __init__(self, context: Context, cap_window: float) -> None:
        """Create an empty registry.

        Args:
            context: the engine's context.
            cap_window: seconds over which arrival rates decay for a plan that only has a cap on
                attempts in flight.
        """
        self._context = context
        self.by_number: dict[int, Customer] = {}
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
