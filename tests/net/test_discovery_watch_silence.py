"""The discovery watch while discovery is silent: when a new attempt replaces the open one."""

from __future__ import annotations

import asyncio

import pytest

from dockthread.clock import ManualClock
from tests.loopback import Backend, message, run, running_ingress, target, until


def test_a_silent_watch_is_replaced_and_continues_after_the_last_revision() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        async with running_ingress(Backend(), clock=clock) as (ingress, _, discovery):
            discovery.push(message(41, target("s-1", 1)))
            await until(lambda: ingress.endpoints.revision == 41)
            clock.advance(3_000)
            ingress.watch.enforce_timeouts()
            await asyncio.sleep(0)
            assert len(discovery.paths) == 1  # a heartbeat may be as late as this
            clock.advance(1_000)
            ingress.watch.enforce_timeouts()
            await until(lambda: len(discovery.paths) == 2)
            paths = [b"/discovery/hosts?watch=1&after=%d" % rev for rev in (1, 41)]
            assert discovery.paths == paths

    run(scenario())


@pytest.mark.parametrize("answered", [True, False])
def test_an_unanswered_attempt_at_discovery_stays_open_during_the_following_backoff(
    answered: bool,
) -> None:
    """Discovery answers open attempts when it recovers; a new attempt would be answered later."""

    async def scenario() -> None:
        clock = ManualClock()
        async with running_ingress(Backend(), clock=clock) as (ingress, _, discovery):
            # The watch is overdue. The backoff is up to 500 ms for four ingresses.
            clock.advance(3_600)
            ingress.watch.enforce_timeouts()
            await asyncio.sleep(0.02)
            assert len(discovery.paths) == 1
            if answered:
                discovery.push(message(41, target("s-1", 1)))
                await until(lambda: ingress.endpoints.revision == 41)
                assert len(discovery.paths) == 1
            clock.advance(501)
            ingress.watch.enforce_timeouts()
            await asyncio.sleep(0.02)
            # After the backoff, the next attempt starts immediately.
            await until(lambda: len(discovery.paths) == (1 if answered else 2))

    run(scenario())
