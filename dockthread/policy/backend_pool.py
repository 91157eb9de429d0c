"""The pool of listed backends, from which attempts draw a backend by weight.

Theory of operation. Each known backend has a slot, in the order of the endpoint list, and has the
weight 0 while nothing may be sent to it. So a change to one listed backend changes only one slot.

A weight changes without a change to the list only while its backend is in slow start or has
failures that decay. These few backends are tracked separately and weighed again in each maintenance
round. If there are too many for one round, they are weighed in turn.

`random.choices` draws with a binary search in the cumulative weights. A maintenance round that
changed a weight sums them again. Between rounds they are summed again after one change for each
`SLOTS_PER_SUMMATION` slots. In a list of up to that many slots this is after every change, which is
cheap. In a longer list it happens less often, which keeps the cost per change constant. Meanwhile
the draws from a longer list use slightly outdated weights; whether a backend is ready is always
read from the backend itself.
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

# The cumulative weights are summed again after one change for each 1024 slots. Summing 1024 slots
# takes about 20 us.
SLOTS_PER_SUMMATION = 1024
# A smaller failure fraction is set to 0: added to 1 in double precision it has no effect.
NEGLIGIBLE_FAILURE = 1e-18
# The same limit in a long list, so that a failure is dropped after ten half-lives and not sixty.
NEGLIGIBLE_FAILURE_LONG_LIST = 1e-3
# Maximum number of backends weighed again in one maintenance round, which takes about 3 ms.
MAX_WEIGHT_UPDATES_PER_ROUND = 1024
# A list of up to this many ready backends is short and is scanned whole; a longer list is sampled.
MAX_SHORT_LIST = 1024
# Number of backends in a sample of a long list.
SAMPLE_SIZE = MAX_SHORT_LIST // 4
# Maximum number of candidates drawn from a long list: the best of these is on average in the best
# 1 in 64 of the list, and each further candidate costs 4 us.
MAX_CANDIDATES = 64
# Number of draws from a whole pool after which a filter counts as matching no backend.
MAX_FILTERED_DRAWS = 4
# Slots are compacted when removed backends have left more than this fraction of them vacant.
MAX_VACANT_FRACTION = 1 / 8


class DrawableBackends(Protocol):
    """Backends that can be drawn by their weights."""

    def __len__(self) -> int:
        """Return the number of ready backends."""
        ...

    def __iter__(self) -> Iterator[Backend]: ...

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Draw up to `count` backends by their weights, with replacement."""
        ...

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return all backends if they are few, otherwise a uniform sample of them."""
        ...


class BackendSubset:
    """A few ready backends, whose weights are computed once."""

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

    Its length is that of the whole list. The number of candidates to draw is proportional to the
    length, and on average as many of them match as would be drawn from the matching backends alone.
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
        """Draw `count` backends and return the matching ones; repeat a few times if none match."""
        for _ in range(MAX_FILTERED_DRAWS):
            drawn_backends = [
                backend
                for backend in self._pool.draw(rng, count)
                if self._matches(backend.endpoint)
            ]
            if drawn_backends:
                return drawn_backends
        return []

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return the matching backends in a sample of the whole list."""
        return [backend for backend in self._pool.sample(rng) if self._matches(backend.endpoint)]


def _cumulative(weights: array[float]) -> array[float]:
    """Return the cumulative sums.

    Converting to lists and back takes two thirds of the time of summing arrays directly.
    """
    return array("d", list(accumulate(weights.tolist())))


NO_BACKENDS = BackendSubset([], lambda _: 0.0)


