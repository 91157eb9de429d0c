"""The queue of requests that wait for admission under a concurrency limit."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from dockthread.routes.wait_queue import WaitQueue


@given(st.lists(st.tuples(st.integers(1, 5), st.booleans()), max_size=60), st.integers(0, 6))
def test_a_queue_is_bounded_and_returns_the_greatest_weight_first(
    weights_and_removals: list[tuple[int, bool]], max_length: int
) -> None:
    queue = WaitQueue(max_length)
    waiting: dict[int, int] = {}
    for request, (weight, is_removed) in enumerate(weights_and_removals):
        rejected = queue.put(request, float(weight))
        waiting[request] = weight
        if rejected is not None:
            assert waiting[rejected] == min(waiting.values()), (
                "a request with the least weight is rejected"
            )
            del waiting[rejected]
        if is_removed and waiting:
            queue.remove(request)
            waiting.pop(request, None)
        assert len(queue) == len(waiting) <= max_length
    popped = []
    while (popped_request := queue.pop()) is not None:
        popped.append(popped_request)
    assert sorted(popped) == sorted(waiting)
    assert all(
        (waiting[first], -first) >= (waiting[second], -second) for first, second in pairwise(popped)
    )
