"""Requests that are read late, because the event loop was blocked, are still answered in time."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from dockthread.net.event_loop_lag import AcceptBacklog, EventLoopLagMonitor
from tests.loopback import CUSTOMER_KEY, Backend, command, run, running_ingress

# In seconds: how long the loop is blocked, the client's timeout, and the tolerance for a slow
# machine.
BLOCKED_S, CLIENT_TIMEOUT_S, TOLERANCE_S = 0.5, 1.0, 0.25


def read_command(ms: int) -> bytes:
    return command(
        b"API.READ",
        CUSTOMER_KEY,
        b"%016x" % 1,
        b"c=status,t=gross,d=%d,units=1,spread=3,first=1" % ms,
    )


async def never_replies(args: list[bytes]) -> bytes | None:
    await asyncio.sleep(30)
    return None


@pytest.mark.parametrize(
    "is_accepted", [True, False], ids=["on an open connection", "on one not accepted yet"]
)
def test_a_request_that_arrived_while_the_loop_was_blocked_is_answered_within_its_timeout(
    is_accepted: bool,
) -> None:
    async def scenario() -> None:
        async with running_ingress(Backend(never_replies), Backend(never_replies)) as (
            ingress,
            _,
            _,
        ):
            loop = asyncio.get_running_loop()
            with socket.socket() as sock:
                sock.connect(("127.0.0.1", ingress.address.port))
                if is_accepted:
                    await asyncio.sleep(0.1)
                sock.sendall(read_command(int(CLIENT_TIMEOUT_S * 1000)))
                sent_at = time.monotonic()
                time.sleep(BLOCKED_S)  # blocks the event loop, like a burst of other work
                sock.setblocking(False)
                answer = await loop.sock_recv(sock, 100)
                elapsed_s = time.monotonic() - sent_at
            assert answer.startswith((b"-BUSY", b"-ERR"))
            assert elapsed_s < CLIENT_TIMEOUT_S + TOLERANCE_S, (
                "the time budget was counted from the read and not from the arrival"
            )

    run(scenario())


def test_a_request_that_arrived_too_long_ago_is_rejected_without_an_attempt() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend(never_replies)) as (ingress, _, _):
            with socket.socket() as sock:
                sock.connect(("127.0.0.1", ingress.address.port))
                await asyncio.sleep(0.1)
                sock.sendall(read_command(int(BLOCKED_S * 1000)))
                time.sleep(BLOCKED_S)
                sock.setblocking(False)
                answer = await asyncio.get_running_loop().sock_recv(sock, 100)
            assert answer.startswith(b"-BUSY")
            assert ingress.traffic.attempts_started == 0

    run(scenario())


def test_the_earliest_arrival_is_the_second_latest_heartbeat_or_the_last_empty_backlog() -> None:
    monitor, backlog = EventLoopLagMonitor(0.0), AcceptBacklog()
    for now in (10.0, 20.0):
        monitor.record_heartbeat(now)
    assert (
        monitor.earliest_arrival_ms,
        monitor.lag_ms(monitor.earliest_arrival_ms, 25.0),
    ) == (10.0, 0.0), "the loop was not blocked"
    assert monitor.lag_ms(monitor.earliest_arrival_ms, 60.0) == 50.0, (
        "without a heartbeat since 20.0 the loop was blocked"
    )
    monitor.record_heartbeat(520.0)
    assert monitor.lag_ms(monitor.earliest_arrival_ms, 521.0) == 501.0
    backlog.mark_not_empty(monitor)
    monitor.record_heartbeat(530.0)
    monitor.record_heartbeat(540.0)
    assert monitor.lag_ms(monitor.earliest_arrival_ms, 541.0) == 0.0
    assert monitor.lag_ms(backlog.earliest_arrival_ms(monitor), 541.0) == 521.0, (
        "the connection may have waited since 20.0"
    )
    backlog.mark_empty()
    assert backlog.earliest_arrival_ms(monitor) == 530.0
