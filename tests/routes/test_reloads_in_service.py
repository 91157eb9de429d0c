"""Reloads of routes and of class effects in a running ingress under load."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    target,
    until,
)
from tests.routes.routed_ingress import (
    CHECKOUT,
    ERROR,
    OK,
    STATUS,
    CountingBackend,
    answers_after,
    answers_with,
    replace_routes,
    routed_ingress,
)
from tests.test_daemon import start_program, wait_until_ready

ROOT = Path(__file__).parents[2]
# Latency objective and deadline in microseconds. They are so long that 150 unanswered requests do
# not count as an overload, even on a slow machine.
LONG_TIMES = {"Aim": 30_000_000, "HardLimit": 30_000_000}


def settings_with_status_effect(effect: str) -> dict[str, Any]:
    """Return settings that allow hedges and a high load; `effect` is that of the class status."""
    status, checkout = (dict(request_class, **LONG_TIMES) for request_class in SETTINGS["Classes"])
    return {
        **SETTINGS,
        "Limits": {**SETTINGS["Limits"], "SecondCopies": True},
        "Packages": [GROSS_PLAN | {"Refill": 1e5, "PeakUnits": 1e5}],
        "Classes": [dict(status, Effect=effect), checkout],
    }


def arrivals_at(backends: list[CountingBackend]) -> Counter[bytes]:
    """Return how often each request arrived, summed over all backends."""
    return sum((backend.arrivals for backend in backends), Counter[bytes]())


async def clients_with_requests(port: int) -> list[Client]:
    """Return four clients, each of which has sent 50 requests."""
    clients = [await Client.open(port) for _ in range(4)]
    for number, client in enumerate(clients):
        client.next_request_id += (number + 1) * 1000
        for _ in range(50):
            client.send_request(d=6000)
    return clients


def test_requests_of_a_class_that_becomes_unsafe_are_not_retried(tmp_path: Path) -> None:
    """A reload by SIGHUP makes the class unsafe while 200 requests are open or answered.

    A request may already have run when its class becomes unsafe. If the ingress retried it by the
    rules of its arrival, it would take effect twice. The requests are in flight, in a backoff, or
    answered at the time of the reload.
    """
    config = tmp_path / "config.json"
    file = tmp_path / "my.ini"

    async def scenario() -> None:
        is_unsafe = asyncio.Event()

        async def answer_by_number(args: list[bytes]) -> bytes | None:
            number = int(args[2], 16)
            if number % 4 == 0:
                return OK
            if number % 4 == 1:
                return ERROR  # the request then waits in a backoff
            await is_unsafe.wait()
            return ERROR if number % 4 == 2 else None

        backends = [CountingBackend(answer_by_number) for _ in range(3)]
        discovery = Discovery()
        targets = [
            target(f"s-{number}", await backend.start()) for number, backend in enumerate(backends)
        ]
        endpoints = message(1, *targets, full=True)
        discovery_port = await discovery.start()

        def write_files(effect: str, text: str) -> None:
            settings = settings_with_status_effect(effect)
            config.write_text(json.dumps(raw_config(endpoints, discovery_port, settings=settings)))
            file.write_text(text)

        backoff = "backoff = 2s\nbackoff_max = 2s\n"
        budget = "retry_floor = 1000\nretry_budget = 1\n"
        write_files("pure", STATUS + "attempts = 4\n" + backoff + budget)
        environ = {"NODE_CONFIG": str(config), "DOCKTHREAD_CONFIG": str(file)}
        with start_program("-m", "dockthread", address_label="listens on", **environ) as (
            process,
            address,
        ):
            await wait_until_ready(address)
            port = int(address.rsplit(":")[-1])
            clients = await clients_with_requests(port)
            # Each request has arrived at a backend. After an error, its second attempt may also
            # have arrived.
            await until(lambda: len(arrivals_at(backends)) == 200)
            write_files("side_effect", STATUS + "attempts = 1\nretry_on =\n")
            process.send_signal(signal.SIGHUP)
            assert process.stdout is not None
            while "configuration read again" not in await asyncio.to_thread(
                process.stdout.readline
            ):
                assert process.poll() is None
            await asyncio.sleep(0.3)  # lets attempts that were sent before the reload arrive
            arrivals_before = arrivals_at(backends)
            is_unsafe.set()
            replies = [await client.answer() for client in clients for _ in range(50)]
            assert len(replies) == 200
            assert all(reply is not None for reply in replies)
            assert arrivals_at(backends) == arrivals_before, (
                "no request that may have run is retried after the reload"
            )
            # The class now consists of writes, which need the other command.
            new_client = await Client.open(port)
            new_client.next_request_id += 9000
            new_client.send_request()
            assert "other command" in await new_client.answer()
            for client in (new_client, *clients):
                client.send(b"PING")
                assert await client.answer() == b"PONG", "each request gets exactly one answer"

    run(scenario())


def test_reloads_under_load_fail_no_request() -> None:
    async def scenario() -> None:
        plans = [GROSS_PLAN | {"Refill": 100.0, "PeakUnits": 1e6}]
        settings = {**SETTINGS, "Packages": plans}
        answers = (answers_after(0.002), answers_after(0.002))
        async with routed_ingress(STATUS + "attempts = 2\n", *answers, settings=settings) as (
            ingress,
            _,
            _,
        ):
            is_finished = asyncio.Event()

            async def send_requests(number: int) -> int:
                client = await Client.open(ingress.address.port)
                client.next_request_id += number << 20
                served = 0
                while not is_finished.is_set():
                    assert await client.call() == b"value"
                    served += 1
                return served

            sending = [asyncio.create_task(send_requests(number)) for number in range(1, 5)]
            for number in range(100):
                keys = f"attempts = {1 + number % 4}\nlimit = {20 + number}\n"
                table = replace_routes(ingress, f"{STATUS}{keys}[route x{number}]\nplan = gross\n")
                await asyncio.sleep(0.005)
            is_finished.set()
            assert min(await asyncio.gather(*sending)) > 10
            assert set(table.usage_by_route) == {"s", "x99"}, (
                "the usage of removed routes is deleted"
            )

    run(scenario())


async def start_and_read_errors(environ: dict[str, str]) -> str:
    """Start the program, which must exit with code 2, and return its standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dockthread", env=environ, stderr=asyncio.subprocess.PIPE, cwd=ROOT
    )
    assert process.stderr is not None
    errors = (await process.stderr.read()).decode()
    assert await process.wait() == 2
    return errors


