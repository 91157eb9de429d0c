"""An ingress must know a change within 6 s after discovery had it and was reachable.

In these tests every delay has its maximum length, and discovery recovers at the worst moment: just
after an attempt has failed or begun to hang.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.config.address import Address
from dockthread.net.ingress import Ingress
from tests.loopback import (
    SETTINGS,
    config,
    message,
    run,
    target,
    until,
)
from tests.net.failing_discovery import (
    FAILURES,
    INCOMPLETE_OBJECT,
    FailingDiscovery,
    UnreachableDiscovery,
    failing_discovery,
)

BOUND_MS, STEP_MS = 6_000.0, 250.0


class MaximumDelays(random.Random):
    def uniform(self, a: float, b: float) -> float:
        return b


@asynccontextmanager
async def watching_ingress(
    port: int, ingress_count: int, is_polling: bool, drain_grace_s: float = 1.0
) -> AsyncIterator[tuple[Ingress, ManualClock]]:
    """Run an ingress on a manual clock, with all delays at their maximum."""
    changes: dict[str, Any] = {
        "ReplicasOfMe": ingress_count,
        "Safety": SETTINGS["Safety"] | {"StopSendingWithin": drain_grace_s * 1_000_000},
    }
    changes |= {"Discovery": "subscribe"} if is_polling else {}
    clock, endpoint_list = ManualClock(), message(1, target("s-0", 9), full=True)
    ingress = Ingress(config(endpoint_list, port, settings=SETTINGS | changes), clock)
    ingress.watch._backoff._rng = MaximumDelays()
    ingress_task = asyncio.create_task(ingress.run())
    await until(lambda: ingress.lifecycle.ready)
    try:
        yield ingress, clock
    finally:
        ingress_task.cancel()
        await asyncio.gather(ingress_task, return_exceptions=True)


async def advance_clock(ingress: Ingress, clock: ManualClock, discovery: FailingDiscovery) -> None:
    """Advance the clock by one step, and wait for any attempt that this starts."""
    previous_start_ms, attempts, known_revision = (
        ingress.watch._attempt.started_ms,
        discovery.attempts,
        ingress.endpoints.revision,
    )
    clock.advance(STEP_MS)
    ingress.timers.run_due()
    for _ in range(4):
        await asyncio.sleep(0)
    if ingress.watch._attempt.started_ms > previous_start_ms and discovery.is_reachable:
        await until(lambda: discovery.attempts > attempts)
        await (
            asyncio.sleep(0.005)
            if discovery.failure
            else until(lambda: ingress.endpoints.revision > known_revision)
        )


async def time_until_new_list(
    ingress: Ingress, clock: ManualClock, discovery: FailingDiscovery
) -> float:
    """Return the time in ms on the clock until a newer list is received."""
    begun_ms, known_revision = clock.now(), ingress.endpoints.revision
    while ingress.endpoints.revision == known_revision:
        assert clock.now() - begun_ms < 20 * BOUND_MS, "no list was received"
        await advance_clock(ingress, clock, discovery)
    return clock.now() - begun_ms


async def fail_attempts(
    ingress: Ingress, clock: ManualClock, discovery: FailingDiscovery, attempts: int
) -> None:
    """Let discovery recover just after `attempts` attempts have failed."""
    if isinstance(discovery, UnreachableDiscovery):
        while ingress.watch._failures < attempts:
            await advance_clock(ingress, clock, discovery)
        await discovery.recover()
        return
    while discovery.attempts < attempts:
        await advance_clock(ingress, clock, discovery)
    discovery.failure = None


pushed_and_polled = pytest.mark.parametrize("is_polling", [False, True], ids=["pushed", "polled"])
few_and_many_ingresses = pytest.mark.parametrize("ingress_count", [3, 200])


@pushed_and_polled
@few_and_many_ingresses
@pytest.mark.parametrize("failure", [*FAILURES, "refuses", "never comes up"])
def test_a_change_is_received_within_6_s_after_discovery_becomes_reachable(
    failure: str, ingress_count: int, is_polling: bool
) -> None:
    async def scenario() -> None:
        discovery = failing_discovery(failure)
        async with watching_ingress(
            await discovery.start(), ingress_count, is_polling, drain_grace_s=9.0
        ) as (ingress, clock):
            await fail_attempts(ingress, clock, discovery, 3)
            assert await time_until_new_list(ingress, clock, discovery) <= BOUND_MS

    run(scenario())


@pushed_and_polled
@few_and_many_ingresses
@pytest.mark.parametrize(
    "sent",
    [b"", b"1\r\n\n\r\n", INCOMPLETE_OBJECT],
    ids=["list", "list and a blank line", "half an object"],
)
def test_a_silent_watch_is_replaced_within_6_s(
    sent: bytes, ingress_count: int, is_polling: bool
) -> None:
    async def scenario() -> None:
        discovery = FailingDiscovery()
        async with watching_ingress(
            await discovery.start(), ingress_count, is_polling, drain_grace_s=9.0
        ) as (ingress, clock):
            await time_until_new_list(ingress, clock, discovery)
            discovery.writers[-1].write(sent)
            assert await time_until_new_list(ingress, clock, discovery) <= BOUND_MS

    run(scenario())


@pushed_and_polled
@few_and_many_ingresses
@pytest.mark.parametrize("failure", ["closes", "hangs", "error"])
def test_a_change_is_received_within_6_s_after_a_new_address_becomes_reachable(
    failure: str, ingress_count: int, is_polling: bool
) -> None:
    """The address changes at SIGHUP, while attempts at the old address fail in different ways."""

    async def scenario() -> None:
        old_discovery, new_discovery = failing_discovery(failure), failing_discovery(failure)
        async with watching_ingress(
            await old_discovery.start(), ingress_count, is_polling, drain_grace_s=9.0
        ) as (
            ingress,
            clock,
        ):
            while old_discovery.attempts < 3:
                await advance_clock(ingress, clock, old_discovery)
            ingress.watch.change_address(Address("127.0.0.1", await new_discovery.start()))
            await fail_attempts(ingress, clock, new_discovery, 2)
            assert await time_until_new_list(ingress, clock, new_discovery) <= BOUND_MS

    run(scenario())
