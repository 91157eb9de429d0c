"""Clients that disconnect: none of their attempts starts later, even if the event loop is slow."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from dockthread.config.quantities import Duration
from dockthread.net import resp
from dockthread.routes.options import RouteOptions
from dockthread.routes.table import RouteTable
from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Backend,
    command,
    message,
    request,
    run,
    running_ingress,
    target,
    until,
)
from tests.net.support import (
    never_replies,
    pinged_socket,
    replies_failed,
    reset_on_close,
    slow_event_loop,
)


def disconnect_after_a_pipeline(sock: socket.socket) -> None:
    sock.sendall(b"".join(request(n) for n in range(1, 60)))


def disconnect_after_a_flood(sock: socket.socket) -> None:
    """Send so much that the ingress has to read all of it before it notices the close.

    The first attempt fails after the close, and must not be retried.
    """
    sock.sendall(request(1) + command(b"QUIT") + b"x" * 9_000_000)


def disconnect_after_one_request(sock: socket.socket) -> None:
    sock.sendall(request(1))


@pytest.mark.parametrize("extra_iteration_s", [0.0, 0.05])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize(
    "disconnect",
    [disconnect_after_one_request, disconnect_after_a_pipeline, disconnect_after_a_flood],
)
def test_no_attempt_starts_more_than_a_tenth_of_a_second_after_its_client_disconnected(
    disconnect: Callable[[socket.socket], None],
    is_reset: bool,
    extra_iteration_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = list[float]()
    encode_for_backend = resp.RequestCommand.encode_for_backend

    def record_start(command: resp.RequestCommand, time_left_ms: float) -> bytes:
        started_at.append(time.monotonic())
        return encode_for_backend(command, time_left_ms)

    async def replies_busy_late(args: list[bytes]) -> bytes | None:
        await asyncio.sleep(
            max(0.0, disconnected_at[0] + 0.11 - time.monotonic()) if disconnected_at else 0.2
        )
        return b"-BUSY\r\n"

    monkeypatch.setattr(resp.RequestCommand, "encode_for_backend", record_start)
    disconnected_at = list[float]()

    def client(port: int) -> None:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            if is_reset:
                reset_on_close(sock)
            with suppress(ConnectionError):  # the ingress may disconnect a flooding client
                disconnect(sock)
        disconnected_at.append(time.monotonic())

    async def scenario() -> None:
        async with running_ingress(*(Backend(replies_busy_late) for _ in range(4))) as (
            ingress,
            _,
            _,
        ):
            with slow_event_loop(extra_iteration_s):
                await asyncio.to_thread(client, ingress.address.port)
                await asyncio.sleep(0.5)
            assert not [
                at - disconnected_at[0] for at in started_at if at > disconnected_at[0] + 0.1
            ]

    run(scenario())


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("awaited", ["a backend", "the counter", "a backoff"])
def test_a_waiting_request_is_not_forwarded_after_its_client_disconnected(
    awaited: str, is_reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request could proceed 0.1 s after its client disconnected, but must not be forwarded.

    Each iteration of the event loop takes 50 ms longer, so the close is noticed late.
    """

    async def scenario() -> None:
        backend = Backend(replies_failed)
        other = Backend(replies_failed)
        counter = Backend(never_replies)
        changes: dict[str, Any] = {"counter": f"127.0.0.1:{await counter.start()}"}
        changes["settings"] = SETTINGS | {
            "Packages": [GROSS_PLAN | {"Refill": 10.0, "PeakUnits": 3.0}],
            "Domain": SETTINGS["Domain"]
            | {"MayCount": awaited == "the counter", "CounterTimeout": 10_000_000},
        }
        backends = (backend, other) if awaited == "a backoff" else (backend,)
        async with running_ingress(*backends, **changes) as (ingress, _, discovery):
            port = backend.server.sockets[0].getsockname()[1]
            if awaited == "a backend":
                discovery.push(message(2, target("s-0", port, "leaving")))
                await until(lambda: ingress.endpoints.revision == 2)
            if awaited == "a backoff":
                table = RouteTable(ingress.config.names, ingress.config.policy_settings.zone, 1)
                retry_after_backoff = RouteOptions(
                    backoff=Duration(300), backoff_max=Duration(300), retry_floor=100.0
                )
                table.replace({"r": retry_after_backoff}, ingress.clock.now() / 1000.0)
                ingress.routes = table
                monkeypatch.setattr(table.usage_by_route["r"].rng, "uniform", lambda a, b: b)
            with pinged_socket(ingress) as sock:
                sock.sendall(request(1))
                await until(
                    lambda: (
                        ingress.requests
                        and (
                            awaited != "a backoff"
                            or backend.received_commands
                            or other.received_commands
                        )
                    )
                )
                await until(lambda: awaited != "the counter" or counter.received_commands)
                if is_reset:
                    reset_on_close(sock)
            before = ingress.traffic.attempts_started
            with slow_event_loop(0.05):
                await asyncio.sleep(0.1)
                if awaited == "a backend":
                    discovery.push(message(3, target("s-0", port)))
                for writer in counter.writers:
                    writer.write(b"$1\r\n2\r\n")
                await asyncio.sleep(0.4)
            assert (
                ingress.traffic.attempts_started == before == (awaited == "a backoff")
                and not ingress.requests
            )

    run(scenario())