def test_an_invalid_route_aborts_startup_and_leaves_routes_unchanged_on_reload(
    tmp_path: Path,
) -> None:
    file = tmp_path / "my.ini"
    file.write_text(CHECKOUT + "retry_on = timeout\n")

    async def scenario() -> None:
        discovery = Discovery()
        backend = CountingBackend(answers_with(ERROR))
        endpoints = message(1, target("s", await backend.start()), full=True)
        config = tmp_path / "config.json"
        config.write_text(json.dumps(raw_config(endpoints, await discovery.start())))
        environ = {"NODE_CONFIG": str(config), "DOCKTHREAD_CONFIG": str(file)}
        errors = await start_and_read_errors(environ)
        assert errors.count("\n") == 1
        assert "[route c] retry_on: timeout would repeat" in errors
        file.write_text(CHECKOUT + "attempts = 1\n")
        with start_program("-m", "dockthread", address_label="listens on", **environ) as (
            daemon,
            address,
        ):
            await wait_until_ready(address)
            file.write_text(CHECKOUT + "copies = yes\n")
            daemon.send_signal(signal.SIGHUP)
            assert daemon.stdout is not None
            line = ""
            while "old configuration stays" not in line:
                line = await asyncio.to_thread(daemon.stdout.readline)
                assert daemon.poll() is None
            assert "[route c] copies: yes would run a request twice" in line
            client = await Client.open(int(address.rsplit(":")[-1]))
            assert (await client.call("checkout")).startswith("ERR")
            assert backend.attempts == 1

    run(scenario())
