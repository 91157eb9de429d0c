"""What gateways tell each other: queues and batches of messages, and what was heard put into
memory. Decides nothing.

Theory of operation. Every gateway tells the others of a customer's set what it was asked for and
let in, as sums since its start, and its attempts out. A customer of whom there is news is marked
for each of the others. A round of messages, `(gateways - 1) / intake` seconds after the first mark,
sends one message to each that has marks, so that a gateway takes in what the settings allow and the
news is as fresh as that permits. What does not fit into a message, or into the stock of messages,
waits; the customers with the emptiest stores go first. A gateway that has nothing to tell tells it
after a beat, so that its silence means something. A mark of its life goes with every message:
another mark means that it began anew and knows nothing, and it is told of the customers whose
stores are not full.
"""

from __future__ import annotations

from dockthread.policy import gossip_codec
from dockthread.policy.actions import SendGossip
from dockthread.policy.events import GossipReceived
from dockthread.policy.model import PolicySettings
from dockthread.policy.rate_sketch import RateSketch
from dockthread.policy.state import NEVER, Customer, Memory

INTAKE_PART, STOCK = 0.8, 4  # part of an intake that all use; s of messages in stock
ROUND_LEAST, ROUND_MOST = 0.02, 0.25  # s between the first news and its round of messages
# s, or rounds of all, between messages; beats without one: silent
BEAT, BEAT_ROUNDS, SILENT_BEATS = 0.5, 8, 3
CLOSE = 0.25  # of a plan's window: the oldest news by which the others' use counts as known
NOTED, MOST_TOLD = 0.4, 3  # failed part of a worker that is told; most told
TRUST = 2.0  # s after its last answer here in which what others say of a worker counts for nothing
SHORT = 0.9  # of a burst: what is left less than this of is told to one that began anew


