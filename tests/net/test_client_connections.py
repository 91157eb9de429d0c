"""Client connections: responses in order, invalid commands, timeouts, duplicates and memory."""

from __future__ import annotations

import asyncio
import gc

import pytest

from dockthread.clock import ManualClock
from dockthread.net import resp
from dockthread.net.backend_connection import BackendConnection
from dockthread.net.client_connection import ClientConnection
from tests.loopback import (
    FIRST_REQUEST_ID,
    Backend,
    Client,
    reply_served,
    run,
    running_ingress,
    until,
)
from tests.net.support import UNREACHED_DEADLINE_MS, never_replies, with_limits


def test_each_command_gets_one_response_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def slow_first(args: list[bytes]) -> bytes | None:
            if args[4] == b"first":
                await gate.wait()
            return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(args[4]), args[4])

        backend = Backend(slow_first)
        async with running_ingress(backend) as (ingress, client, _):
            for body in (b"first", b"second"):
                client.send_request(body=body)
            client.send(b"PING")
            await until(lambda: len(backend.received_commands) == 2 and len(ingress.requests) == 1)
            gate.set()
            assert [await client.answer() for _ in range(3)] == [b"first", b"second", b"PONG"]
            assert not ingress.requests

    run(scenario())


@pytest.mark.parametrize(
    ("commands", "expected_responses"),
    [
        (b"*1\r\n$4\r\nping\r\n", ["PONG"]),
        (b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n", ["hi"]),
        (b"*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n*2\r\n$6\r\nCLIENT\r\n$1\r\nx\r\n", ["OK", "OK"]),
        (b"*1\r\n$5\r\nHELLO\r\n", ["ERR unknown command"]),
        (b"*2\r\n$8\r\nAPI.READ\r\n$1\r\n7\r\n", ["ERR wrong number of arguments"]),
        (b"*1\r\n:7\r\n", ["ERR Protocol error", None]),
        (b"*1\r\n$4\r\nQUIT\r\n*1\r\n$4\r\nPING\r\n", ["OK", None]),
        (b"PING\r\n", ["ERR Protocol error", None]),
        (b"*1\r\n$4\r\nPING\r\n*1\r\n$x\r\n", ["PONG", "ERR Protocol error", None]),
        # the error must be sent before any of the announced bytes has arrived
        (b"*2\r\n$4\r\nPING\r\n$400000\r\n", ["ERR Protocol error", None]),
        (
            b"*1\r\n$1\r\nX\r\n" * 300,
            ["ERR unknown command"] * 16 + ["ERR too many commands at once", None],
        ),
    ],
)
def test_commands_that_are_not_requests_get_a_response_or_an_error(
    commands: bytes, expected_responses: list[str | None]
) -> None:
    async def scenario() -> None:
        async with running_ingress(Backend()) as (ingress, client, _):
            client.writer.write(commands)
            for expected in expected_responses:
                response = await client.answer()
                assert (response.decode() if isinstance(response, bytes) else response) == expected
            # Other connections must still be served.
            assert await (await Client.open(ingress.address.port)).call() == b"value"

    run(scenario())


def test_silent_connections_and_incomplete_commands_time_out_but_active_connections_stay_open() -> (
    None
):
    async def scenario() -> None:
        clock = ManualClock()
        async with running_ingress(Backend(), clock=clock) as (ingress, active, _):
            active.send(b"PING")
            assert await active.answer() == b"PONG"
            silent, slow = [await Client.open(ingress.address.port) for _ in range(2)]
            slow.writer.write(b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000")
            await until(lambda: any(c.is_mid_command for c in ingress.listener.connections))
            clock.advance(1_400)
            ingress._run_periodic_maintenance()
            assert len(ingress.listener.connections) == 3
            clock.advance(200)
            ingress._run_periodic_maintenance()
            assert await silent.answer() is None
            silent.writer.close()
            await until(lambda: len(ingress.listener.connections) == 2)
            clock.advance(1_000)  # now 2.6 s after the command began; a slow client takes 2 s
            ingress._run_periodic_maintenance()
            assert any(c.is_mid_command for c in ingress.listener.connections)
            clock.advance(500)
            ingress._run_periodic_maintenance()
            assert [await slow.answer(), await slow.answer()] == [
                "ERR Protocol error: half a command",
                None,
            ]
            assert await active.call() == b"value"

    run(scenario())


def test_a_request_with_an_id_in_flight_is_rejected_as_a_duplicate() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def reply_once_opened(args: list[bytes]) -> bytes | None:
            await gate.wait()
            return await reply_served(args)

        backend = Backend(reply_once_opened)
        async with running_ingress(backend) as (ingress, client, _):
            client.send_request(d=UNREACHED_DEADLINE_MS)
            await until(lambda: backend.received_commands)
            other_client = await Client.open(ingress.address.port)
            assert await other_client.call() == "ERR this id is open already"
            gate.set()
            assert await client.answer() == b"value"
            assert len(backend.received_commands) == 1
            other_client.next_request_id = FIRST_REQUEST_ID
            # The id is no longer in flight, so it may be used again.
            assert await other_client.call() == b"value"

    run(scenario())


def test_a_request_beyond_the_in_flight_limit_is_rejected_as_busy() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend(), settings=with_limits(MaxOpen=0, MaxRetryAfter=0)) as (
            _,
            client,
            _,
        ):
            assert await client.call() == "BUSY"
            assert resp.encode_busy(0.0) == b"-BUSY\r\n"

    run(scenario())


def test_closed_connections_are_freed_without_garbage_collection() -> None:
    async def scenario() -> None:
        def open_connections() -> int:
            return sum(
                isinstance(obj, (ClientConnection, BackendConnection)) for obj in gc.get_objects()
            )

        clock = ManualClock()
        async with running_ingress(Backend(never_replies), clock=clock) as (ingress, client, _):
            client.send(b"PING")
            assert await client.answer() == b"PONG"
            gc.collect()
            gc.disable()
            try:
                before = open_connections()
                for number in range(10):
                    leaving_client = await Client.open(ingress.address.port)
                    leaving_client.next_request_id += number
                    leaving_client.send_request(d=UNREACHED_DEADLINE_MS)
                    await until(lambda: ingress.requests)
                    leaving_client.writer.close()
                    await until(lambda: not ingress.requests)
                    idle_client = await Client.open(ingress.address.port)
                    await until(lambda: len(ingress.listener.connections) == 2)
                    next(
                        c for c in ingress.listener.connections if c.is_idle and not c.commands_read
                    ).close()
                    assert await idle_client.answer() is None
                await until(lambda: len(ingress.listener.connections) == 1)
                clock.advance(300)  # past the connect timeouts, whose timers refer to connections
                ingress.timers.run_due()
                # Reference cycles kept 8 to 16 KiB or more per closed connection until the next
                # garbage collection, which is rare.
                assert open_connections() <= before + 2
            finally:
                gc.enable()

    run(scenario())
