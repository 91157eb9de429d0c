"""A customer's store, as one gateway knows it: who took what, and from whom that was heard. Decides nothing.

Theory of operation. The quota's store is one, and no gateway sees it whole. Each keeps its own copy: full at first,
filled by the plan's rate, less what was let in here and less what the others let in. The last is heard from two
sides that tell of the same units: from the others' messages (sums by sender, so that what is lost is healed by the
next one), and from the totals of the counter. Taken off once for each side, a customer would pay its use twice. So
all that is heard goes through this one place. `lead` is how many units the messages told that the counter has not
told yet (below 0: the other way); what one side tells is first set against what the other was ahead by, and only the
rest is taken off the store. That is the greater of the two sums, by increments: neither side can tell of more than
was let in. A lead is never more than the burst, beyond which it says nothing of the store as it is now.

What ran over the full store before the others' use was heard of was never there to be taken, and is set off as well,
as far as it can have run over since the last word.
"""

from __future__ import annotations


class Store:
    """Units left of one customer's quota. Times in seconds."""

    __slots__ = ("at", "burst", "lead", "level", "over", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level = rate, burst, burst
        self.at = now  # when it was last looked at
        self.over = 0.0  # units that ran over the full store since the others were last heard of
        self.lead = 0.0  # units of the others by their messages, less those by the counter

    def fill(self, now: float) -> None:
        level, self.at = self.level + self.rate * (now - self.at), now
        self.level = min(self.burst, level)
        self.over = min(self.burst, self.over + level - self.level)

    def take(self, units: float, below: bool = False) -> None:
        """Let in here. What goes beyond the quota takes nothing, unless true units are known only afterwards."""
        self.level = self.level - units if below else max(0.0, self.level - units)

    def messages_told(self, units: float, since: float) -> None:
        """The others' units by their messages; `since`: s since the last of them."""
        known = min(units, max(0.0, -self.lead))
        self.lead = min(self.burst, self.lead + units)
        self._debit(units - known, since)

    def counter_told(self, units: float, since: float) -> None:
        """The others' units by the counter's total, since its last one `since` s ago."""
        known = min(units, max(0.0, self.lead))
        self.lead = max(-self.burst, self.lead - units)
        self._debit(units - known, since)

    def agree(self) -> None:
        """The counter spoke again after messages told all: what both tell counts from here on."""
        self.lead = 0.0

    def at_most(self, level: float) -> None:
        """Another has seen the store emptier, at a time when this gateway knew nothing of it."""
        self.level = max(0.0, min(self.level, level))

    def _debit(self, units: float, since: float) -> None:
        covered = min(max(0.0, units), self.over, self.rate * since)
        self.over = 0.0
        self.level = max(0.0, self.level - (units - covered))

    def left(self, now: float) -> float:
        return min(self.burst, self.level + self.rate * (now - self.at))