class Gossip(Memory):
    """A gateway's messages to its peers, and theirs. The parts that decide stand in the classes
    that follow it.
    """

    sketches: list[RateSketch | None]

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.intake = INTAKE_PART * max(settings.gossip_intake_rate, 1.0)
        self.stock = STOCK * self.intake
        # s in which each of the others can be told once
        self.turn = (settings.ingress_count - 1) / self.intake
        self.round = min(ROUND_MOST, max(ROUND_LEAST, self.turn))
        self.beat = max(BEAT, BEAT_ROUNDS * self.turn)

    def _customer(self, key: int, number: int) -> Customer:
        raise NotImplementedError

    def _others(self, c: Customer) -> list[int]:
        """The other gateways of a customer's set."""
        ring = ((c.first + i) % self.s.ingress_count for i in range(c.spread))
        return [p for p in ring if p != self.me]

    def _hears(self, c: Customer) -> bool:
        """Whether all that the others let in is known: there are none, or each of them tells it by
        messages, and soon enough for the plan's window.
        """
        if c.spread == 1:
            return True
        sketch = self.sketches[c.plan]
        if not self.s.may_gossip or sketch is None or self.turn > CLOSE * sketch.window:
            return False
        since = self.now - SILENT_BEATS * self.beat
        return all(self.heard.get(p, NEVER) > since for p in self._others(c))

    def _hears_any(self) -> bool:
        return self.s.may_gossip and any(
            self.now - at <= SILENT_BEATS * self.beat for at in self.heard.values()
        )

    def _greet(self) -> None:
        """Each answers a greeting with the customers that are short."""
        peers = [p for p in range(self.s.ingress_count) if p != self.me]
        self.unsent = {p: {} for p in self.rng.sample(peers, len(peers))}
        self._schedule_gossip()

    def _beats(self) -> None:
        """At each round of housekeeping: who was told nothing for long is told that all is well."""
        if self.s.may_gossip:
            for p in range(self.s.ingress_count):
                if p != self.me and self.now - self.sent_at.get(p, NEVER) >= self.beat:
                    self.unsent.setdefault(p, {})
            if self.unsent:
                self._schedule_gossip()

    def _report(self, key: int, c: Customer) -> None:
        """There is news of a customer: the others of its set are told with the next round."""
        if self.s.may_gossip and c.spread > 1:
            for peer in self._others(c):
                self.unsent.setdefault(peer, {})[key] = None
            self._schedule_gossip()

    def _schedule_gossip(self) -> None:
        if not self.gossip_due and self.s.may_gossip:
            self.gossip_due = True
            self.timer(self.now + self.round, self._send_gossip)

    def _send_gossip(self) -> None:
        """On average as many messages as this gateway could take in itself; news before beats."""
        self.stock = min(
            STOCK * self.intake, self.stock + self.intake * (self.now - self.gossiped_at)
        )
        self.gossip_due, self.gossiped_at = False, self.now
        bad = [w for w in self.pool.failing.values() if w.failed > NOTED]
        bad.sort(key=lambda w: w.place)  # as they were listed
        suspects = [(w.code, w.failed) for w in self.rng.sample(bad, min(MOST_TOLD, len(bad)))]
        for peer in sorted(self.unsent, key=lambda p: not self.unsent[p]):
            notes = self.unsent[peer]
            if self.stock < 1 or (not notes and self.stock < STOCK * self.intake / 2):
                break
            keys = list(notes)
            room = gossip_codec.report_capacity(len(suspects), keys)
            if len(keys) > room:  # those whose quota is nearest to its end
                keys = sorted(keys, key=lambda key: self.customers[key].store.level_at(self.now))[
                    :room
                ]
            reports = [self.customers[key].report_of(key, self.now) for key in keys]
            self.actions.append(
                SendGossip(gossip_codec.encode_message(self.life, suspects, reports), peer)
            )
            self.stock, self.sent_at[peer] = self.stock - 1, self.now
            for key in keys:
                del notes[key]
            if not notes:
                del self.unsent[peer]
        if self.unsent:
            self._schedule_gossip()

    def _said(self, e: GossipReceived) -> None:
        told = gossip_codec.decode_message(e.data, len(self.s.plans))
        if told is None or not 0 <= e.peer < self.s.ingress_count or e.peer == self.me:
            return
        self.heard[e.peer] = self.now
        for code, failed in told.suspects:
            suspect = self.codes.get(code)
            if suspect and self.now - suspect.answered > TRUST:
                suspect.failed = max(suspect.failed, failed)
        if (
            self.lives.get(e.peer) != told.incarnation
        ):  # it started: it is to know whose quota is used up
            self.lives[e.peer] = told.incarnation
            self._tell_short(e.peer)
        for report in told.reports:
            self._told(e.peer, self._customer(report.customer, report.plan), report)

    def _tell_short(self, peer: int) -> None:
        for key, c in self.customers.items():
            in_set = (peer - c.first) % self.s.ingress_count < c.spread
            if in_set and c.spread > 1 and c.store.level_at(self.now) < SHORT * c.store.burst:
                self.unsent.setdefault(peer, {})[key] = None
        self.unsent.setdefault(peer, {})
        self._schedule_gossip()

    def _told(self, peer: int, c: Customer, r: gossip_codec.CustomerReport) -> None:
        life, arrived, spent = c.told.get(peer, (-1, 0, 0))
        if life != self.lives[peer]:  # it counts from nothing
            arrived = spent = 0
        asked, used = (
            gossip_codec.units_between(r.arrived_sum, arrived),
            gossip_codec.units_between(r.admitted_sum, spent),
        )
        # one of us is new to it: the last request counts, and a start does not fill the store
        if life < 0:
            asked, used = min(asked, self.s.max_request_units), min(used, self.s.max_request_units)
            c.store.lower_to(r.bucket_level + used)
        c.told[peer] = (self.lives[peer], r.arrived_sum, r.admitted_sum)
        if (sketch := self.sketches[c.plan]) is not None:
            gap, c.told_at = self.now - c.told_at, self.now
            c.store.apply_gossip(used, gap)
            c.asked = sketch.decayed_rate(c.asked, max(0.0, asked), gap)
            c.spending = sketch.decayed_rate(c.spending, max(0.0, used), gap)
        c.outs.pop(peer, None)
        if r.in_flight:
            c.outs[peer] = (self.now, r.in_flight)
