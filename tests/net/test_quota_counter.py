"""The quota counter's client: additions are pipelined in order, and each ends exactly once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.net.quota_counter import QuotaCounterClient
from dockthread.policy import CounterReplied, Outcome
from tests.loopback import Backend, run, until


async def reply_with_total(args: list[bytes]) -> bytes:
    return b"$4\r\n12.5\r\n"


def new_client(
    port: int | None, timeout: float = 5_000.0
) -> tuple[QuotaCounterClient, list[CounterReplied]]:
    replies, loop = list[CounterReplied](), asyncio.get_running_loop()
    clock = Clock()

    def call_at(due_ms: float, callback: Callable[..., None], *args: object) -> None:
        loop.call_later((due_ms - clock.now()) / 1000, callback, *args)

    address = None if port is None else Address("127.0.0.1", port)
    return QuotaCounterClient(address, clock, replies.append, call_at, timeout=timeout), replies


def test_additions_share_a_connection_and_are_answered_in_order() -> None:
    async def scenario() -> None:
        counter_server = Backend(reply_with_total)
        client, replies = new_client(await counter_server.start())
        for name in (1, 2, 3):
            client.add(name, 2.5, 60_000.0)
        await until(lambda: len(replies) == 3)
        assert replies == [CounterReplied(name, Outcome.OK, 12.5) for name in (1, 2, 3)]
        assert (counter_server.opened, counter_server.received_commands[0]) == (
            1,
            [b"CNT.ADD", b"1", b"2.5", b"60000"],
        )
        client.close()

    run(scenario())


@pytest.mark.parametrize(
    ("reply", "outcome", "expected_connections"),
    [
        (b"-BUSY\r\n", Outcome.AT_CAPACITY, 1),
        (b"$5\r\nnoise\r\n", Outcome.ERROR, 2),
        (b"*1000000000\r\n", Outcome.RESET, 2),
        (None, Outcome.RESET, 2),
    ],
)
def test_the_type_of_a_reply_determines_its_outcome_and_whether_the_connection_is_replaced(
    reply: bytes | None, outcome: Outcome, expected_connections: int
) -> None:
    async def scenario() -> None:
        async def answer_call(args: list[bytes]) -> bytes | None:
            return reply

        counter_server = Backend(answer_call)
        client, replies = new_client(await counter_server.start())
        client.add(1, 1.0, 60_000.0)
        await until(lambda: replies)
        await asyncio.sleep(0)
        counter_server.answer = reply_with_total
        client.add(2, 1.0, 60_000.0)
        await until(lambda: len(replies) == 2)
        assert [counter_reply.outcome for counter_reply in replies] == [outcome, Outcome.OK]
        assert counter_server.opened == expected_connections
        client.close()

    run(scenario())


def test_a_reply_after_the_timeout_is_not_taken_for_the_next_addition() -> None:
    async def scenario() -> None:
        may_reply = asyncio.Event()

        async def reply_late(args: list[bytes]) -> bytes:
            await may_reply.wait()
            return b"$1\r\n%b\r\n" % args[1]

        client, replies = new_client(await Backend(reply_late).start(), timeout=20.0)
        client.add(1, 1.0, 60_000.0)
        await until(lambda: replies)
        assert replies[0].outcome is Outcome.TIMEOUT
        may_reply.set()
        client._timeout_ms = 5_000.0
        client.add(2, 1.0, 60_000.0)
        await until(lambda: len(replies) == 2)
        # The total is 2, not the late reply 1 to the first addition.
        assert replies[1] == CounterReplied(2, Outcome.OK, 2.0)
        client.close()

    run(scenario())


def test_an_address_change_takes_effect_immediately_and_without_an_address_additions_fail() -> None:
    async def scenario() -> None:
        old_server, new_server = Backend(reply_with_total), Backend(reply_with_total)
        client, replies = new_client(await old_server.start())
        client.add(1, 1.0, 60_000.0)
        await until(lambda: replies)
        client.change_address(Address("127.0.0.1", await new_server.start()))
        client.add(2, 1.0, 60_000.0)
        await until(lambda: len(replies) == 2)
        assert (len(old_server.received_commands), len(new_server.received_commands)) == (1, 1)
        client.enforce_timeouts()  # closes the old connection, which has nothing in flight
        assert len(client._connections) == 1
        client.change_address(None)
        client.add(3, 1.0, 60_000.0)
        assert replies[2].outcome is Outcome.UNREACHABLE
        client.close()

    run(scenario())


def test_a_silent_counter_connection_is_replaced() -> None:
    async def scenario() -> None:
        async def never_reply(args: list[bytes]) -> bytes:
            await asyncio.Event().wait()
            return b""

        counter_server = Backend(never_reply)
        client, replies = new_client(await counter_server.start(), timeout=150.0)
        client.add(1, 1.0, 60_000.0)
        await until(lambda: replies)
        assert replies[0].outcome is Outcome.TIMEOUT
        counter_server.answer, client._timeout_ms = reply_with_total, 5_000.0
        client.add(2, 1.0, 60_000.0)
        await until(lambda: len(replies) == 2)
        assert (replies[1], counter_server.opened) == (CounterReplied(2, Outcome.OK, 12.5), 2)
        client.close()

    run(scenario())
