"""One ingress's copy of the token bucket of a customer's quota.

Theory of operation. A quota is one token bucket for all ingresses together, and no ingress sees all
units that are taken from it. Each ingress keeps a copy, which starts full and is refilled at the
plan's rate. The units admitted by this ingress and by the other ingresses are subtracted. Two
sources report the usage of the other ingresses, and both report the same units:

* Gossip messages of the other ingresses carry sums by sender, so that a later message makes up for
  a lost one.
* The shared counter holds the units used since the start of an epoch plus the units that overflowed
  the full bucket. The refill since the start of the epoch minus that total therefore gives the
  level, whichever ingress reads the total and however long ago it last did. Usage beyond the quota
  takes nothing from the bucket, so a negative correction removes it from the total.

If both were subtracted, a customer would be charged twice for its usage. So both are applied by
this class. A level from the counter can only lower the copy. `counter_lead` is the number of units
that the counter has already subtracted from the copy and gossip has not reported yet. Usage
reported by gossip reduces the lead before it is subtracted from the copy. The lead is limited to
the burst, because older usage no longer affects the level of the bucket.

If the copy is full while the other ingresses take units, it discards refill that the shared bucket
would have kept. So the discarded refill is subtracted from the usage that gossip reports, up to the
refill since the last message.
"""

from __future__ import annotations


class QuotaBucket:
    """The token bucket of one customer's quota; times are in seconds, amounts in units.

    Attributes:
        rate: refill rate, in units per second.
        burst: the level of the full bucket.
        level: units left as of `updated_at`; it may be below 0 after actual units were charged.
        updated_at: time at which the bucket was last refilled.
        overflow: units that overflowed the full bucket since the last gossip of other ingresses.
        counter_lead: usage of other ingresses reported by the counter and not yet by gossip.
    """

    __slots__ = ("burst", "counter_lead", "level", "overflow", "rate", "updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = now
        self.overflow = 0.0
        self.counter_lead = 0.0

    def refill(self, now: float) -> None:
        """Add the units that accrued since the last refill."""
        level = self.level + self.rate * (now - self.updated_at)
        self.updated_at = now
        self.level = min(self.burst, level)
        self.overflow = min(self.burst, self.overflow + level - self.level)

    def take(self, units: float, may_go_negative: bool = False) -> None:
        """Take the units of an admitted request.

        Args:
            units: the units admitted here.
            may_go_negative: whether units beyond the level make it negative, as when the actual
                units of a request are charged after it has run. Otherwise the level stops at 0.
        """
        self.level = self.level - units if may_go_negative else max(0.0, self.level - units)

    def apply_gossip(self, units: float, elapsed: float) -> None:
        """Take the units that other ingresses reported by gossip.

        Args:
            units: the units used since the last message; a negative number counts as 0.
            elapsed: time since the last message, s.
        """
        already_taken = min(max(0.0, units), self.counter_lead)
        self.counter_lead -= already_taken
        self._take_reported_units(units - already_taken, elapsed)

    def level_and_correction(self, unused_refill: float, units: float) -> tuple[float, float]:
        """Compute the level according to the shared counter, and the correction of its total.

        Args:
            unused_refill: the refill since the start of the epoch, minus the total before `units`.
            units: the units that are added to the total now.

        Returns:
            The level after these units, and the correction that the total needs. A positive
            correction is the units that overflowed; a negative one is the usage beyond the quota,
            which takes nothing from the bucket.
        """
        level = self.burst + min(0.0, unused_refill) - units
        return level, max(0.0, unused_refill) + min(0.0, level)

    def apply_counter(self, level: float) -> float:
        """Lower the level to the one according to the shared counter.

        Returns:
            The units by which the level was lowered, which other ingresses have used.
        """
        units = max(0.0, self.level - max(0.0, level))
        self.counter_lead = min(self.burst, self.counter_lead + units)
        self.level -= units
        return units

    def lower_to_level(self, level: float) -> None:
        """Lower the level to the one at a peer, which has known the customer for longer."""
        self.level = max(0.0, min(self.level, level))

    def _take_reported_units(self, units: float, elapsed: float) -> None:
        """Take reported units, minus the units that overflowed in the `elapsed` seconds."""
        covered_by_overflow = min(max(0.0, units), self.overflow, self.rate * elapsed)
        self.overflow = 0.0
        self.level = max(0.0, self.level - (units - covered_by_overflow))

    def level_at(self, now: float) -> float:
        """Return the level at a later time if no units are taken until then."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))
