"""Backend connections: forwarding, reuse, idle timeout, malformed replies, connect timeout."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dockthread.clock import Clock, ManualClock
from dockthread.net import connection_pool
from dockthread.policy import IDLE_CLOSE_FRACTION, Outcome
from tests.loopback import (
    CUSTOMER_KEY,
    FIRST_REQUEST_ID,
    Backend,
    message,
    reply_served,
    run,
    running_ingress,
    target,
    until,
)
from tests.net.support import (
    UNREACHED_DEADLINE_MS,
    VALUE_REPLY,
    collect_outcomes,
    never_replies,
    new_attempt,
)


def test_forwarded_commands_change_only_the_deadline_and_connections_are_reused() -> None:
    async def scenario() -> None:
        backend, clock = Backend(), ManualClock()
        async with running_ingress(backend, clock=clock) as (_, client, _):
            for _ in range(5):
                assert await client.call(d=3000, body=b"BO\r\nDY") == b"value"
                clock.advance(connection_pool.REUSE_DELAY_MS)
            assert await client.call("checkout") == b"value"
        verb, customer, wire_id, terms, body = backend.received_commands[0]
        assert (verb, customer, wire_id, body) == (
            b"API.READ",
            CUSTOMER_KEY,
            b"%016x" % FIRST_REQUEST_ID,
            b"BO\r\nDY",
        )
        first_terms, time_left, last_terms = (
            terms.partition(b"d=")[0],
            terms.split(b"d=")[1].split(b",")[0],
            terms.split(b",")[3:],
        )
        assert (first_terms, last_terms) == (
            b"c=status,t=gross,",
            [b"units=2", b"spread=3", b"first=1"],
        )
        assert 0 < int(time_left) <= 3000
        # Guards against closing every connection after one attempt, which happened when the check
        # for extra bytes used reader.len(): it also counts bytes that were already read.
        assert backend.opened == 1

    run(scenario())


def test_an_idle_connection_that_its_backend_closed_is_not_reused() -> None:
    async def scenario() -> None:
        backend = Backend()
        async with running_ingress(backend) as (_, client, _):
            assert await client.call("checkout") == b"value"
            backend.writers[0].close()
            await backend.writers[0].wait_closed()
            # Reusing the closed connection would end in a reset and fail a checkout that never ran.
            assert await client.call("checkout") == b"value"
            assert (backend.opened, len(backend.received_commands)) == (2, 2)

    run(scenario())


def test_idle_connections_are_closed_before_the_backend_closes_them() -> None:
    async def scenario() -> None:
        backend, clock = Backend(), ManualClock()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            assert await client.call() == b"value"
            clock.advance(15_000 * IDLE_CLOSE_FRACTION - 1)
            ingress.connection_pool.close_expired()
            assert len(ingress.connection_pool) == 1
            clock.advance(2)
            ingress.connection_pool.close_expired()
            await until(lambda: backend.closed == 1)

    run(scenario())


def test_nothing_is_sent_to_a_backend_that_starts_draining_while_connecting() -> None:
    async def scenario() -> None:
        drained, other = Backend(), Backend()
        async with running_ingress(drained, other) as (ingress, client, discovery):
            outcomes = collect_outcomes(ingress)
            ingress.connection_pool.start(new_attempt(ingress))
            ingress.endpoints.apply(message(2, target("s-0", 1, "leaving")))
            await until(lambda: outcomes)
            assert [outcome for _, outcome in outcomes] == [Outcome.NOT_SENT]
            ingress.connection_pool.on_ended = ingress.requests.on_attempt_ended
            discovery.push(message(3, target("s-0", 1, "left")))
            await until(lambda: ingress.endpoints.revision == 3)
            for _ in range(10):
                assert await client.call() == b"value"
            assert (len(drained.received_commands), len(other.received_commands)) == (0, 10)

    run(scenario())


@pytest.mark.parametrize(
    "malformed",
    [
        b"*1000000000\r\n", b":5\r\n", b"x" * 40_000, b"*3\r\n$3000000000\r\nvv", b"\xff\xfe\r\n\r\n",
        b"$-1\r\n", b"*1\r\n$5\r\nvalue\r\n", b"-\xff\r\n", b"*3\r\n$50\r\nvalue\r\n", b"-WHAT\r\n",
    ],
)  # fmt: skip
def test_a_malformed_reply_counts_as_run_and_closes_its_connection(malformed: bytes) -> None:
    async def scenario() -> None:
        async def replies(args: list[bytes]) -> bytes | None:
            return malformed

        backend, clock = Backend(replies), ManualClock()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.send_request("checkout", d=UNREACHED_DEADLINE_MS)
            await until(lambda: backend.received_commands)
            # One of these replies is shorter than its header says, so it ends with a timeout. The
            # clock advances in steps, so that it passes this timeout whenever its timer is set.
            for _ in range(400):
                if backend.closed:
                    break
                clock.advance(25)
                ingress.timers.run_due()
                await asyncio.sleep(0.005)
            assert await client.answer() == "ERR failed"
            assert len(backend.received_commands) == 1
            backend.answer = reply_served
            assert await client.call("checkout") == b"value"

    run(scenario())


@pytest.mark.parametrize("extra", [b"noise", VALUE_REPLY, b"-BUSY\r\n", b"*3\r\n"])
def test_extra_bytes_after_a_valid_reply_are_not_taken_for_the_next_reply(extra: bytes) -> None:
    async def scenario() -> None:
        async def replies(args: list[bytes]) -> bytes | None:
            return VALUE_REPLY + extra

        backend = Backend(replies)
        async with running_ingress(backend) as (_, client, _):
            assert [await client.call() for _ in range(3)] == [b"value"] * 3
            assert backend.opened == 3

    run(scenario())


def test_a_duplicate_reply_closes_the_connection() -> None:
    async def scenario() -> None:
        async def replies_twice(args: list[bytes]) -> bytes | None:
            return (await reply_served(args) or b"") * 2

        backend = Backend(replies_twice)
        async with running_ingress(backend) as (_, client, _):
            assert [await client.call() for _ in range(2)] == [b"value", b"value"]
            assert backend.opened == 2

    run(scenario())


def test_a_duplicate_reply_that_arrives_late_is_not_taken_for_the_next_reply() -> None:
    async def scenario() -> None:
        async def replies(args: list[bytes]) -> bytes | None:
            # The first connection sends a second reply while the second attempt is in flight.
            if len(backend.received_commands) == 2:
                backend.writers[0].write(VALUE_REPLY)
                await asyncio.sleep(0.02)
            return VALUE_REPLY.replace(b"value", b"val-%d" % len(backend.received_commands))

        backend, clock = Backend(replies), ManualClock()
        async with running_ingress(backend, clock=clock) as (_, client, _):
            assert await client.call() == b"val-1"
            clock.advance(connection_pool.REUSE_DELAY_MS - 1)
            assert await client.call() == b"val-2"
            clock.advance(connection_pool.REUSE_DELAY_MS)
            # The second connection has been idle long enough by now and is not broken.
            assert [await client.call(), backend.opened] == [b"val-3", 2]

    run(scenario())


def test_a_connect_timeout_ends_the_attempt_as_unreachable() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend()) as (ingress, _, _):
            with socket.socket() as full_listener:
                full_listener.bind(("127.0.0.1", 0))
                full_listener.listen(0)
                port = full_listener.getsockname()[1]
                # Fill the accept queue, so that further connections cannot be established.
                queue_fillers = [socket.socket() for _ in range(4)]
                for filler in queue_fillers:
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port))
                ingress.endpoints.apply(message(2, target("s-9", port)))
                outcomes = collect_outcomes(ingress)
                ingress.connection_pool.start(new_attempt(ingress, backend=2))
                await until(lambda: outcomes)
                assert [outcome for _, outcome in outcomes] == [Outcome.UNREACHABLE]
                assert outcomes[0][0].started_ms + 250 <= Clock().now()
                for filler in queue_fillers:
                    filler.close()

    run(scenario())


def test_ending_an_attempt_closes_only_its_own_connection() -> None:
    async def scenario() -> None:
        backend = Backend(never_replies)
        async with running_ingress(backend) as (ingress, _, _):
            outcomes = collect_outcomes(ingress)
            attempts = [new_attempt(ingress) for _ in range(2)]
            for attempt in attempts:
                ingress.connection_pool.start(attempt)
            await until(lambda: len(backend.received_commands) == 2)
            ingress.connection_pool.end(attempts[0], Outcome.TIMEOUT)
            await until(lambda: backend.closed == 1)
            assert outcomes == [(attempts[0], Outcome.TIMEOUT)]
            assert (backend.opened, len(ingress.connection_pool)) == (2, 1)

    run(scenario())
