"""Requests in flight: retries, deadlines, rejections, faults, and concurrent events."""

from __future__ import annotations

import asyncio
from itertools import permutations
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.net.lifecycle import Phase
from dockthread.policy import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Event,
    Outcome,
    Reject,
    RequestArrived,
    SendAttempt,
    TimerFired,
)
from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Backend,
    message,
    request,
    run,
    running_ingress,
    target,
    until,
)
from tests.net.support import (
    UNREACHED_DEADLINE_MS,
    VALUE_REPLY,
    closes_connection,
    never_replies,
    pinged_socket,
    replies_failed,
    reset_on_close,
)


@pytest.mark.parametrize(
    ("kind", "answer", "expected", "expected_attempts"),
    [
        ("checkout", closes_connection, "ERR failed", 1),
        ("checkout", replies_failed, "ERR failed", 1),
        ("status", closes_connection, "BUSY 375", 4),
    ],
)
def test_an_attempt_that_may_have_run_is_retried_only_if_the_request_is_idempotent(
    kind: str, answer: Any, expected: str, expected_attempts: int
) -> None:
    async def scenario() -> None:
        backends = [Backend(answer) for _ in range(4)]
        async with running_ingress(*backends) as (_, client, _):
            assert await client.call(kind) == expected
            assert sum(len(backend.received_commands) for backend in backends) == expected_attempts

    run(scenario())


def test_the_attempts_of_a_client_that_disconnects_are_cancelled() -> None:
    async def scenario() -> None:
        backend = Backend(never_replies)
        async with running_ingress(backend) as (ingress, client, _):
            client.send_request(d=UNREACHED_DEADLINE_MS)
            await until(lambda: backend.received_commands)
            client.writer.close()
            await until(lambda: backend.closed == 1 and not ingress.requests)

    run(scenario())


def test_a_request_without_a_reply_fails_by_its_deadline() -> None:
    async def scenario() -> None:
        backend, clock = Backend(never_replies), ManualClock()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.send_request("checkout", d=2000)
            await until(lambda: backend.received_commands)
            # The request ends 13 ms before its deadline: 8 ms for the policy engine's two clock
            # ticks, and 5 ms for the transit.
            clock.advance(1988)
            ingress.timers.run_due()
            assert await client.answer() == "ERR failed"  # it may have run, so not -BUSY
            await until(lambda: backend.closed == 1 and not ingress.requests)

    run(scenario())


def test_rejections_advise_a_retry_delay_of_at_most_the_maximum() -> None:
    async def scenario() -> None:
        plan = GROSS_PLAN | {"Refill": 0.001, "PeakUnits": 1.0}
        backend = Backend()
        async with running_ingress(backend, settings=SETTINGS | {"Packages": [plan]}) as (
            _,
            client,
            _,
        ):
            responses = {
                kind: {await client.call(kind) for _ in range(3)} for kind in ("status", "checkout")
            }
            assert {a for a in responses["status"] if a != b"value"} == {"BUSY 375"}
            assert {a for a in responses["checkout"] if a != b"value"} == {"BUSY 500"}

    run(scenario())


@pytest.mark.parametrize(("kind", "sent"), [("status", False), ("checkout", True)])
def test_a_fault_in_the_policy_engine_fails_only_one_request(kind: str, sent: bool) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with running_ingress(backend) as (ingress, client, _):
            handle = ingress.engine.handle

            def fail_at_a_request(now: float, event: Event) -> list[Action]:
                if not isinstance(event, RequestArrived):
                    return handle(now, event)  # a timer may fire before the request
                ingress.engine.handle = handle  # type: ignore[method-assign]
                if sent:
                    handle(now, event)  # the actions are then available only in `engine.actions`
                raise RuntimeError("fault injected by the test")

            ingress.engine.handle = fail_at_a_request  # type: ignore[method-assign]
            # The response must not be -BUSY, because an attempt may be in flight.
            assert await client.call(kind, d=UNREACHED_DEADLINE_MS) == "ERR failed"
            assert await client.call(kind) == b"value"
            await until(lambda: not ingress.requests)

    run(scenario())


