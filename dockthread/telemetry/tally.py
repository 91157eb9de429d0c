"""The sums of one life. Adding is all that happens on a request's path; reading them is
`reading`'s.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

from ddsketch import LogCollapsingLowestDenseDDSketch

from dockthread.observer import OUTCOMES, REJECTED, SERVED, Observer
from dockthread.policy import Outcome, RequestClass
from dockthread.telemetry.busiest import REFUSED as FIRM_REFUSED
from dockthread.telemetry.busiest import SENT_ON, Busiest
from dockthread.telemetry.catalogue import TIME_STEPS

ACCURACY, BINS = 0.01, 512  # of the sketches of times: relative error, and bins at most
FOLD = 64  # times that wait to be folded
PLACES = 8  # in the table of firms, for each that is reported
MOST_REASONS = 32  # by class, plan and outcome; a word beyond these is counted as `other`


class Times:
    """Times of one kind over one interval, and their steps over the life; in milliseconds.

    They wait in a short list, and are folded into sketch and steps `FOLD` at once.
    """

    __slots__ = ("_longest", "_pending", "_sketch", "_steps", "_sum")

    def __init__(self) -> None:
        self._steps = [0] * (len(TIME_STEPS) + 1)
        self._sum = 0.0
        self._pending: list[float] = []
        self.begin()

    def begin(self) -> None:
        """A new interval."""
        self.fold()
        self._sketch = LogCollapsingLowestDenseDDSketch(ACCURACY, BINS)
        self._longest = 0.0

    def add(self, duration_ms: float) -> None:
        self._pending.append(duration_ms)
        if len(self._pending) >= FOLD:
            self.fold()

    def fold(self) -> None:
        pending, steps = self._pending, self._steps
        if not pending:
            return
        add = self._sketch.add
        for duration_ms in pending:
            add(duration_ms)
            steps[bisect_left(TIME_STEPS, duration_ms)] += 1
        self._sum += sum(pending)
        self._longest = max(self._longest, *pending)
        pending.clear()

    def quantile(self, part: float) -> float:
        """0 where nothing was added."""
        self.fold()
        return min(float(self._sketch.get_quantile_value(part) or 0.0), self._longest)

    @property
    def longest(self) -> float:
        self.fold()
        return self._longest

    @property
    def sum(self) -> float:
        """Over the life."""
        self.fold()
        return self._sum

    @property
    def steps(self) -> list[int]:
        """By the upper ends in `TIME_STEPS`, and beyond, over the life."""
        self.fold()
        return self._steps


class Tally(Observer):
    """All counts by the module's numbers for classes and plans."""

    active = True

    def __init__(self, classes: tuple[RequestClass, ...], plans: int, firms: int) -> None:
        self.aims = [c.latency_objective * 1000.0 for c in classes]
        pairs = [(c, p) for c in range(len(classes)) for p in range(plans)]
        self.answers = {(c, p, outcome): 0 for c, p in pairs for outcome in OUTCOMES}
        self.gone_away = dict.fromkeys(pairs, 0)
        self.why: Counter[tuple[int, int, str, str]] = Counter()
        self.late = [0] * len(classes)
        self.times = [Times() for _ in classes]
        self.asked, self.units_on, self.units_refused = ([0.0] * plans for _ in range(3))
        self.ended: Counter[Outcome] = Counter()
        self.counter: Counter[Outcome] = Counter()
        self.counter_times = Times()
        self.loop_times = Times()
        self.muted = 0.0
        self._firms = firms
        self.busiest = Busiest(firms * PLACES)
        self._pending: list[tuple[int, int, int, str, str, float, float, bool]] = []
        self.noted: Callable[[str], None] = lambda name: None

    def begin(self) -> None:
        """A new interval: what holds for one only starts again."""
        self.fold()
        for times in (*self.times, self.counter_times, self.loop_times):
            times.begin()
        self.busiest = Busiest(self._firms * PLACES)

    def request_completed(
        self,
        request_class: int,
        plan: int,
        customer: int,
        outcome: str,
        reason: str,
        duration_ms: float,
        units: float,
        was_forwarded: bool,
    ) -> None:
        self._pending.append(
            (request_class, plan, customer, outcome, reason, duration_ms, units, was_forwarded)
        )
        if len(self._pending) >= FOLD:
            self.fold()

    def fold(self) -> None:
        """Add up the answers that wait: in one warm loop each costs a third of what it costs
        alone.
        """
        answers, late, times, aims = self.answers, self.late, self.times, self.aims
        for (
            request_class,
            plan,
            customer,
            outcome,
            reason,
            duration_ms,
            units,
            was_forwarded,
        ) in self._pending:
            answers[request_class, plan, outcome] += 1
            self._units(plan, customer, units, was_forwarded)
            if outcome == SERVED:
                times[request_class].add(duration_ms)
                late[request_class] += duration_ms > aims[request_class]
            else:
                self._unserved(request_class, plan, customer, outcome, reason, units)
        self._pending.clear()

    def _unserved(
        self, request_class: int, plan: int, customer: int, outcome: str, reason: str, units: float
    ) -> None:
        key = (request_class, plan, outcome, reason)
        if key not in self.why and len(self.why) >= MOST_REASONS * len(self.answers):
            key = (request_class, plan, outcome, "other")
        self.why[key] += 1
        if outcome == REJECTED:
            self.units_refused[plan] += units
            self.busiest.add(FIRM_REFUSED, plan, customer, units)

    def _units(self, plan: int, customer: int, units: float, was_forwarded: bool) -> None:
        self.asked[plan] += units
        if self._firms:
            self.busiest.ask(plan, customer, units)
        if was_forwarded:
            self.units_on[plan] += units
            self.busiest.add(SENT_ON, plan, customer, units)

    def client_disconnected(
        self, request_class: int, plan: int, customer: int, units: float, was_forwarded: bool
    ) -> None:
        self.gone_away[request_class, plan] += 1
        self._units(plan, customer, units, was_forwarded)

    def attempt_ended(self, outcome: Outcome) -> None:
        self.ended[outcome] += 1

    def counter_call_ended(self, outcome: Outcome, duration_ms: float) -> None:
        self.counter[outcome] += 1
        self.counter_times.add(duration_ms)

    def phase(self, name: str) -> None:
        self.noted(name)
