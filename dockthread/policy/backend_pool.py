"""The pool of listed backends that attempts are drawn from by weight; it decides nothing.

Theory of operation. A backend keeps its slot, in the order of the list, for as long as it is known,
and has the weight 0 while nothing may be sent to it. So a change of the list touches one slot.

A weight changes by itself only while its backend is in slow start or has failures that decay. These
few backends are kept apart and weighed again in each round of maintenance (in turn, where they are
most of a long list); the weights of all others stay as they are.

`random.choices` draws with a binary search in the cumulative weights. These are summed again by a
round of maintenance that changed a weight, and between rounds once there was one change for each
`SLOTS_PER_RESUM` slots: at once in a list of up to that many, where it costs little, and so seldom
in a longer list that the cost per change is the same. Until then a longer list is drawn from by
slightly old weights; whether a backend is ready is always read off the backend itself.
"""

from __future__ import annotations

import random
from array import array
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, Protocol

from dockthread.policy.latency_estimates import DecayRounds
from dockthread.policy.model import BackendState, DeduplicationScope, Endpoint

if TYPE_CHECKING:
    from dockthread.policy.backend import Backend

# Slots for each of which one change makes all cumulative weights be summed again, in some 20 us.
SLOTS_PER_RESUM = 1024
# A failure fraction below this is taken as 0: added to 1 in double precision it changes nothing.
NEGLIGIBLE_FAILURE = 1e-18
# The same in a long list, where a failure is done with after ten half-lives and not after sixty.
NEGLIGIBLE_FAILURE_LONG_LIST = 1e-3
# Backends weighed again in one round of maintenance at the most, which takes some 3 ms.
MAX_WEIGHED_PER_ROUND = 1024
# Ready backends up to which a list is short: all are looked at. Of a longer one a sample is.
SHORT_LIST = 1024
# Backends in a sample of a long list.
SAMPLE_SIZE = SHORT_LIST // 4
# Candidates drawn from a long list at the most: the best of so many is as good as one in 64, and
# each more costs 4 us.
MAX_CANDIDATES = 64
# Draws from a whole pool for candidates that match a filter, before there count as none.
DRAW_ATTEMPTS = 4
# Fraction of slots left vacant by removed backends beyond which the slots are compacted.
MAX_VACANT_FRACTION = 1 / 8


class DrawableBackends(Protocol):
    """Backends that can be drawn by their weights."""

    def __len__(self) -> int:
        """Return how many are ready."""
        ...

    def __iter__(self) -> Iterator[Backend]: ...

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Draw up to `count` backends by their weights, with replacement."""
        ...

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return all backends if they are few, and some drawn evenly if they are many."""
        ...