@pytest.mark.parametrize(
    "order", list(permutations(("answer", "close", "signal", "list"))), ids="-".join
)
def test_a_request_runs_once_and_is_answered_once_in_any_order_of_concurrent_events(
    order: tuple[str, ...],
) -> None:
    async def scenario() -> None:
        may_reply, clock, responses = asyncio.Event(), ManualClock(), list[Any]()

        async def reply_later(args: list[bytes]) -> bytes | None:
            await may_reply.wait()
            return VALUE_REPLY

        async def answer() -> None:
            may_reply.set()
            if order.index("answer") < order.index("close"):
                responses.append(await client.answer())

        async def close() -> None:
            client.writer.close()
            await until(lambda: ingress.client_connection_count == 0)

        async def signal() -> None:
            ingress.stop()
            await until(lambda: ingress.lifecycle.phase is Phase.LINGERING)
            while not ingress.draining:
                clock.advance(50)
                ingress.timers.run_due()
                await asyncio.sleep(0.001)

        async def changes() -> None:
            leaving_target = target("s-0", backend.server.sockets[0].getsockname()[1], "leaving")
            discovery.push(message(2, leaving_target))
            await until(
                lambda: ingress.endpoints.revision == 2 or ingress.lifecycle.phase is Phase.STOPPED
            )

        steps = {"answer": answer, "close": close, "signal": signal, "list": changes}
        backend = Backend(reply_later)
        async with running_ingress(backend, clock=clock) as (ingress, client, discovery):
            client.writer.write(request(1, "checkout"))
            await until(lambda: backend.received_commands)
            for step in order:
                await steps[step]()
            await until(lambda: ingress.lifecycle.phase is Phase.STOPPED and not ingress.requests)
            assert responses == [b"value"] * (order.index("answer") < order.index("close"))
            assert len(backend.received_commands) == 1
            await until(lambda: backend.closed == 1)  # an attempt without a client is cancelled

    run(scenario())


def test_a_client_reset_noticed_during_a_decision_leaves_no_attempt_without_an_outcome() -> None:
    """One policy decision rejects a request and starts an attempt for another of the same client.

    Sending the rejection reveals that the client has reset the connection. The attempt starts after
    that and must still end with exactly one outcome.
    """

    async def scenario() -> None:
        settings = SETTINGS | {"Safety": SETTINGS["Safety"] | {"StopSendingWithin": 1_000_000}}
        changes: dict[str, Any] = {
            "clock": ManualClock(),
            "settings": settings,
            "wait": False,
        }
        async with running_ingress(Backend(never_replies), **changes) as (ingress, _, _):
            with pinged_socket(ingress) as sock:
                reset_on_close(sock)
                sock.sendall(request(1) + request(2))
                # Both requests are queued, because there is no endpoint list yet.
                await until(lambda: len(ingress.requests) == 2)
                first, second = ingress.requests.by_number
            events, handle_in_engine = list[Event](), ingress.engine.handle

            def handle(now: float, event: Event) -> list[Action]:
                events.append(event)
                if len(events) > 1:
                    return handle_in_engine(now, event)
                return [Reject(first, 0.0), SendAttempt(second, 1, 4.0)]

            ingress.engine.handle = handle  # type: ignore[method-assign]
            ingress.dispatch(TimerFired(0))  # the loop has not run since the reset
            await until(lambda: not ingress.requests)
            outcomes = [
                e.outcome for e in events if isinstance(e, AttemptEnded) and e.request == second
            ]
            assert len(outcomes) == 1 and outcomes[0] in (Outcome.NOT_SENT, Outcome.CANCELLED)
            assert [e.request for e in events if isinstance(e, ClientDisconnected)] == [second]

    run(scenario())
