"""Backends that have just started get less than their part."""

from __future__ import annotations

from dockthread.policy import (
    Outcome,
)
from tests.policy.harness import UNSAFE, Drive, entry


def test_cold_worker_gets_less_than_its_part_and_no_further_attempts() -> None:
    drive = Drive(workers=1)
    drive.listed(entry(0), entry(5, started=drive.now))
    sent = []
    for _ in range(400):  # at one moment, as hundreds of gateways might
        sent.append(drive.ask(UNSAFE))
        drive.end(sent[-1], 0, Outcome.OK)
    # by warmth: for what it can do, no more than a warm one's; 3 times is what it stands
    part = 0.3 / 1.3
    assert 0 < sum(drive.sent[r][0].backend == 1005 for r in sent) < 400 * part * 1.2
    for _ in range(50):
        drive.gateway.delay.smoothed_latency = 0.0  # not pressed
        r = drive.ask(UNSAFE)
        drive.end(r, 0, Outcome.AT_CAPACITY)
        assert all(send.backend != 1005 for send in drive.sent[r][1:])