class BackendPool:
    """All known backends, with the weights by which the ready ones are drawn.

    Attributes:
        decay_rounds: counts the maintenance rounds, by which latency estimates decay.
        failing: backends with failures that decay, by number.
        warming_up: ready backends in slow start, by number.
        success_fraction: mean fraction of the ready backends' outcomes that were not failures.
        has_warm_backend: whether at least one ready backend has finished its slow start.
        weight_updates: number of weight computations, which measures the cost of updates.
    """

    def __init__(
        self, weight: Callable[[Backend], float], slow_start_weight: Callable[[Backend], float]
    ) -> None:
        """Create an empty pool.

        Args:
            weight: returns the weight by which a ready backend is drawn.
            slow_start_weight: returns the factor of that weight for slow start; 1 for a warm
                backend.
        """
        self._weight = weight
        self._slow_start_weight = slow_start_weight
        self._slots: list[Backend] = []
        self._weights = array("d")  # by slot
        self._cumulative_weights = array("d")  # by slot, as of the last summation
        # All known backends, by zone and cell.
        self._cells: dict[tuple[int, int], dict[int, Backend]] = {}
        # Number of ready backends, by zone and kind.
        self._ready_by_zone_and_kind: Counter[tuple[int, int]] = Counter()
        self._ready_count = 0
        self._vacant_slots = 0  # number of slots of removed backends
        self._weight_changes = 0  # number of weight changes since the last summation
        self._is_round_due = False  # whether a maintenance round began since the last refresh
        # The next index to be weighed, if too many weights change for one round.
        self._next_weighed_index = 0
        self.decay_rounds = DecayRounds()
        self.failing: dict[int, Backend] = {}
        self.warming_up: dict[int, Backend] = {}
        self.success_fraction = 1.0
        self.has_warm_backend = False
        self.weight_updates = 0

    def __len__(self) -> int:
        return self._ready_count

    def __iter__(self) -> Iterator[Backend]:
        return (backend for backend in self._slots if backend.is_ready)

    @property
    def total_weight(self) -> float:
        """The sum of the weights of all ready backends, as of the last summation."""
        return self._cumulative_weights[-1] if self._cumulative_weights else 0.0

    def draw(self, rng: random.Random, count: int) -> list[Backend]:
        """Draw backends by their weights as of the last summation, with replacement.

        From a long list at most `MAX_CANDIDATES` are drawn. If all weights are 0, none are drawn.
        """
        if not self._cumulative_weights or not self._cumulative_weights[-1]:
            return []
        if self._ready_count > MAX_SHORT_LIST:
            count = min(count, MAX_CANDIDATES)
        return rng.choices(self._slots, cum_weights=self._cumulative_weights, k=count)

    def sample(self, rng: random.Random) -> Iterable[Backend]:
        """Return all ready backends of a short list, or a uniform sample of a long list."""
        if self._ready_count <= MAX_SHORT_LIST:
            return iter(self)
        drawn_backends = rng.choices(self._slots, k=SAMPLE_SIZE)
        return (backend for backend in drawn_backends if backend.is_ready)

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
        """Return the ready backends whose zone and kind match; None if there are none.

        Args:
            matches: a filter that depends only on an endpoint's zone and kind.
        """
        if self._ready_count <= MAX_SHORT_LIST:
            matching_backends = [backend for backend in self if matches(backend.endpoint)]
            return BackendSubset(matching_backends, self._weight) if matching_backends else None
        examples = (
            Endpoint(0, BackendState.READY, *zone_and_kind)
            for zone_and_kind, count in self._ready_by_zone_and_kind.items()
            if count
        )
        return FilteredPool(self, matches) if any(map(matches, examples)) else None

    def add(self, backend: Backend) -> None:
        """Add a new backend with the weight 0."""
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
        self._vacant_slots += 1
        backend.slot = -1

    def update(self, backend: Backend, endpoint: Endpoint, ready: bool) -> None:
        """Update a backend with its listed entry and with whether it is ready."""
        old = backend.endpoint
        self._ready_by_zone_and_kind[old.zone, old.kind] -= backend.is_ready
        self._ready_by_zone_and_kind[endpoint.zone, endpoint.kind] += ready
        self._ready_count += ready - backend.is_ready
        if (old.zone, old.cell) != (endpoint.zone, endpoint.cell):
            self._remove_from_cell(backend)
            self._cells.setdefault((endpoint.zone, endpoint.cell), {})[endpoint.backend] = backend
        backend.endpoint = endpoint
        backend.is_ready = ready
        self._update_weight(backend)

    def _remove_from_cell(self, backend: Backend) -> None:
        key = backend.endpoint.zone, backend.endpoint.cell
        del self._cells[key][backend.endpoint.backend]
        if not self._cells[key]:
            del self._cells[key]

    def decay(self, failures: float, latencies: float) -> None:
        """Begin a maintenance round, in which failures and latency samples lose weight.

        Args:
            failures: the fraction of each backend's failure fraction that remains.
            latencies: the fraction of each latency sample's weight that remains.
        """
        self._is_round_due = True
        self.decay_rounds.advance(latencies)
        is_short = len(self._slots) <= MAX_SHORT_LIST
        negligible = NEGLIGIBLE_FAILURE if is_short else NEGLIGIBLE_FAILURE_LONG_LIST
        for backend in self.failing.values():
            backend.decay_failures(failures, negligible)

    def refresh(self) -> None:
        """Update the weights and their sums after a maintenance round or enough changes."""
        slots_in_use = len(self._slots) - self._vacant_slots
        if (
            not self._is_round_due
            and (self._weight_changes + 1) * SLOTS_PER_SUMMATION <= slots_in_use
        ):
            return
        self._is_round_due = False
        if self._vacant_slots > len(self._slots) * MAX_VACANT_FRACTION:
            self._compact_slots()
        for backend in self._next_to_weigh():
            self._update_weight(backend)
        if self._weight_changes:
            self._weight_changes = 0
            self._cumulative_weights = _cumulative(self._weights)
        failure_fraction_sum = sum(
            backend.failure_fraction for backend in self.failing.values() if backend.is_ready
        )
        self.success_fraction = (self._ready_count - failure_fraction_sum) / max(
            1, self._ready_count
        )
        self.has_warm_backend = self._ready_count > len(self.warming_up)

    def _next_to_weigh(self) -> list[Backend]:
        """Return the backends whose weights change over time, or the next ones if too many."""
        changing_backends = list(self.failing.values())
        changing_backends += [
            backend for number, backend in self.warming_up.items() if number not in self.failing
        ]
        if len(changing_backends) <= MAX_WEIGHT_UPDATES_PER_ROUND:
            return changing_backends
        start = self._next_weighed_index % len(changing_backends)
        self._next_weighed_index = start + MAX_WEIGHT_UPDATES_PER_ROUND
        rotated_backends = changing_backends + changing_backends[:MAX_WEIGHT_UPDATES_PER_ROUND]
        return rotated_backends[start : start + MAX_WEIGHT_UPDATES_PER_ROUND]

    def _update_weight(self, backend: Backend) -> None:
        """Recompute a backend's weight, and whether it has to be weighed again each round."""
        self.weight_updates += 1
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
            self._weight_changes += 1

    def _compact_slots(self) -> None:
        """Remove the slots of removed backends; the other backends keep their order."""
        self._slots = [backend for backend in self._slots if backend.slot >= 0]
        self._weights = array("d", [self._weights[backend.slot] for backend in self._slots])
        for slot, backend in enumerate(self._slots):
            backend.slot = slot
        self._vacant_slots = 0
        self._cumulative_weights = _cumulative(self._weights)
