"""The watch on discovery over real sockets: from a process's first moment, through losses, silence
and moves.
"""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.config.address import Address
from dockthread.net.ingress import Ingress
from tests.loopback import SETTINGS, Backend, Discovery, message, run, serving, target, until

GRACE = 1_000.0  # ms that a drain may be sent to after it was told


def settings(**more: Any) -> dict[str, Any]:
    return {"settings": SETTINGS | {"Safety": {"StopSendingWithin": GRACE * 1_000}} | more}


def answered(discovery: Discovery, calls: int) -> bool:
    return len(discovery.writers) >= calls


def told(ingress: Ingress, revision: int) -> bool:
    return ingress.endpoints.revision == revision


def said(ingress: Ingress, since: float) -> bool:
    return ingress.watch._attempt.last_received_ms > since


def port(backend: Backend) -> int:
    return int(backend.server.sockets[0].getsockname()[1])


@pytest.mark.parametrize("answers", [True, False])
def test_nothing_is_sent_by_an_old_list_before_the_agent_had_time_to_answer(answers: bool) -> None:
    """What the agent has counts as told from the first moment of a process."""

    async def scenario() -> None:
        clock, leaving, stays = ManualClock(), Backend(), Backend()
        async with serving(leaving, stays, clock=clock, wait=False, **settings()) as (
            ingress,
            client,
            discovery,
        ):
            await until(lambda: discovery.writers)
            assert not ingress.ready
            for _ in range(20):
                client.ask()
            await until(lambda: len(ingress.requests) == 20)
            assert (leaving.seen, stays.seen) == ([], [])
            if answers:
                discovery.push(message(2, target("s-0", port(leaving), "leaving")))
                await until(lambda: ingress.ready)
            else:  # it is down, and has learnt nothing meanwhile: the old list has to serve
                clock.advance(GRACE / 2)
                ingress.timers.run_due()
                assert ingress.ready
            assert [await client.answer() for _ in range(20)] == [b"value"] * 20
            assert bool(leaving.seen) is not answers

    run(scenario())


@pytest.mark.parametrize("lists", [False, True])
def test_an_agent_that_ends_calls_is_called_again_within_half_a_grace_however_large_the_fleet(
    lists: bool,
) -> None:
    """What it has counts as told, watch or not. Each pause was drawn from 25 s, then 50 s, with 200
    ingresses.
    """

    async def scenario() -> None:
        changes = settings(ReplicasOfMe=200, Safety={"StopSendingWithin": 400_000})
        async with serving(Backend(), refuses=0 if lists else 12, wait=False, **changes) as (
            ingress,
            _,
            discovery,
        ):
            for n in range(12 * lists):
                await until(partial(answered, discovery, n + 1))
                discovery.push(message(2 + n, target("s-0", 9)))
                await until(partial(told, ingress, 2 + n))
                discovery.writers[-1].close()
            await asyncio.wait_for(until(lambda: len(discovery.paths) == 13), 20)

    run(scenario())


def test_an_agent_that_never_answers_is_called_anew_before_what_it_has_counts_as_told() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        changes = settings(ReplicasOfMe=200)
        async with serving(Backend(), clock=clock, wait=False, **changes) as (
            ingress,
            _,
            discovery,
        ):
            await until(lambda: discovery.writers)
            clock.advance(3_600)
            ingress.watch.enforce_timeouts()  # silent for too long; half a grace more at the most
            clock.advance(GRACE / 2)
            ingress.watch.enforce_timeouts()
            await until(lambda: len(discovery.paths) == 2)

    run(scenario())


def test_a_watch_that_says_half_an_object_and_signs_of_life_is_begun_again() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        async with serving(Backend(), clock=clock) as (ingress, _, discovery):
            discovery.push(message(2, target("s-1", 1)))
            discovery.writers[-1].write(b'9\r\n{"rev":3,\r\n')
            for second in range(5):
                heard = ingress.watch._attempt.last_received_ms
                clock.advance(1_000)
                discovery.writers[-1].write(b"1\r\n\n\r\n")
                await until(partial(said, ingress, heard))
                ingress.watch.enforce_timeouts()
                await asyncio.sleep(0)
                assert len(discovery.paths) == 1 or second == 4
            clock.advance(GRACE / 2)  # and a pause: within 6 s all in all
            ingress.timers.run_due()
            await until(lambda: len(discovery.paths) == 2)
            assert discovery.paths[-1].endswith(b"after=2")

    run(scenario())


def test_a_long_list_that_comes_slowly_but_entry_by_entry_is_waited_for() -> None:
    """Given up after 4 s it would begin anew each time, and never be taken."""

    async def scenario() -> None:
        clock = ManualClock()
        async with serving(Backend(), clock=clock) as (ingress, _, discovery):
            await until(lambda: discovery.writers)
            entries = [json.dumps(target(f"s-{n}", 1 + n)).encode() for n in range(12)]
            pieces = [
                b'{"rev":9,"all":true,"targets":[' + entries[0],
                *(b"," + entry for entry in entries[1:]),
                b"]}",
            ]
            for piece in pieces:
                heard = ingress.watch._attempt.last_received_ms
                clock.advance(1_000)
                discovery.writers[-1].write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await until(partial(said, ingress, heard))
                ingress.watch.enforce_timeouts()
                await asyncio.sleep(0)
            await until(partial(told, ingress, 9))
            assert (ingress.endpoints.listed_count, len(discovery.paths)) == (12, 1)

    run(scenario())


@pytest.mark.parametrize("refuses", [0, 1_000_000])
def test_a_move_that_comes_on_an_unanswered_call_or_in_a_pause_is_followed_at_once(
    refuses: int,
) -> None:
    async def scenario() -> None:
        clock, other = ManualClock(), Discovery()
        asks = settings(ReplicasOfMe=200, Discovery="subscribe")  # a pause of up to 25 s
        async with serving(Backend(), clock=clock, refuses=refuses, wait=False, **asks) as (
            ingress,
            _,
            first,
        ):
            clock.advance(GRACE / 2)  # the pause at a start
            ingress.timers.run_due()
            await until(lambda: first.paths and bool(refuses) == (ingress.watch._failures > 0))
            ingress.watch.change_address(Address("127.0.0.1", await other.start()))
            await asyncio.wait_for(until(lambda: other.paths), 2)

    run(scenario())
