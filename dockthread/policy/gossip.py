"""Gossip: messages in which ingresses report customers and failing backends to each other.

Theory of operation. For each customer, every ingress of the customer's set reports to the other
ingresses of the set the units requested from it and the units that it admitted, as sums since its
start, and its attempts in flight. When a customer's state changes, the customer is marked as unsent
for each of these peers. `(ingresses - 1) / intake` seconds after the first mark, a round sends one
message to each peer with unsent customers. At this interval an ingress receives no more messages
than the settings allow, and the reports are as recent as that permits. Reports that don't fit into
a message, or exceed the message budget, wait for the next round; the customers with the emptiest
token buckets are sent first. An ingress that has nothing to report sends heartbeats, so that peers
can detect its failure. Every message carries the sender's incarnation. A changed incarnation means
that the sender restarted without any state, so it is sent the customers whose token buckets are not
full.
"""

from __future__ import annotations

from dockthread.policy import gossip_codec
from dockthread.policy.actions import SendGossip
from dockthread.policy.backend_registry import BackendRegistry
from dockthread.policy.context import NEVER, Context
from dockthread.policy.customer import Customer, PeerSums
from dockthread.policy.customer_registry import CustomerRegistry
from dockthread.policy.events import GossipReceived
from dockthread.policy.timers import TimerQueue

# All peers together send at most this fraction of the messages that an ingress can receive.
INTAKE_FRACTION = 0.8
# Lower bound on the rate at which an ingress can receive messages, messages/s.
MIN_INTAKE_RATE = 1.0
# Size of the message budget, in seconds of sending at the average rate.
BUDGET_SECONDS = 4
# Minimum and maximum time in seconds from the first unsent report to the round that sends it.
MIN_ROUND_INTERVAL = 0.02
MAX_ROUND_INTERVAL = 0.25
# Minimum time in seconds between two heartbeats to a peer.
MIN_HEARTBEAT_INTERVAL = 0.5
# Minimum time between two heartbeats to a peer, in multiples of `full_round_time`.
HEARTBEAT_FULL_ROUNDS = 8
# Heartbeat intervals without a message after which a peer counts as silent.
SILENT_HEARTBEATS = 3
# The peers' usage counts as known if a full round takes at most this fraction of the window over
# which the plan's rates are measured.
FRESH_WINDOW_FRACTION = 0.25
# A backend is reported to peers when more than this fraction of its outcomes are failures.
SUSPECT_FAILURE_FRACTION = 0.4
# Maximum number of suspect backends in one message.
MAX_SUSPECTS_PER_MESSAGE = 3
# Seconds after a backend's last response here during which peers' reports about it are ignored.
LOCAL_EVIDENCE_TIME = 2.0
# A peer that restarted is sent the customers whose token buckets hold less than this fraction of
# the burst.
RESTART_REPORT_FRACTION = 0.9


