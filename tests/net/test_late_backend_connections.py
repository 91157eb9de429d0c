"""Backend connections that are established late, when backend or client may have changed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.policy import Outcome
from tests.loopback import Backend, message, request, run, running_ingress, target, until
from tests.net.support import collect_outcomes, new_attempt, with_limits


class LateBackend(Backend):
    """A backend whose accept queue is full until `become_reachable`.

    A connection to it is established only when the system retries the handshake.
    """

    async def start(self) -> int:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        address = self.socket.getsockname()
        self.queue_fillers = [socket.socket() for _ in range(4)]
        for sock in self.queue_fillers:
            sock.setblocking(False)
            sock.connect_ex(address)
        return int(address[1])

    async def become_reachable(self) -> None:
        for sock in self.queue_fillers:
            sock.close()
        self.server = await asyncio.start_server(self._serve, sock=self.socket)


def moved(backend: LateBackend) -> dict[str, Any]:
    return target("s-0", 9)


def draining_target(backend: LateBackend) -> dict[str, Any]:
    return target("s-0", backend.socket.getsockname()[1], "leaving")


def restarted_target(backend: LateBackend) -> dict[str, Any]:
    return target("s-0", backend.socket.getsockname()[1], boot_ms=5_000)


@pytest.mark.parametrize("change", [moved, draining_target, restarted_target, None])
def test_a_connection_established_late_sends_nothing_to_a_backend_that_changed(
    change: Callable[[LateBackend], dict[str, Any]] | None,
) -> None:
    async def scenario() -> None:
        backend, clock = LateBackend(), ManualClock()
        async with running_ingress(backend, clock=clock) as (ingress, _, discovery):
            outcomes = collect_outcomes(ingress)
            attempt = new_attempt(ingress)
            if change is None:  # a retry of an attempt that may have run, now past its deadline
                attempt.start_deadline_ms = clock.now() + 100
            ingress.connection_pool.start(attempt)
            clock.advance(101)
            if change is not None:
                discovery.push(message(2, change(backend)))
                await until(lambda: ingress.endpoints.revision == 2)
            await backend.become_reachable()
            await until(lambda: outcomes or backend.received_commands)
            assert [outcome for _, outcome in outcomes] == [
                Outcome.NOT_SENT
            ] and not backend.received_commands

    run(scenario())


@pytest.mark.parametrize("cancels_attempts", [False, True])
def test_a_request_whose_client_disconnected_while_connecting_is_not_forwarded(
    cancels_attempts: bool,
) -> None:
    async def scenario() -> None:
        backend = LateBackend()
        async with running_ingress(
            backend, clock=ManualClock(), settings=with_limits(Cancelling=cancels_attempts)
        ) as (ingress, client, _):
            client.writer.write(request(1))
            await until(lambda: len(ingress.connection_pool))
            client.writer.close()
            await until(lambda: ingress.client_connection_count == 0)
            await backend.become_reachable()
            await until(lambda: backend.received_commands or not len(ingress.connection_pool))
            assert not backend.received_commands and not ingress.requests

    run(scenario())
