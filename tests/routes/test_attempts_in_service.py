"""Hedges and attempt timeouts in a running ingress: each request gets one answer."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.loopback import Client, message, run, target, until
from tests.routes.routed_ingress import (
    OK,
    RETRY_FLOOR,
    STATUS,
    answers_after,
    answers_with,
    attempts_at,
    routed_ingress,
)

SLOW_ANSWER = 0.3  # s
FAST_ANSWER = 0.01  # s
SLOW_THRESHOLD = 0.25  # s; a request that takes longer counts as slow


def test_client_gets_one_answer_when_hedge_and_first_attempt_answer_simultaneously() -> None:
    async def scenario() -> None:
        may_answer = asyncio.Event()

        async def answers_when_allowed(args: list[bytes]) -> bytes | None:
            await may_answer.wait()
            return OK

        text = STATUS + "copies = yes\ncopy_after = 20ms\nattempts = 2\n" + RETRY_FLOOR
        async with routed_ingress(text, answers_when_allowed, answers_when_allowed) as (
            ingress,
            client,
            backends,
        ):

            def sent_attempts() -> int:
                requests = ingress.requests.by_number.values()
                return sum(len(request.attempts) for request in requests)

            for _ in range(20):
                may_answer.clear()
                client.send_request()
                await until(lambda: attempts_at(backends) % 2 == 0 and ingress.requests)
                await until(lambda: sent_attempts() == 2)
                may_answer.set()
                assert await client.answer() == b"value"
                await until(lambda: not ingress.requests)
            client.send(b"PING")
            assert await client.answer() == b"PONG", (
                "the next reply is the PONG and not a second answer"
            )

    run(scenario())


@pytest.mark.parametrize("answer_time", [0.095, 0.1, 0.105])
def test_client_gets_one_answer_when_a_backend_answers_as_the_attempt_times_out(
    answer_time: float,
) -> None:
    async def scenario() -> None:
        text = STATUS + "attempts = 2\nattempt_timeout = 100ms\n" + RETRY_FLOOR
        answers = (answers_after(answer_time), answers_after(answer_time))
        async with routed_ingress(text, *answers) as (ingress, client, _):
            for _ in range(10):
                reply = await client.call()
                assert reply == b"value" or reply.startswith("BUSY")
                await until(lambda: not ingress.requests)
            client.send(b"PING")
            assert await client.answer() == b"PONG"

    run(scenario())


def test_an_attempt_that_times_out_while_connecting_is_retried_at_another_backend() -> None:
    async def scenario() -> None:
        keys = "attempts = 2\nattempt_timeout = 100ms\nretry_on = timeout, unreachable\n"
        async with routed_ingress(STATUS + keys + RETRY_FLOOR, answers_with(OK)) as (
            ingress,
            client,
            _,
        ):
            # A listener whose accept queue is full never establishes another connection.
            full_listener = socket.socket()
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            address = full_listener.getsockname()
            connections = [socket.socket() for _ in range(4)]
            for connection in connections:
                connection.setblocking(False)
                connection.connect_ex(address)
            ingress.dispatch(ingress.endpoints.apply(message(2, target("full", address[1]))))
            replies = [await client.call() for _ in range(20)]
            assert replies == [b"value"] * 20
            for opened in (full_listener, *connections):
                opened.close()

    run(scenario())


def test_hedges_reduce_slow_answers_without_exceeding_copy_share() -> None:
    """The first attempt of one request in twelve is thirty times slower, at whichever backend."""

    async def scenario() -> None:
        arrived: set[bytes] = set()

        async def sometimes_slow(args: list[bytes]) -> bytes | None:
            is_first = args[2] not in arrived
            arrived.add(args[2])
            is_slow = is_first and int(args[2], 16) % 12 == 0
            await asyncio.sleep(SLOW_ANSWER if is_slow else FAST_ANSWER)
            return OK

        async def slow_answers_and_attempts(text: str) -> tuple[int, int]:
            async with routed_ingress(text, *[sometimes_slow] * 10) as (ingress, _, backends):
                clients = [await Client.open(ingress.address.port) for _ in range(4)]
                durations: list[float] = []

                async def send_requests(client: Client, number: int) -> None:
                    client.next_request_id += number << 20
                    for _ in range(60):
                        started_at = asyncio.get_running_loop().time()
                        assert await client.call() == b"value"
                        durations.append(asyncio.get_running_loop().time() - started_at)

                await asyncio.gather(
                    *(send_requests(client, number) for number, client in enumerate(clients, 1))
                )
                slow = sum(duration > SLOW_THRESHOLD for duration in durations)
                return slow, attempts_at(backends)

        slow, attempts = await slow_answers_and_attempts(STATUS + "attempts = 1\n")
        arrived.clear()
        hedging = "attempts = 2\ncopies = yes\ncopy_after = 60ms\ncopy_share = 15%\n"
        slow_hedged, attempts_hedged = await slow_answers_and_attempts(
            STATUS + hedging + RETRY_FLOOR
        )
        assert (slow, attempts) == (20, 240)
        assert attempts_hedged <= 240 * 1.15 + 2
        assert slow_hedged <= slow / 3

    run(scenario())
