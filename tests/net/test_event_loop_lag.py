"""A request that is read late is judged by the time left to it: the loop is held, and each answer
is in time.
"""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from dockthread.net.event_loop_lag import AcceptBacklog, EventLoopLagMonitor
from tests.loopback import KEY, Backend, command, run, serving

# s: the loop is held for; the client waits; a slow machine may take
HELD, TIME, SLACK = 0.5, 1.0, 0.25


def read(ms: int) -> bytes:
    return command(
        b"API.READ", KEY, b"%016x" % 1, b"c=status,t=gross,d=%d,units=1,spread=3,first=1" % ms
    )


async def never(args: list[bytes]) -> bytes | None:
    await asyncio.sleep(30)
    return None


@pytest.mark.parametrize(
    "known", [True, False], ids=["on an open connection", "on one not accepted yet"]
)
def test_a_request_that_came_while_the_loop_was_held_is_answered_in_its_own_time(
    known: bool,
) -> None:
    async def scenario() -> None:
        async with serving(Backend(never), Backend(never)) as (ingress, _, _):
            loop = asyncio.get_running_loop()
            with socket.socket() as sock:
                sock.connect(("127.0.0.1", ingress.address.port))
                if known:
                    await asyncio.sleep(0.1)
                sock.sendall(read(int(TIME * 1000)))
                sent = time.monotonic()
                time.sleep(HELD)  # the loop stands, as in a burst of other work
                sock.setblocking(False)
                answer = await loop.sock_recv(sock, 100)
                took = time.monotonic() - sent
            assert answer.startswith((b"-BUSY", b"-ERR"))
            assert took < TIME + SLACK, (
                "counted from when it was read it would be the time and the stall"
            )

    run(scenario())


def test_what_came_too_long_ago_is_refused_unsent() -> None:
    async def scenario() -> None:
        async with serving(Backend(never)) as (ingress, _, _):
            with socket.socket() as sock:
                sock.connect(("127.0.0.1", ingress.address.port))
                await asyncio.sleep(0.1)
                sock.sendall(read(int(HELD * 1000)))
                time.sleep(HELD)
                sock.setblocking(False)
                answer = await asyncio.get_running_loop().sock_recv(sock, 100)
            assert answer.startswith(b"-BUSY")
            assert ingress.traffic.attempts_started == 0

    run(scenario())


def test_the_bound_is_the_beat_before_the_last_or_the_last_empty_backlog() -> None:
    loop_delay, backlog = EventLoopLagMonitor(0.0), AcceptBacklog()
    for now in (10.0, 20.0):
        loop_delay.record_heartbeat(now)
    assert (
        loop_delay.earliest_arrival_ms,
        loop_delay.lag_ms(loop_delay.earliest_arrival_ms, 25.0),
    ) == (10.0, 0.0), "nothing held the loop"
    assert loop_delay.lag_ms(loop_delay.earliest_arrival_ms, 60.0) == 50.0, (
        "the beat has not rung, and so held it is"
    )
    loop_delay.record_heartbeat(520.0)
    assert loop_delay.lag_ms(loop_delay.earliest_arrival_ms, 521.0) == 501.0
    backlog.mark_not_empty(loop_delay)
    loop_delay.record_heartbeat(530.0)
    loop_delay.record_heartbeat(540.0)
    assert loop_delay.lag_ms(loop_delay.earliest_arrival_ms, 541.0) == 0.0
    assert loop_delay.lag_ms(backlog.earliest_arrival_ms(loop_delay), 541.0) == 521.0, (
        "it was not taken since"
    )
    backlog.mark_empty()
    assert backlog.earliest_arrival_ms(loop_delay) == 530.0
