"""Short soaks of one ingress process under the faults of incident 0004."""

from __future__ import annotations

import asyncio

import uvloop

from dockthread.lab.soak.run import Fault, SoakPlan, SoakResult, play

LEAST_MEMORY_MB = 32.0


def soak(plan: SoakPlan) -> SoakResult:
    """Play a soak in an event loop of its own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(plan))


def check(result: SoakResult) -> None:
    """Fail with the broken rules and the ingress's log, if there are any."""
    assert not result.violations, "\n".join([*result.violations, result.log[-2000:]])
    assert "Traceback" not in result.log, result.log


def test_memory_stays_within_the_limit_while_hundreds_of_clients_are_slow() -> None:
    faults = {Fault.HALF_REQUESTS, Fault.SHORT_FIELDS, Fault.SLOW_READERS, Fault.KILLS}
    check(soak(SoakPlan(3, 6.0, LEAST_MEMORY_MB, 1024, frozenset(faults))))


def test_a_long_answer_is_passed_on_for_as_long_as_its_backend_writes_it() -> None:
    for memory_mb in (LEAST_MEMORY_MB, 192.0):
        check(soak(SoakPlan(4, 4.0, memory_mb, 1024, frozenset({Fault.LONG_ANSWERS}))))