class BackendSubset:
    """A few ready backends with weights computed once."""

    __slots__ = ("_backends", "_cumulative_weights")

    def __init__(self, backends: list[Backend], weight: Callable[[Backend], float]) -> None:
        self._backends = backends
        self._cumulative_weights = list(accumulate(map(weight, backends)))

    def __len__(self) -> int:
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        return iter(self._backends)

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Draw `count` backends by their weights, with replacement."""
        return rng.choices(self._backends, cum_weights=self._cumulative_weights, k=count)

    def sample(self, _rng: random.Random) -> Iterable[Backend]:
        """Return all backends."""
        return self._backends


class FilteredPool:
    """The backends of a long list whose endpoints match a filter, drawn from the whole list.

    Its length is that of the whole list: of as many candidates drawn from the whole, those that
    match are as many as one would draw from the matching part.
    """

    __slots__ = ("_matches", "_pool")

    def __init__(self, pool: DrawableBackends, matches: Callable[[Endpoint], bool]) -> None:
        self._pool = pool
        self._matches = matches

    def __len__(self) -> int:
        return len(self._pool)

    def __iter__(self) -> Iterator[Backend]:
        return (backend for backend in self._pool if self._matches(backend.endpoint))

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Return the matching ones among `count` drawn from all; none after a few vain draws."""
        for _ in range(DRAW_ATTEMPTS):
            drawn = [
                backend
                for backend in self._pool.draw(rng, count)
                if self._matches(backend.endpoint)
            ]
            if drawn:
                return drawn
        return []

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return the matching ones among a sample of all."""
        return [backend for backend in self._pool.sample(rng) if self._matches(backend.endpoint)]


def _cumulative(weights: array[float]) -> array[float]:
    """Return the cumulative sums; by way of lists, in two thirds of the time of arrays alone."""
    return array("d", list(accumulate(weights.tolist())))


NO_BACKENDS = BackendSubset([], lambda _: 0.0)


class BackendPool:
    """All known backends, with the weights by which the ready ones are drawn.

    Attributes:
        decay_rounds: rounds of maintenance, by which latency estimates decay.
        failing: backends with failures that decay, by number.
        warming_up: ready backends in slow start, by number.
        success_fraction: mean fraction of the ready backends' outcomes that were no failures.
        has_warm_backend: whether a ready backend is past its slow start.
        visits: backends weighed so far, which measures the work of changes and maintenance.
    """

    def __init__(
        self, weight: Callable[[Backend], float], slow_start_weight: Callable[[Backend], float]
    ) -> None:
        """Make an empty pool.

        Args:
            weight: returns the weight by which a ready backend is drawn.
            slow_start_weight: returns a backend's part of it for slow start; 1 once it is warm.
        """
        self._weight = weight
        self._slow_start_weight = slow_start_weight
        self._slots: list[Backend] = []
        self._weights = array("d")  # by slot
        self._cumulative_weights = array("d")  # by slot, as of the last sum
        # All known backends, by zone and cell.
        self._cells: dict[tuple[int, int], dict[int, Backend]] = {}
        # How many ready backends there are, by zone and kind.
        self._ready_by_zone_and_kind: Counter[tuple[int, int]] = Counter()
        self._ready = 0
        self._vacant = 0  # slots of removed backends
        self._changes = 0  # weights that changed since the last sum
        self._is_round_due = False  # whether a round of maintenance went by since the last sum
        self._next_start = 0  # the next to be weighed, where too many change for one round
        self.decay_rounds = DecayRounds()
        self.failing: dict[int, Backend] = {}
        self.warming_up: dict[int, Backend] = {}
        self.success_fraction = 1.0
        self.has_warm_backend = False
        self.visits = 0

    def __len__(self) -> int:
        return self._ready

    def __iter__(self) -> Iterator[Backend]:
        return (backend for backend in self._slots if backend.is_ready)

    @property
    def total_weight(self) -> float:
        """The weights of all ready backends, as of the last sum."""
        return self._cumulative_weights[-1] if self._cumulative_weights else 0.0

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Draw backends by their weights as of the last sum, with replacement.

        Of a long list `MAX_CANDIDATES` are drawn at the most; none are where all weights are 0.
        """
        if not self._cumulative_weights or not self._cumulative_weights[-1]:
            return []
        if self._ready > SHORT_LIST:
            count = min(count, MAX_CANDIDATES)
        return rng.choices(self._slots, cum_weights=self._cumulative_weights, k=count)

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return all ready backends of a short list, and some of a long one, drawn evenly."""
        if self._ready <= SHORT_LIST:
            return iter(self)
        drawn = rng.choices(self._slots, k=SAMPLE_SIZE)
        return (backend for backend in drawn if backend.is_ready)

    def in_scope(self, home: Endpoint, scope: DeduplicationScope) -> DrawableBackends:
        """Return the backends that share a deduplication scope with the endpoint `home`."""
        if scope is DeduplicationScope.ALL:
            return self
        if scope is DeduplicationScope.CELL:
            cell = self._cells.get((home.zone, home.cell), {})
            ready = (backend for backend in cell.values() if backend.is_ready)
            return BackendSubset(sorted(ready, key=lambda backend: backend.slot), self._weight)
        zone = home.zone
        return FilteredPool(self, lambda endpoint: endpoint.zone == zone)

    def filtered(self, matches: Callable[[Endpoint], bool]) -> DrawableBackends | None:
        """Return the ready backends whose zone and kind match; None where there is none.

        Args:
            matches: a filter that looks at an endpoint's zone and kind only.
        """
        if self._ready <= SHORT_LIST:
            matching = [backend for backend in self if matches(backend.endpoint)]
            return BackendSubset(matching, self._weight) if matching else None
        examples = (
            Endpoint(0, BackendState.READY, *zone_and_kind)
            for zone_and_kind, count in self._ready_by_zone_and_kind.items()
            if count
        )
        return FilteredPool(self, matches) if any(map(matches, examples)) else None

    def add(self, backend: Backend) -> None:
        """Add a backend that was not known before, with the weight 0."""
        backend.slot = len(self._slots)
        self._slots.append(backend)
        self._weights.append(0.0)
        last_sum = self._cumulative_weights[-1] if self._cumulative_weights else 0.0
        self._cumulative_weights.append(last_sum)
        endpoint = backend.endpoint
        self._cells.setdefault((endpoint.zone, endpoint.cell), {})[endpoint.backend] = backend

    def remove(self, backend: Backend) -> None:
        """Remove a backend that is not ready; its slot stays vacant until slots are compacted."""
        self.failing.pop(backend.endpoint.backend, None)
        self._remove_from_cell(backend)
        self._vacant += 1
        backend.slot = -1

    def update(self, backend: Backend, endpoint: Endpoint, ready: bool) -> None:
        """Take over what is listed of a backend, and whether it may be drawn from now on."""
        old = backend.endpoint
        self._ready_by_zone_and_kind[old.zone, old.kind] -= backend.is_ready
        self._ready_by_zone_and_kind[endpoint.zone, endpoint.kind] += ready
        self._ready += ready - backend.is_ready
        if (old.zone, old.cell) != (endpoint.zone, endpoint.cell):
            self._remove_from_cell(backend)
            self._cells.setdefault((endpoint.zone, endpoint.cell), {})[endpoint.backend] = backend
        backend.endpoint = endpoint
        backend.is_ready = ready
        self._weigh(backend)

    def _remove_from_cell(self, backend: Backend) -> None:
        key = backend.endpoint.zone, backend.endpoint.cell
        del self._cells[key][backend.endpoint.backend]
        if not self._cells[key]:
            del self._cells[key]

    def decay(self, failures: float, latencies: float) -> None:
        """Begin a round of maintenance, in which failures and latency samples lose weight.

        Args:
            failures: the fraction of each failure that is left after the round.
            latencies: the fraction of each latency sample's weight that is left after it.
        """
        self._is_round_due = True
        self.decay_rounds.advance(latencies)
        is_short = len(self._slots) <= SHORT_LIST
        negligible = NEGLIGIBLE_FAILURE if is_short else NEGLIGIBLE_FAILURE_LONG_LIST
        for backend in self.failing.values():
            backend.decay_failures(failures, negligible)

    def refresh(self) -> None:
        """Weigh changing backends and sum all weights, if a round or enough changes are due."""
        slots_in_use = len(self._slots) - self._vacant
        if not self._is_round_due and (self._changes + 1) * SLOTS_PER_RESUM <= slots_in_use:
            return
        self._is_round_due = False
        if self._vacant > len(self._slots) * MAX_VACANT_FRACTION:
            self._compact_slots()
        for backend in self._changing():
            self._weigh(backend)
        if self._changes:
            self._changes = 0
            self._cumulative_weights = _cumulative(self._weights)
        failed = sum(
            backend.failure_fraction for backend in self.failing.values() if backend.is_ready
        )
        self.success_fraction = (self._ready - failed) / max(1, self._ready)
        self.has_warm_backend = self._ready > len(self.warming_up)

    def _changing(self) -> list[Backend]:
        """Return the backends whose weights change by themselves; the next ones, if too many."""
        changing = list(self.failing.values())
        changing += [
            backend for number, backend in self.warming_up.items() if number not in self.failing
        ]
        if len(changing) <= MAX_WEIGHED_PER_ROUND:
            return changing
        start = self._next_start % len(changing)
        self._next_start = start + MAX_WEIGHED_PER_ROUND
        wrapped = changing + changing[:MAX_WEIGHED_PER_ROUND]
        return wrapped[start : start + MAX_WEIGHED_PER_ROUND]

    def _weigh(self, backend: Backend) -> None:
        """Set a backend's weight, and drop it from those that are weighed again if it is steady."""
        self.visits += 1
        number = backend.endpoint.backend
        weight = self._weight(backend) if backend.is_ready else 0.0
        if backend.is_ready and self._slow_start_weight(backend) < 1.0:
            self.warming_up[number] = backend
        else:
            self.warming_up.pop(number, None)
        if not backend.failure_fraction:
            self.failing.pop(number, None)
        if weight != self._weights[backend.slot]:
            self._weights[backend.slot] = weight
            self._changes += 1

    def _compact_slots(self) -> None:
        """Close the gaps that removed backends left, keeping the order."""
        self._slots = [backend for backend in self._slots if backend.slot >= 0]
        self._weights = array("d", [self._weights[backend.slot] for backend in self._slots])
        for slot, backend in enumerate(self._slots):
            backend.slot = slot
        self._vacant = 0
        self._cumulative_weights = _cumulative(self._weights)
