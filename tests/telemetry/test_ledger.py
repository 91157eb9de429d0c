"""Totals over several telemetry incarnations."""

from __future__ import annotations

from dockthread.telemetry.receiver.decode import ReceivedPoint
from dockthread.telemetry.receiver.ledger import Ledger


def test_totals_add_up_incarnations_and_count_a_repeated_point_once() -> None:
    ledger = Ledger()
    series = "p.n0.answers.c.p.served"

    def add_report(incarnation: int, unix_seconds: float, value: float) -> None:
        ledger.add_graphite_points(
            "plaintext",
            [
                ReceivedPoint("p.n0.life", unix_seconds, incarnation),
                ReceivedPoint(series, unix_seconds, value),
            ],
        )

    add_report(1000, 1, 0)
    add_report(1000, 2, 5)
    add_report(1000, 3, 9)
    add_report(1000, 2, 5)  # the same point is sent again
    add_report(4000, 4, 0)
    add_report(4000, 5, 2)
    ledger.add_graphite_points(
        "plaintext",
        [ReceivedPoint("p.n1.life", 5, 7), ReceivedPoint("p.n1.answers.c.p.served", 5, 3)],
    )
    assert {
        total.series: (total.value, total.incarnations) for total in ledger.totals("answers")
    } == {
        series: (11.0, 2),
        "p.n1.answers.c.p.served": (3.0, 1),
    }
    assert ledger.count_decreases("plaintext", series) == 0
    add_report(4000, 6, 1)
    assert ledger.count_decreases("plaintext", series) == 1
