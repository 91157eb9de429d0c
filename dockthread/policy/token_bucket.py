"""A customer's store, as one gateway knows it: who took what, and from whom that was heard. Decides
nothing.

Theory of operation. The quota's store is one, and no gateway sees it whole. Each keeps its own
copy: full at first, filled by the plan's rate, less what was let in here and less what the others
let in. The last is heard from two sides that tell of the same units. The others' messages tell sums
by sender, so that what is lost is healed by the next one. The counter tells what is left of the
store itself: its number holds the units used since an epoch's start and those that ran over the
full store, so that the epoch's filling, less the number, is the level, whoever reads it and however
long ago it last did; what went beyond the quota took nothing and is taken back from it. Taken off
once for each side, a customer would pay its use twice. So all that is heard goes through this one
place: a level told only ever lowers the copy, and `lead` is how many units it was lowered by that
the messages have not told yet; what these tell is first set against that. A lead is never more than
the burst, beyond which it says nothing of the store as it is now.

What ran over the full copy before the others' messages came was never there to be taken, and is set
off as well, as far as it can have run over since the last of them.
"""

from __future__ import annotations


class QuotaBucket:
    """Units left of one customer's quota. Times in seconds."""

    __slots__ = ("burst", "counter_lead", "level", "overflow", "rate", "updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level = rate, burst, burst
        self.updated_at = now  # when it was last looked at
        self.overflow = (
            0.0  # units that ran over the full store since the others were last heard of
        )
        self.counter_lead = (
            0.0  # units of the others by the counter that their messages have not told
        )

    def refill(self, now: float) -> None:
        """What came in by the rate up to now."""
        level, self.updated_at = self.level + self.rate * (now - self.updated_at), now
        self.level = min(self.burst, level)
        self.overflow = min(self.burst, self.overflow + level - self.level)

    def take(self, units: float, may_go_negative: bool = False) -> None:
        """Let in here. What goes beyond the quota takes nothing, unless true units are known only
        afterwards.
        """
        self.level = self.level - units if may_go_negative else max(0.0, self.level - units)

    def apply_gossip(self, units: float, since: float) -> None:
        """The others' units by their messages; `since`: s since the last of them."""
        known = min(max(0.0, units), self.counter_lead)
        self.counter_lead -= known
        self._debit(units - known, since)

    def counter_balance(self, room: float, units: float) -> tuple[float, float]:
        """What is left once these units are told, and what the counter's number lacks of what it
        should be: what ran over, or below 0 what went beyond the quota, as that took nothing.
        `room`: what came in since the epoch's start, less the number before these units.
        """
        left = self.burst + min(0.0, room) - units
        return left, max(0.0, room) + min(0.0, left)

    def apply_counter(self, level: float) -> float:
        """What is left by the counter. Returns the units of the others by which the store known
        here was too high.
        """
        units = max(0.0, self.level - max(0.0, level))
        self.counter_lead = min(self.burst, self.counter_lead + units)
        self.level -= units
        return units

    def lower_to(self, level: float) -> None:
        """Another has seen the store emptier, at a time when this gateway knew nothing of it."""
        self.level = max(0.0, min(self.level, level))

    def _debit(self, units: float, since: float) -> None:
        covered = min(max(0.0, units), self.overflow, self.rate * since)
        self.overflow = 0.0
        self.level = max(0.0, self.level - (units - covered))

    def level_at(self, now: float) -> float:
        """The level at a time, nothing taken since."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))
