"""The token bucket of one customer's quota, as one ingress knows it; it decides nothing.

Theory of operation. A quota is one token bucket for all ingresses together, and no ingress sees all
that is taken from it. Each keeps a copy: full at first, refilled at the plan's rate, less what was
admitted here and less what the other ingresses admitted. The latter is learnt from two sources
which tell of the same units:

* Gossip of the other ingresses carries sums by sender, so that a later message makes up for a lost
  one.
* The shared counter holds the units used since the start of an epoch and those that overflowed the
  full bucket. The refill of the epoch less that total is therefore the level, whoever reads it and
  however long ago it last did. Usage beyond the quota took nothing, and is taken back from the
  total.

If both were subtracted, a customer would pay twice for its usage. So both go through this class. A
level by the counter only ever lowers the copy, and `counter_lead` is by how many units it did so
that gossip has not reported yet; usage reported by gossip is first set against that. The lead is
never more than the burst, beyond which it says nothing about the bucket as it is now.

Tokens that overflowed the full copy before the others' gossip arrived were never there to be taken.
They are set against the reported usage as well, as far as they can have overflowed since the last
message.
"""

from __future__ import annotations


class QuotaBucket:
    """The token bucket of one customer's quota; times are in seconds, amounts in units.

    Attributes:
        rate: refill, in units per second.
        burst: the level of the full bucket.
        level: units left as of `updated_at`; below 0 after a settlement with the actual units.
        updated_at: when the bucket was refilled last.
        overflow: units that overflowed the full bucket since the last gossip of other ingresses.
        counter_lead: usage of other ingresses known by the counter and not yet by gossip.
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
        """Add what has come in at the rate since the last refill."""
        level = self.level + self.rate * (now - self.updated_at)
        self.updated_at = now
        self.level = min(self.burst, level)
        self.overflow = min(self.burst, self.overflow + level - self.level)

    def take(self, units: float, may_go_negative: bool = False) -> None:
        """Take the units of an admitted request.

        Args:
            units: the units admitted here.
            may_go_negative: whether units beyond the level are owed, as where the actual units
                are known only after the request; otherwise these take nothing.
        """
        self.level = self.level - units if may_go_negative else max(0.0, self.level - units)

    def apply_gossip(self, units: float, since: float) -> None:
        """Take the units that other ingresses reported by gossip.

        Args:
            units: the units reported since the last message; below 0 counts as 0.
            since: s since that message.
        """
        known = min(max(0.0, units), self.counter_lead)
        self.counter_lead -= known
        self._take_reported(units - known, since)

    def counter_balance(self, unused: float, units: float) -> tuple[float, float]:
        """Work out the level by the shared counter, and what the counter's total lacks.

        Args:
            unused: the refill since the start of the epoch, less the total before these units.
            units: the units that are added to the total now.

        Returns:
            The level after these units; and the correction that the total needs: the units that
            overflowed, or, below 0, those beyond the quota, as these took nothing.
        """
        level = self.burst + min(0.0, unused) - units
        return level, max(0.0, unused) + min(0.0, level)

    def apply_counter(self, level: float) -> float:
        """Lower the level to the one by the shared counter.

        Returns:
            The units of other ingresses by which the level was too high.
        """
        units = max(0.0, self.level - max(0.0, level))
        self.counter_lead = min(self.burst, self.counter_lead + units)
        self.level -= units
        return units

    def lower_to(self, level: float) -> None:
        """Lower the level to one that a peer saw while this ingress knew nothing of the bucket."""
        self.level = max(0.0, min(self.level, level))

    def _take_reported(self, units: float, since: float) -> None:
        """Take reported units, less those that the overflow of the time since covers."""
        covered = min(max(0.0, units), self.overflow, self.rate * since)
        self.overflow = 0.0
        self.level = max(0.0, self.level - (units - covered))

    def level_at(self, now: float) -> float:
        """Return the level at a time, if nothing is taken until then."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))