class GossipProtocol:
    """Sends and receives this ingress's gossip.

    Attributes:
        full_round_time: seconds needed to send one message to each peer.
        last_received_at: by peer, the time in seconds at which its last message was received.
    """

    __slots__ = (
        "_backends",
        "_budget",
        "_budget_updated_at",
        "_context",
        "_customers",
        "_heartbeat_interval",
        "_incarnation",
        "_intake_rate",
        "_is_round_scheduled",
        "_last_sent_at",
        "_own_number",
        "_peer_incarnations",
        "_round_interval",
        "_timers",
        "_unsent",
        "full_round_time",
        "last_received_at",
    )

    def __init__(
        self,
        context: Context,
        timers: TimerQueue,
        customers: CustomerRegistry,
        backends: BackendRegistry,
        incarnation: int,
    ) -> None:
        self._context = context
        self._timers = timers
        self._customers = customers
        self._backends = backends
        self._incarnation = incarnation
        settings = context.settings
        self._own_number = settings.ingress_number
        self._intake_rate = INTAKE_FRACTION * max(settings.gossip_intake_rate, MIN_INTAKE_RATE)
        self._budget = BUDGET_SECONDS * self._intake_rate
        self._budget_updated_at = context.now
        self.full_round_time = (settings.ingress_count - 1) / self._intake_rate
        self._round_interval = min(
            MAX_ROUND_INTERVAL, max(MIN_ROUND_INTERVAL, self.full_round_time)
        )
        self._heartbeat_interval = max(
            MIN_HEARTBEAT_INTERVAL, HEARTBEAT_FULL_ROUNDS * self.full_round_time
        )
        self._is_round_scheduled = False
        # The customers to report, by peer; a peer with an empty entry is sent a heartbeat.
        self._unsent: dict[int, dict[int, None]] = {}
        self.last_received_at: dict[int, float] = {}
        self._last_sent_at: dict[int, float] = {}
        self._peer_incarnations: dict[int, int] = {}

    # Queries by other parts of the engine

    def knows_peer_usage(self, customer: Customer) -> bool:
        """Return whether gossip reports everything that other ingresses admit of a customer.

        That is the case if no other ingress serves the customer, or if each of them has sent a
        message recently and rounds are short compared with the window of the plan's rates.
        """
        if customer.spread == 1:
            return True
        sketch = self._customers.sketches[customer.plan_number]
        if not self._context.settings.may_gossip or sketch is None:
            return False
        if self.full_round_time > FRESH_WINDOW_FRACTION * sketch.window:
            return False
        silence_cutoff = self._context.now - SILENT_HEARTBEATS * self._heartbeat_interval
        return all(
            self.last_received_at.get(peer, NEVER) > silence_cutoff
            for peer in self._peers_of(customer)
        )

    def has_recent_message(self) -> bool:
        """Return whether any peer has sent a message recently."""
        if not self._context.settings.may_gossip:
            return False
        now, max_silence = self._context.now, SILENT_HEARTBEATS * self._heartbeat_interval
        return any(now - at <= max_silence for at in self.last_received_at.values())

    def _peers_of(self, customer: Customer) -> list[int]:
        """Return the other ingresses of a customer's set."""
        count = self._context.settings.ingress_count
        members = ((customer.first_ingress + step) % count for step in range(customer.spread))
        return [peer for peer in members if peer != self._own_number]

    # Scheduling reports

    def schedule_initial_messages(self) -> None:
        """Schedule a first message to every peer, so that each replies with its customers.

        The order is random, so that ingresses that start together don't all begin with the same
        peer.
        """
        count = self._context.settings.ingress_count
        peers = [peer for peer in range(count) if peer != self._own_number]
        self._unsent = {peer: {} for peer in self._context.rng.sample(peers, len(peers))}
        self._schedule_round()

    def schedule_heartbeats(self) -> None:
        """Schedule a message to each peer that was sent none for a heartbeat interval."""
        if not self._context.settings.may_gossip:
            return
        now = self._context.now
        for peer in range(self._context.settings.ingress_count):
            if peer == self._own_number:
                continue
            if now - self._last_sent_at.get(peer, NEVER) >= self._heartbeat_interval:
                self._unsent.setdefault(peer, {})
        if self._unsent:
            self._schedule_round()

    def report(self, number: int, customer: Customer) -> None:
        """Mark a customer as unsent, so that the next round reports it to the peers of its set."""
        if self._context.settings.may_gossip and customer.spread > 1:
            for peer in self._peers_of(customer):
                self._unsent.setdefault(peer, {})[number] = None
            self._schedule_round()

    def drop_unsent(self) -> None:
        """Drop all unsent reports, because some of their customers are no longer known."""
        self._unsent = {}

    # Sending

    def _schedule_round(self) -> None:
        if not self._is_round_scheduled and self._context.settings.may_gossip:
            self._is_round_scheduled = True
            round_at = self._context.now + self._round_interval
            self._timers.set(round_at, self._send_round)

    def _send_round(self) -> None:
        """Send one message to each peer with unsent customers, then heartbeats, within the budget.

        The budget allows an ingress to send, on average, as many messages as it could receive.
        """
        self._refill_budget()
        self._is_round_scheduled = False
        suspects = self._draw_suspects()
        for peer in sorted(self._unsent, key=lambda peer: not self._unsent[peer]):
            is_heartbeat = not self._unsent[peer]
            half_budget = BUDGET_SECONDS * self._intake_rate / 2
            if self._budget < 1 or (is_heartbeat and self._budget < half_budget):
                break
            self._send_to(peer, suspects)
        if self._unsent:
            self._schedule_round()

    def _refill_budget(self) -> None:
        elapsed = self._context.now - self._budget_updated_at
        self._budget = min(
            BUDGET_SECONDS * self._intake_rate, self._budget + self._intake_rate * elapsed
        )
        self._budget_updated_at = self._context.now

    def _draw_suspects(self) -> list[tuple[bytes, float]]:
        """Return the codes and failure fractions of a few failing backends, drawn at random."""
        failing = [
            backend
            for backend in self._backends.pool.failing.values()
            if backend.failure_fraction > SUSPECT_FAILURE_FRACTION
        ]
        failing.sort(key=lambda backend: backend.slot)
        drawn_suspects = self._context.rng.sample(
            failing, min(MAX_SUSPECTS_PER_MESSAGE, len(failing))
        )
        return [(backend.code, backend.failure_fraction) for backend in drawn_suspects]

    def _send_to(self, peer: int, suspects: list[tuple[bytes, float]]) -> None:
        """Send a peer as many of its unsent reports as fit into one message."""
        now = self._context.now
        customers = self._customers.by_number
        unsent = self._unsent[peer]
        for number in [number for number in unsent if number not in customers]:
            del unsent[number]  # a full registry dropped the customer
        numbers = list(unsent)
        capacity = gossip_codec.report_capacity(len(suspects), numbers)
        if len(numbers) > capacity:
            # Prefer the customers whose token buckets are the emptiest.
            numbers = sorted(numbers, key=lambda number: customers[number].quota.level_at(now))[
                :capacity
            ]
        reports = [customers[number].gossip_report(number, now) for number in numbers]
        data = gossip_codec.encode_message(self._incarnation, suspects, reports)
        self._context.actions.append(SendGossip(data, peer))
        self._budget -= 1
        self._last_sent_at[peer] = now
        for number in numbers:
            del unsent[number]
        if not unsent:
            del self._unsent[peer]

    # Receiving

    def on_gossip_received(self, event: GossipReceived) -> None:
        """Apply a peer's message; ignore it if it is malformed or from an unknown sender."""
        settings, peer = self._context.settings, event.peer
        message = gossip_codec.decode_message(event.data, len(settings.plans))
        if message is None or not 0 <= peer < settings.ingress_count or peer == self._own_number:
            return
        self.last_received_at[peer] = self._context.now
        for code, failure_fraction in message.suspects:
            self._apply_suspect(code, failure_fraction)
        if self._peer_incarnations.get(peer) != message.incarnation:
            # The peer is new or has restarted, and needs to know which quotas are used up.
            self._peer_incarnations[peer] = message.incarnation
            self._report_all_to(peer)
        for report in message.reports:
            if not self._customers.has_room_for(report.customer):
                continue
            customer = self._customers.get(report.customer, report.plan)
            self._apply_customer_report(peer, customer, report)

    def _apply_suspect(self, code: bytes, failure_fraction: float) -> None:
        """Apply a peer's report of a failing backend, unless it responded here recently."""
        backend = self._backends.by_code.get(code)
        if backend is None:
            return
        if self._context.now - backend.last_response_at > LOCAL_EVIDENCE_TIME:
            backend.failure_fraction = max(backend.failure_fraction, failure_fraction)

    def _report_all_to(self, peer: int) -> None:
        """Schedule reports to a peer of all its customers whose token buckets are not full."""
        count, now = self._context.settings.ingress_count, self._context.now
        for number, customer in self._customers.by_number.items():
            is_in_set = (peer - customer.first_ingress) % count < customer.spread
            if not is_in_set or customer.spread <= 1:
                continue
            if customer.quota.level_at(now) < RESTART_REPORT_FRACTION * customer.quota.burst:
                self._unsent.setdefault(peer, {})[number] = None
        self._unsent.setdefault(peer, {})
        self._schedule_round()

    def _apply_customer_report(
        self, peer: int, customer: Customer, report: gossip_codec.CustomerReport
    ) -> None:
        """Apply a peer's report of a customer."""
        previous = customer.peer_sums.get(peer)
        incarnation = self._peer_incarnations[peer]
        is_same_process = previous is not None and previous.incarnation == incarnation
        # A new process counts its sums from 0.
        last_requested = previous.requested if previous is not None and is_same_process else 0
        last_admitted = previous.admitted if previous is not None and is_same_process else 0
        requested = gossip_codec.units_between(report.requested_sum, last_requested)
        admitted = gossip_codec.units_between(report.admitted_sum, last_admitted)
        if previous is None:
            # This is the peer's first report of the customer, and the time its sums count from is
            # unknown. So at most one request is counted, and the bucket level is lowered to the
            # level at the peer, because a restart must not refill the token bucket.
            max_units = self._context.settings.max_request_units
            requested = min(requested, max_units)
            admitted = min(admitted, max_units)
            customer.quota.lower_to_level(report.bucket_level + admitted)
        customer.peer_sums[peer] = PeerSums(incarnation, report.requested_sum, report.admitted_sum)
        self._update_peer_rates(customer, requested, admitted)
        customer.peer_in_flight.pop(peer, None)
        if report.in_flight:
            customer.peer_in_flight[peer] = (self._context.now, report.in_flight)

    def _update_peer_rates(self, customer: Customer, requested: float, admitted: float) -> None:
        """Add the units requested from a peer and admitted by it since its last report."""
        sketch = self._customers.sketches[customer.plan_number]
        if sketch is None:
            return
        gap = self._context.now - customer.gossip_at
        customer.gossip_at = self._context.now
        customer.quota.apply_gossip(admitted, gap)
        customer.peer_arrival_rate = sketch.decayed_rate(
            customer.peer_arrival_rate, max(0.0, requested), gap
        )
        customer.peer_admission_rate = sketch.decayed_rate(
            customer.peer_admission_rate, max(0.0, admitted), gap
        )
