"""Size limit and order of the queue of reports."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockthread.telemetry.delivery_queue import DeliveryQueue
from tests.telemetry.samples import report


@given(st.lists(st.integers(1, 400), max_size=60))
def test_queue_is_bounded_and_ordered_and_keeps_the_newest_report(sizes: list[int]) -> None:
    delivery_queue = DeliveryQueue(1000)
    for number, size in enumerate(sizes):
        delivery_queue.enqueue(report(float(number), size))
        waiting = list(delivery_queue._waiting)
        assert delivery_queue.size == sum(waiting_report.size for waiting_report in waiting) <= 1000
        assert [waiting_report.unix_seconds for waiting_report in waiting] == sorted(
            waiting_report.unix_seconds for waiting_report in waiting
        )
        assert waiting[-1].unix_seconds == number
        assert len(waiting) + delivery_queue.dropped == number + 1


def test_every_second_report_of_the_older_half_is_dropped_first() -> None:
    delivery_queue = DeliveryQueue(800)
    for number in range(9):
        delivery_queue.enqueue(report(float(number)))
    assert [waiting_report.unix_seconds for waiting_report in delivery_queue._waiting] == [
        1,
        2,
        3,
        4,
        5,
        6,
        7,
        8,
    ]
    for number in range(9, 12):
        delivery_queue.enqueue(report(float(number)))
    assert [waiting_report.unix_seconds for waiting_report in delivery_queue._waiting] == [
        4,
        5,
        6,
        7,
        8,
        9,
        10,
        11,
    ]


def test_the_last_delivered_reports_are_queued_again_in_order() -> None:
    delivery_queue = DeliveryQueue(10_000)
    for number in range(4):
        delivery_queue.enqueue(report(float(number)))
    for _ in range(3):
        oldest = delivery_queue.peek()
        assert oldest is not None
        delivery_queue.mark_delivered(oldest)
    delivery_queue.requeue_delivered()
    assert [waiting_report.unix_seconds for waiting_report in delivery_queue._waiting] == [1, 2, 3]
    assert delivery_queue.size == 300
