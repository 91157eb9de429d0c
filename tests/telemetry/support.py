"""Load generators, processes and receivers for telemetry tests over sockets."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import product
from pathlib import Path
from typing import Any

from dockthread.clock import Clock
from dockthread.section_registry import parse_operator_file
from dockthread.telemetry.collectd import PacketDecoder
from dockthread.telemetry.exporter import Exporter
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import StandIn
from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    running_ingress,
    target,
)

ROOT = Path(__file__).parents[2]
PROTOCOLS = ("plaintext", "pickle", "collectd", "putval")
PASSWORD = b"a password of the test's own"
# Plan klein has so small a quota that some requests are rejected, so all three outcomes occur.
PLANS = [
    GROSS_PLAN,
    GROSS_PLAN | {"Name": "klein", "Refill": 1.0, "PeakUnits": 4.0},
]

ResponseCounts = Counter[tuple[str, str, str]]


def operator_file(
    stand_in: StandIn, folder: Path, interval: str = "200ms", **telemetry_settings: str
) -> str:
    """Return an operator's file with all receivers and settings of the section `[telemetry]`."""
    addresses = stand_in.addresses
    sections = [f"[telemetry]\ninterval = {interval}\n"]
    sections += [f"{key} = {value}\n" for key, value in telemetry_settings.items()]
    for protocol in ("plaintext", "pickle"):
        if protocol in addresses:
            sections.append(
                f"[graphite {protocol}]\naddress = {addresses[protocol]}\nprotocol = {protocol}\n"
            )
    if "collectd" in addresses:
        (folder / "password").write_bytes(PASSWORD + b"\n")
        security_settings = (
            f"security = encrypt\nuser = ops\npassword_file = {folder / 'password'}\n"
        )
        sections.append(
            f"[collectd packets]\naddress = {addresses['collectd']}\n{security_settings}"
        )
    if "putval" in addresses:
        sections.append(f"[collectd lines]\naddress = unix:{addresses['putval']}\n")
    return "".join(sections)


@asynccontextmanager
async def running_stand_in(folder: Path, *protocols: str) -> AsyncIterator[tuple[StandIn, Ledger]]:
    """Run a stand-in receiver for the protocols, on the loopback interface."""
    ledger = Ledger()
    stand_in = StandIn(ledger, PacketDecoder("encrypt", {"ops": PASSWORD}))
    addresses = {name: "127.0.0.1:0" for name in protocols if name != "putval"}
    if "putval" in protocols:
        addresses["putval"] = str(folder / "s")
    await stand_in.start(**addresses)
    try:
        yield stand_in, ledger
    finally:
        stand_in.stop()
        ledger.close()


def response_series_name(protocol: str, request_class: str, plan: str, outcome: str) -> str:
    """Return the name of the series that holds the number of responses, for a protocol."""
    if protocol in ("plaintext", "pickle"):
        return f"dockthread.n0.answers.{request_class}.{plan}.{outcome}"
    return f"n0/dockthread-answers/derive-{request_class}.{plan}.{outcome}"


def response_totals(ledger: Ledger, protocol: str) -> dict[tuple[str, str, str], float]:
    """Return the number of responses at a receiver, by class, plan and outcome."""
    values = {total.series: total.value for total in ledger.totals() if total.source == protocol}
    keys = product(("status", "checkout"), ("gross", "klein"), ("served", "refused", "failed"))
    series_names = {key: response_series_name(protocol, *key) for key in keys}
    return {key: values[name] for key, name in series_names.items() if name in values}


async def fail_some_checkouts(args: list[bytes]) -> bytes | None:
    """Fail one in eight checkouts, which are not retried, and serve all other requests."""
    if args[0] == b"API.WRITE" and int(args[2], 16) % 8 == 1:
        return b"-ERR failed\r\n"
    return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class LoadGenerator:
    """Closed-loop clients that count the responses they receive.

    Attributes:
        responses: Number of responses by class, plan and outcome.
        requests_sent: Number of requests sent.
        max_latency: The longest time in seconds until a response.
        stopped: Whether the clients must stop sending requests.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.responses = ResponseCounts()
        self.requests_sent = 0
        self.max_latency = 0.0
        self.stopped = False

    async def run_client(self, number: int) -> None:
        """Send requests of all classes and plans until the load is stopped."""
        with suppress(OSError):
            client = await Client.open(self.port)
            while not self.stopped:
                self.requests_sent += 1
                request_class = ("status", "checkout")[self.requests_sent % 2]
                plan = ("gross", "klein")[(self.requests_sent // 2) % 2]
                verb = b"API.READ" if request_class == "status" else b"API.WRITE"
                options = f"c={request_class},t={plan},d=4000,units=1,spread=1,first=0".encode()
                customer = b"%016x" % (1000 * (plan == "klein") + number)
                started = time.monotonic()
                client.send(verb, customer, b"%016x" % (number << 32 | self.requests_sent), options)
                response = await client.answer()
                if response is None:
                    return
                self.max_latency = max(self.max_latency, time.monotonic() - started)
                self.responses[request_class, plan, response_outcome(response)] += 1


def response_outcome(response: object) -> str:
    """Return the outcome of a response, as named in the paths of the metrics."""
    if isinstance(response, bytes):
        return "served"
    is_rejected = isinstance(response, str) and response.startswith("BUSY")
    return "refused" if is_rejected else "failed"


@asynccontextmanager
async def ingress_launcher(folder: Path) -> AsyncIterator[tuple[Callable[[], Any], Discovery]]:
    """Run a backend and discovery, and yield a function that starts an ingress process."""
    backend = Backend(fail_some_checkouts)
    discovery = Discovery()
    endpoint_list = message(1, target("s-0", await backend.start()), full=True)
    config = folder / "config.json"
    settings = {**SETTINGS, "Packages": PLANS}
    config.write_text(
        json.dumps(raw_config(endpoint_list, await discovery.start(), settings=settings))
    )

    async def start_ingress() -> tuple[asyncio.subprocess.Process, int]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dockthread", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(config), "DOCKTHREAD_CONFIG": str(folder / "my.ini")},
        )  # fmt: skip
        assert process.stderr is not None
        while b"listens on" not in (line := await process.stderr.readline()):
            assert line, "the process exited before it listened"
        return process, int(line.rsplit(b":", 1)[1])

    yield start_ingress, discovery


async def run_load(port: int, seconds: float, terminate: Callable[[], None]) -> LoadGenerator:
    """Run eight clients, call `terminate` after `seconds`, and wait for the clients to end."""
    load = LoadGenerator(port)
    clients = [asyncio.create_task(load.run_client(number)) for number in range(8)]
    await asyncio.sleep(seconds)
    terminate()
    await asyncio.wait(clients, timeout=20)
    load.stopped = True
    return load


@asynccontextmanager
async def running_exporter(
    folder: Path,
    *protocols: str,
    clock: Clock | None = None,
    interval: str = "200ms",
    **changes: Any,
) -> AsyncIterator[tuple[Any, Any, Client, StandIn, Ledger]]:
    """Run an ingress with an exporter in this process, and a stand-in receiver."""
    async with running_stand_in(folder, *protocols) as (stand_in, ledger):
        settings = {**SETTINGS, "Packages": PLANS}
        async with running_ingress(
            Backend(fail_some_checkouts), clock=clock, settings=settings, **changes
        ) as (
            ingress,
            client,
            _,
        ):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file(operator_file(stand_in, folder, interval), "test"))
            try:
                yield ingress, exporter, client, stand_in, ledger
            finally:
                await exporter.shutdown()
