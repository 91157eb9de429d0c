"""The state that an ingress keeps for one customer."""

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
        correction: the pending correction at the time of the call, in units.
    """

    epoch_started_at: float
    units: float
    correction: float


class PeerSums(NamedTuple):
    """The latest sums that a peer reported for one customer, as encoded in gossip messages.

    Attributes:
        incarnation: the peer's incarnation; the sums count from its start.
        requested: sum of the units requested from the peer.
        admitted: sum of the units that the peer admitted.
    """

    incarnation: int
    requested: int
    admitted: int


class Customer:
    """The state of one customer at this ingress; rates are in units per second.

    Attributes:
        plan_number: the position of the customer's plan in the settings.
        quota: this ingress's copy of the customer's token bucket.
        ceiling_tokens: units left in this ingress's part of the plan's ceiling.
        ceiling_updated_at: time in seconds at which `ceiling_tokens` was last refilled.
        first_ingress: the first ingress of the set that serves the customer.
        spread: the number of ingresses in that set.
        in_flight: number of the customer's attempts in flight here.
        arrival_rate: decayed rate of the units requested here.
        requested_units: sum of all units requested here.
        admitted_units: sum of all units admitted here.
        peer_sums: by peer, the sums in its latest report.
        peer_in_flight: by peer, the time of its latest report of attempts in flight, and their
            number.
        gossip_at: time in seconds of the latest report from any peer.
        peer_arrival_rate: decayed rate of the units requested from the peers, as of `gossip_at`.
        peer_admission_rate: decayed rate of the units admitted by the peers, as of `gossip_at`.
        local_rate: decayed rate of the units admitted here, as of `local_rate_at`.
        local_rate_at: time in seconds at which `local_rate` was last updated.
        uncounted_units: units admitted here that were not yet added to the shared counter.
        counter_call: the call to the counter in flight, or None.
        pending_correction: units missing from the counter's total at the time of its last reply;
            0 once a call has been sent.
        counter_correction: units that the next call adds to the total as a correction; below 0 if
            they are subtracted.
        counter_at: time in seconds at which the counter's total was last received.
        remote_rate: decayed rate of the units admitted by the other ingresses, according to the
            counter.
        reported_usage: the latest usage report, as a fraction of the quota.
        reported_usage_at: time in seconds at which the latest usage report arrived.
        waiting_requests: requests that wait for the counter's reply.
    """

    __slots__ = (
        "admitted_units",
        "arrival_rate",
        "ceiling_tokens",
        "ceiling_updated_at",
        "counter_at",
        "counter_call",
        "counter_correction",
        "first_ingress",
        "gossip_at",
        "in_flight",
        "local_rate",
        "local_rate_at",
        "peer_admission_rate",
        "peer_arrival_rate",
        "peer_in_flight",
        "peer_sums",
        "pending_correction",
        "plan_number",
        "quota",
        "remote_rate",
        "reported_usage",
        "reported_usage_at",
        "requested_units",
        "spread",
        "uncounted_units",
        "waiting_requests",
    )

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

    def is_equivalent_to_new(self, plan: Plan, now: float) -> bool:
        """Return whether the customer's state is equivalent to that of a new customer."""
        if self.in_flight or self.waiting_requests or self.counter_call:
            return False
        idle_time = now - self.quota.updated_at
        if idle_time * plan.rate < plan.burst:
            return False
        return plan.ceiling_rate * (now - self.ceiling_updated_at) >= plan.ceiling_burst

    def has_full_buckets(self, plan: Plan, now: float) -> bool:
        """Return whether nothing that limits the customer depends on its past."""
        if self.in_flight or self.waiting_requests or self.counter_call:
            return False
        if self.quota.level_at(now) < plan.burst:
            return False
        return plan.ceiling_rate * (now - self.ceiling_updated_at) >= plan.ceiling_burst

    def gossip_report(self, number: int, now: float) -> CustomerReport:
        """Return a report of the customer for peers.

        The report contains sums instead of differences, so that the next report makes up for a lost
        one.
        """
        return CustomerReport(
            number,
            self.plan_number,
            self.in_flight,
            encode_units(self.requested_units),
            encode_units(self.admitted_units),
            self.quota.level_at(now),
        )
