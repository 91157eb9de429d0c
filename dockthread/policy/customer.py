"""What an ingress knows of one customer."""

from __future__ import annotations

from typing import NamedTuple

from dockthread.policy.context import NEVER
from dockthread.policy.gossip_codec import CustomerReport, encode_units
from dockthread.policy.model import Plan
from dockthread.policy.token_bucket import QuotaBucket


class CounterCall(NamedTuple):
    """A call to the shared quota counter that has not been answered.

    Attributes:
        epoch_started_at: the start of the counter's epoch, in seconds on the engine's clock.
        units: units admitted here that the call adds to the counter.
        correction: the pending correction that the call takes along, in units.
    """

    epoch_started_at: float
    units: float
    correction: float


class PeerSums(NamedTuple):
    """The sums that a peer last sent of one customer, as they travel in gossip.

    Attributes:
        incarnation: the peer's incarnation, which its sums count from; -1 for none heard yet.
        requested: units that the peer was asked for.
        admitted: units that the peer admitted.
    """

    incarnation: int
    requested: int
    admitted: int


class Customer:
    """One customer, as far as this ingress knows it.

    Attributes:
        plan_number: the position of the customer's plan in the settings.
        quota: the customer's token bucket, as far as it is known here.
        ceiling_tokens: units left of this ingress's part of the plan's ceiling.
        ceiling_updated_at: when these were last refilled, in seconds.
        first_ingress: the first ingress of the set that serves the customer.
        spread: the number of ingresses in that set.
        in_flight: the customer's attempts in flight here.
        arrival_rate: the decayed rate of units that arrive here, per second.
        requested_units: the sum of units that ever arrived here.
        admitted_units: the sum of units that were ever admitted here.
        peer_sums: by peer, the sums it last sent.
        peer_in_flight: by peer, when it last spoke of the customer and the attempts in flight
            there.
        gossip_at: when a peer last spoke of the customer, in seconds.
        peer_arrival_rate: the decayed rate of units that arrive at the peers, then.
        peer_admission_rate: the decayed rate of units that the peers admit, then.
        local_rate: the decayed rate of units admitted here.
        local_rate_at: when that was last updated, in seconds.
        uncounted_units: units admitted here that the shared counter does not hold yet.
        counter_call: the call to the counter in flight, or None.
        pending_correction: what the counter's number lacks at this moment, in units, as long as no
            call has taken it along.
        counter_correction: what the next call adds to the number for that, or takes back.
        counter_at: when the counter's number was last received, in seconds.
        remote_rate: the decayed rate of units that the others admit, by the counter.
        reported_usage: the last usage report, as a fraction of the quota.
        reported_usage_at: when it arrived, in seconds.
        waiting_requests: requests that wait for the counter's reply.
    """

    def __init__(self, plan_number: int, plan: Plan, now: float, started_at: float) -> None:
        self.plan_number = plan_number
        self.quota = QuotaBucket(plan.rate, plan.burst, now)
        self.ceiling_tokens = 0.0
        self.ceiling_updated_at = started_at
        self.first_ingress = 0
        self.spread = 1
        self.in_flight = 0
        self.arrival_rate = 0.0
        self.requested_units = 0.0
        self.admitted_units = 0.0
        self.peer_sums: dict[int, PeerSums] = {}
        self.peer_in_flight: dict[int, tuple[float, int]] = {}
        self.gossip_at = NEVER
        self.peer_arrival_rate = 0.0
        self.peer_admission_rate = 0.0
        self.local_rate = 0.0
        self.local_rate_at = NEVER
        self.uncounted_units = 0.0
        self.counter_call: CounterCall | None = None
        self.pending_correction = 0.0
        self.counter_correction = 0.0
        self.counter_at = NEVER
        self.remote_rate = 0.0
        self.reported_usage = 0.0
        self.reported_usage_at = NEVER
        self.waiting_requests: list[int] = []

    def is_as_new(self, plan: Plan, now: float) -> bool:
        """Return whether a new customer in its place would be known as much."""
        if self.in_flight or self.waiting_requests or self.counter_call:
            return False
        idle_time = now - self.quota.updated_at
        if idle_time * plan.rate < plan.burst:
            return False
        return plan.ceiling_rate * (now - self.ceiling_updated_at) >= plan.ceiling_burst

    def gossip_report(self, number: int, now: float) -> CustomerReport:
        """Describe the customer for peers.

        It has sums and not differences: the next report heals the loss of one.
        """
        return CustomerReport(
            number,
            self.plan_number,
            self.in_flight,
            encode_units(self.requested_units),
            encode_units(self.admitted_units),
            self.quota.level_at(now),
        )
