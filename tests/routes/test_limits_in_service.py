"""Concurrency limits and retry budgets of routes in a running ingress."""

from __future__ import annotations

import asyncio

import pytest

from dockthread.clock import ManualClock
from tests.loopback import GROSS_PLAN, SETTINGS, Client, run, until
from tests.routes.routed_ingress import (
    BUSY,
    ERROR,
    OK,
    STATUS,
    answers_after,
    answers_with,
    attempts_at,
    routed_ingress,
    usage_of,
)

PLANS = [GROSS_PLAN | {"Refill": 1.0}]


def test_requests_beyond_the_limit_are_queued_by_weight_until_queue_wait_expires() -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def answers_when_allowed(args: list[bytes]) -> bytes | None:
            await may_answer.wait()
            return OK

        text = "[route all]\nlimit = 2\nqueue = 2\nqueue_wait = 1s\n"
        clock = ManualClock()
        status, checkout = SETTINGS["Classes"]
        settings = {
            **SETTINGS,
            "Classes": [dict(status, Points=1), dict(checkout, Points=5)],
            "Packages": PLANS,
        }
        async with routed_ingress(text, answers_when_allowed, clock=clock, settings=settings) as (
            ingress,
            client,
            backends,
        ):
            usage = usage_of(ingress, "all")
            for _ in range(4):
                client.send_request()  # two requests are admitted and two are queued
            await until(lambda: len(usage.queue) == 2)
            priority_client = await Client.open(ingress.address.port)
            priority_client.next_request_id += 1000
            # This request displaces a queued one of lower weight, which is rejected immediately.
            priority_client.send_request("checkout")
            await until(lambda: usage.refused_limit == 1)
            assert len(usage.queue) == 2
            clock.advance(1001)  # both queued requests have now waited for longer than queue_wait
            ingress.timers.run_due()
            assert (await priority_client.answer()).startswith("BUSY")
            assert usage.refused_limit == 3
            may_answer.set()
            replies = [await client.answer() for _ in range(4)]
            shown = [reply if isinstance(reply, bytes) else reply[:4] for reply in replies]
            assert shown == [b"value", b"value", "BUSY", "BUSY"]
            assert backends[0].attempts == 2

    run(scenario())


def test_a_queued_request_is_admitted_when_another_request_finishes() -> None:
    async def scenario() -> None:
        text = "[route all]\nlimit = 1\nqueue = 20\nqueue_wait = 3s\nplan = gross\n"
        settings = {**SETTINGS, "Packages": PLANS}
        async with routed_ingress(text, answers_after(0.01), settings=settings) as (
            ingress,
            client,
            _,
        ):
            for _ in range(15):
                client.send_request()
            assert [await client.answer() for _ in range(15)] == [b"value"] * 15
            usage = usage_of(ingress, "all")
            assert (usage.queued, usage.limit.admitted, len(usage.queue)) == (14, 0, 0)

    run(scenario())


@pytest.mark.parametrize(("reply", "min_first_attempts"), [(BUSY, 0), (ERROR, 300)])
def test_the_load_stays_within_the_budget_when_all_backends_reject_or_fail(
    reply: bytes, min_first_attempts: int
) -> None:
    """If all backends reject requests, the policy engine itself soon forwards only a few.

    If they fail with errors, only the retry budget limits the load.
    """

    async def scenario() -> None:
        text = STATUS + "attempts = 4\nretry_budget = 20%\nretry_floor = 1\n"
        async with routed_ingress(text, *[answers_with(reply)] * 3) as (ingress, client, backends):
            started_at = asyncio.get_running_loop().time()
            for _ in range(400):
                assert str(await client.call()).startswith("BUSY")
            elapsed = asyncio.get_running_loop().time() - started_at
            attempts = attempts_at(backends)
            first_attempts = len({number for backend in backends for number in backend.arrivals})
            assert first_attempts > min_first_attempts
            initial_tokens = (
                10  # tokens that retry_floor adds in 10 s, the initial capacity of the bucket
            )
            allowed = first_attempts + 0.2 * first_attempts + 1.0 * elapsed + initial_tokens
            assert attempts <= allowed
            budget = usage_of(ingress, "s").budget
            assert budget is not None
            assert 0 < attempts - first_attempts <= budget.tokens_taken
            assert budget.refused or reply is BUSY

    run(scenario())
