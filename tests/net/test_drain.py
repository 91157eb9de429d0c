"""The drain of an ingress: every request taken is answered, whatever settings apply by then."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dockthread.clock import ManualClock
from dockthread.net.ingress import LINGER_MS
from dockthread.net.lifecycle import Phase
from tests.loopback import SETTINGS, request, run, running_ingress, until
from tests.net.support import GatedBackend, no_free_descriptor, reload_settings, stop_until

SHORT_DEADLINE_MS = 2_000
SHORTER_DEADLINES = SETTINGS | {
    "Classes": [
        request_class | {"Aim": 1_500_000, "HardLimit": SHORT_DEADLINE_MS * 1_000}
        for request_class in SETTINGS["Classes"]
    ]
}


@pytest.mark.parametrize("reload_in", [Phase.SERVING, Phase.LINGERING, Phase.DRAINING])
def test_a_request_is_answered_in_a_drain_after_deadlines_were_shortened(reload_in: Phase) -> None:
    """Guards against a drain that closes requests by deadlines that are newer than the requests."""

    async def scenario() -> None:
        clock, backend = ManualClock(), GatedBackend()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.writer.write(request(1, "checkout", d=12_000))
            await until(lambda: backend.received_commands)
            for phase in (Phase.SERVING, Phase.LINGERING, Phase.DRAINING):
                if phase is not Phase.SERVING:
                    await stop_until(ingress, clock, phase)
                if phase is reload_in:
                    reload_settings(ingress, SHORTER_DEADLINES)
            for _ in range(2):  # past the end of a drain that goes by the new deadlines
                clock.advance(SHORT_DEADLINE_MS + LINGER_MS)
                ingress.timers.run_due()
                await asyncio.sleep(0.01)
            assert ingress.client_connection_count == 1
            backend.may_reply.set()
            assert await client.answer() == b"value"
            assert await client.answer() is None
            client.writer.close()
            await until(lambda: ingress.lifecycle.phase is Phase.STOPPED)

    run(scenario())


def test_a_request_with_a_longer_deadline_than_its_class_is_answered_in_a_drain() -> None:
    """Guards against a drain that is shorter than the deadline that came with a request."""

    async def scenario() -> None:
        clock, backend = ManualClock(), GatedBackend()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.writer.write(request(1, "checkout", d=60_000))
            await until(lambda: backend.received_commands)
            await stop_until(ingress, clock, Phase.DRAINING)
            clock.advance(30_000)
            ingress.timers.run_due()
            await asyncio.sleep(0.01)
            backend.may_reply.set()
            assert await client.answer() == b"value"

    run(scenario())


def test_a_request_whose_backend_hangs_fails_at_its_own_deadline_in_a_drain() -> None:
    """Guards against a drain that ends before the last request got its final answer."""

    async def scenario() -> None:
        clock, backend = ManualClock(), GatedBackend()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.writer.write(request(1, "checkout", d=12_000))
            await until(lambda: backend.received_commands)
            reload_settings(ingress, SHORTER_DEADLINES)
            await stop_until(ingress, clock, Phase.DRAINING)
            answer = asyncio.create_task(client.answer())
            while not answer.done():
                clock.advance(100)
                ingress.timers.run_due()
                await asyncio.sleep(0.001)
            assert str(answer.result()).startswith("ERR")

    run(scenario())


def test_a_request_is_answered_in_a_drain_that_begins_without_a_free_descriptor() -> None:
    """Guards against an error of the last accept that ends the process under its requests."""

    async def scenario() -> None:
        clock, backend = ManualClock(), GatedBackend()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            client.writer.write(request(1, "checkout"))
            await until(lambda: backend.received_commands)
            await stop_until(ingress, clock, Phase.LINGERING)
            with (
                socket.create_connection(("127.0.0.1", ingress.address.port)),
                no_free_descriptor(),
            ):
                # The event loop has not run since this client connected, so it waits in the queue.
                await stop_until(ingress, clock, Phase.DRAINING)
                backend.may_reply.set()
                assert await client.answer() == b"value"

    run(scenario())
