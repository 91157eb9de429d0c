"""The discovery watch over real sockets: start, failures, silence and changes of address."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.config.address import Address
from dockthread.net.ingress import Ingress
from tests.loopback import (
    SETTINGS,
    Backend,
    Discovery,
    message,
    run,
    running_ingress,
    target,
    until,
)

DRAIN_GRACE_MS = 1_000.0  # Time for which a draining backend may still be sent requests.


def watch_settings(**changes: Any) -> dict[str, Any]:
    return {
        "settings": SETTINGS
        | {"Safety": SETTINGS["Safety"] | {"StopSendingWithin": DRAIN_GRACE_MS * 1_000}}
        | changes
    }


def has_answered(discovery: Discovery, attempts: int) -> bool:
    return len(discovery.writers) >= attempts


def has_revision(ingress: Ingress, revision: int) -> bool:
    return ingress.endpoints.revision == revision


def has_received(ingress: Ingress, since: float) -> bool:
    return ingress.watch._attempt.last_received_ms > since


def port_of(backend: Backend) -> int:
    return int(backend.server.sockets[0].getsockname()[1])


@pytest.mark.parametrize("agent_answers", [True, False])
def test_the_cached_list_is_not_used_before_the_agent_had_time_to_answer(
    agent_answers: bool,
) -> None:
    """Changes known to the local agent apply to an ingress from the start of its process."""

    async def scenario() -> None:
        clock, draining, ready = ManualClock(), Backend(), Backend()
        async with running_ingress(
            draining, ready, clock=clock, wait=False, **watch_settings()
        ) as (
            ingress,
            client,
            discovery,
        ):
            await until(lambda: discovery.writers)
            assert not ingress.ready
            for _ in range(20):
                client.send_request()
            await until(lambda: len(ingress.requests) == 20)
            assert (draining.received_commands, ready.received_commands) == ([], [])
            if agent_answers:
                discovery.push(message(2, target("s-0", port_of(draining), "leaving")))
                await until(lambda: ingress.ready)
            else:  # the agent is down, so the cached list is used after half the grace period
                clock.advance(DRAIN_GRACE_MS / 2)
                ingress.timers.run_due()
                assert ingress.ready
            assert [await client.answer() for _ in range(20)] == [b"value"] * 20
            assert bool(draining.received_commands) is not agent_answers

    run(scenario())


@pytest.mark.parametrize("agent_sends_lists", [False, True])
def test_an_agent_that_ends_attempts_is_called_again_within_half_the_drain_grace_period(
    agent_sends_lists: bool,
) -> None:
    """Changes known to the local agent apply to an ingress even without a watch.

    Delays must not grow with the number of ingresses: with 200, they were drawn from 25 s and then
    50 s.
    """

    async def scenario() -> None:
        changes = watch_settings(
            ReplicasOfMe=200, Safety=SETTINGS["Safety"] | {"StopSendingWithin": 400_000}
        )
        async with running_ingress(
            Backend(), refused_watches=0 if agent_sends_lists else 12, wait=False, **changes
        ) as (
            ingress,
            _,
            discovery,
        ):
            for number in range(12 * agent_sends_lists):
                await until(partial(has_answered, discovery, number + 1))
                discovery.push(message(2 + number, target("s-0", 9)))
                await until(partial(has_revision, ingress, 2 + number))
                discovery.writers[-1].close()
            await asyncio.wait_for(until(lambda: len(discovery.paths) == 13), 20)

    run(scenario())


def test_an_unanswered_attempt_is_replaced_within_half_the_drain_grace_period() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        changes = watch_settings(ReplicasOfMe=200)
        async with running_ingress(Backend(), clock=clock, wait=False, **changes) as (
            ingress,
            _,
            discovery,
        ):
            await until(lambda: discovery.writers)
            clock.advance(3_600)
            # The attempt is overdue; the delay before the next is at most half the grace period.
            ingress.watch.enforce_timeouts()
            clock.advance(DRAIN_GRACE_MS / 2)
            ingress.watch.enforce_timeouts()
            await until(lambda: len(discovery.paths) == 2)

    run(scenario())


def test_a_watch_with_an_incomplete_object_is_replaced_despite_heartbeats() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        async with running_ingress(Backend(), clock=clock) as (ingress, _, discovery):
            discovery.push(message(2, target("s-1", 1)))
            discovery.writers[-1].write(b'9\r\n{"rev":3,\r\n')
            for second in range(5):
                last_received = ingress.watch._attempt.last_received_ms
                clock.advance(1_000)
                discovery.writers[-1].write(b"1\r\n\n\r\n")
                await until(partial(has_received, ingress, last_received))
                ingress.watch.enforce_timeouts()
                await asyncio.sleep(0)
                assert len(discovery.paths) == 1 or second == 4
            clock.advance(
                DRAIN_GRACE_MS / 2
            )  # the delay before the next attempt, within 6 s in total
            ingress.timers.run_due()
            await until(lambda: len(discovery.paths) == 2)
            assert discovery.paths[-1].endswith(b"after=2")

    run(scenario())


def test_a_long_list_that_arrives_slowly_entry_by_entry_is_received() -> None:
    """If the watch were cancelled after 4 s, the list would restart and never be complete."""

    async def scenario() -> None:
        clock = ManualClock()
        async with running_ingress(Backend(), clock=clock) as (ingress, _, discovery):
            await until(lambda: discovery.writers)
            entries = [
                json.dumps(target(f"s-{number}", 1 + number)).encode() for number in range(12)
            ]
            pieces = [
                b'{"rev":9,"all":true,"targets":[' + entries[0],
                *(b"," + entry for entry in entries[1:]),
                b"]}",
            ]
            for piece in pieces:
                last_received = ingress.watch._attempt.last_received_ms
                clock.advance(1_000)
                discovery.writers[-1].write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await until(partial(has_received, ingress, last_received))
                ingress.watch.enforce_timeouts()
                await asyncio.sleep(0)
            await until(partial(has_revision, ingress, 9))
            assert (ingress.endpoints.listed_count, len(discovery.paths)) == (12, 1)

    run(scenario())


@pytest.mark.parametrize("rejected_attempts", [0, 1_000_000])
def test_an_address_change_during_an_unanswered_attempt_or_a_delay_takes_effect_immediately(
    rejected_attempts: int,
) -> None:
    async def scenario() -> None:
        clock, new_discovery = ManualClock(), Discovery()
        polling = watch_settings(ReplicasOfMe=200, Discovery="subscribe")  # a delay of up to 25 s
        async with running_ingress(
            Backend(), clock=clock, refused_watches=rejected_attempts, wait=False, **polling
        ) as (
            ingress,
            _,
            old_discovery,
        ):
            clock.advance(DRAIN_GRACE_MS / 2)  # the delay before the first attempt
            ingress.timers.run_due()
            await until(
                lambda: (
                    old_discovery.paths and bool(rejected_attempts) == (ingress.watch._failures > 0)
                )
            )
            ingress.watch.change_address(Address("127.0.0.1", await new_discovery.start()))
            await asyncio.wait_for(until(lambda: new_discovery.paths), 2)

    run(scenario())
