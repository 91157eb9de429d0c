"""Measures the costs and effects of routes.

    python -m benchmarks.routes cpu [--rounds 150] [--requests 100]   CPU per request with 0, 1, 10 and 1,000 routes
    python -m benchmarks.routes match                                 time to match a request, by number of routes
    python -m benchmarks.routes copies [--seconds 20]                 latency with a slow node, copies off and on
    python -m benchmarks.routes refusal                               calls per request if all nodes refuse or fail
    python -m benchmarks.routes reload [--seconds 10]                 reloads per second under load, and their failures
    python -m benchmarks.routes change                                time to change one route, alone and in a file

`cpu` compares pairs as `benchmarks.telemetry` does: all variants run at once on one core, and ratios
are taken within a round.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import statistics
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import hiredis

from benchmarks.rig import (
    SERVED_ANSWER,
    IngressProcess,
    LoadResult,
    closed_loop,
    ingress_process,
    open_loop,
    pool,
    run_coroutine,
    spread_text,
)
from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import SectionKind, read_sections
from dockthread.control_plane.resource_schemas import parse_route
from dockthread.policy import Effect, Plan, PolicySettings, RequestClass
from dockthread.routes.check import check
from dockthread.routes.layers import RouteLayers
from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import RequestAttributes
from dockthread.routes.table import RouteTable

STATUS_ROUTE = "class = seat-status\nattempts = 3\nbackoff = 20ms\n"
NAMES = Names(("seat-status", "seat-checkout"), ("klein", "mittel", "gross"), (), ())

SETTINGS = PolicySettings(
    ingress_number=0,
    ingress_count=3,
    classes=(
        RequestClass(latency_objective=1.5, deadline=4.0, effect=Effect.SAFE),
        RequestClass(latency_objective=3.0, deadline=12.0, effect=Effect.UNSAFE),
    ),
    plans=(Plan(), Plan(), Plan()),
    max_attempts=4,
)


def routes_file(count: int) -> str:
    """Return an operator's file with `count` routes.

    The last route matches the benchmark's requests; the others match customers that send none.
    """
    other_routes = [
        f"[route firm-{number}]\nfirm = {number + 100_000:x}\nattempts = 2\n"
        for number in range(count - 1)
    ]
    return "".join(other_routes) + (f"[route status]\n{STATUS_ROUTE}" if count else "")


async def measure_cpu(rounds: int, requests: int) -> None:
    """Print the CPU time per request and the memory with 0, 1, 10 and 1,000 routes."""
    counts = (0, 1, 10, 1000)
    cpu_us: dict[int, list[float]] = {route_count: [] for route_count in counts}
    rates: dict[int, list[float]] = {route_count: [] for route_count in counts}
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) > 1:
        os.sched_setaffinity(0, cores[1:])
    rng = random.Random(1)
    async with AsyncExitStack() as stack:
        ingresses = {}
        for route_count in counts:
            folder = Path(stack.enter_context(TemporaryDirectory()))
            ports = await stack.enter_async_context(pool())
            ingresses[route_count] = await stack.enter_async_context(
                ingress_process(folder, ports, ini=routes_file(route_count), cpu_core=cores[0])
            )
            await closed_loop(ingresses[route_count].port, 2000)
        for _ in range(rounds):
            for route_count in rng.sample(counts, len(counts)):
                cpu_before = ingresses[route_count].cpu_s()
                result = await closed_loop(ingresses[route_count].port, requests)
                cpu_us[route_count].append(
                    (ingresses[route_count].cpu_s() - cpu_before) / len(result.latencies_ms) * 1e6
                )
                rates[route_count].append(len(result.latencies_ms) / result.seconds)
        memory = {
            route_count: ingresses[route_count].resident_bytes() / 1e6 for route_count in counts
        }
    for route_count in counts:
        ratios = sorted(
            with_routes / without_routes
            for with_routes, without_routes in zip(cpu_us[route_count], cpu_us[0], strict=True)
        )
        quarter = len(ratios) // 4
        print(
            f"{route_count:>5} routes: CPU per request, us: {spread_text(cpu_us[route_count])}; against no routes: "
            f"median {statistics.median(ratios):.3f}, "
            f"half {ratios[quarter]:.3f} to {ratios[-quarter]:.3f}; "
            f"{statistics.median(rates[route_count]):.0f}/s; {memory[route_count]:.1f} MB"
        )


async def measure_matches() -> None:
    """Print the time to match a request against tables of several kinds and sizes."""
    for kind in ("firms", "units", "classes"):
        for count in (1, 10, 100, 1000):
            routes: dict[str, RouteOptions] = {}
            for number in range(count):
                if kind == "firms":
                    routes[f"r{number}"] = RouteOptions(firm=(f"{number + 1:x}",))
                elif kind == "units":
                    routes[f"r{number}"] = RouteOptions(units=str(number + 1))
                else:
                    routes[f"r{number}"] = RouteOptions(
                        classes=("seat-checkout",), firm=(f"{number + 1:x}",)
                    )
            routes["last"] = RouteOptions(classes=("seat-status",))
            table = RouteTable(NAMES, 0, 1)
            started_at = time.perf_counter()
            table.replace(routes, 0.0)
            build_s = time.perf_counter() - started_at
            requests = [
                RequestAttributes(0, number % 3, False, 7_000_000 + number, 1_000_000, False)
                for number in range(1000)
            ]
            for request in requests:
                table.find(request)
            started_at = time.process_time()
            for _ in range(20):
                for request in requests:
                    table.find(request)
            match_s = (time.process_time() - started_at) / 20_000
            print(
                f"{kind:<8} {count:>5} routes: {match_s * 1e6:.2f} us per match, {build_s * 1e3:.1f} ms to replace all"
            )


class MisbehavingNode(asyncio.Protocol):
    """A node that answers after `lag` s with a given answer. The class counts all commands."""

    command_count = 0

    def __init__(self, lag: float, answer: bytes) -> None:
        self.lag, self.answer = lag, answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the parser of a new connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop passes a class of its own
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Answer all commands that are complete, at once or after the lag."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            MisbehavingNode.command_count += 1
            if self.lag:
                asyncio.get_running_loop().call_later(self.lag, self.send_answer)
            else:
                self.send_answer()

    def send_answer(self) -> None:
        """Write the answer, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(self.answer)


@asynccontextmanager
async def misbehaving_pool(
    lags: list[float], answer: bytes = SERVED_ANSWER
) -> AsyncIterator[dict[str, Any]]:
    """Run one node for each lag, with this answer, and a discovery; yield their ports."""
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(partial(MisbehavingNode, lag, answer), "127.0.0.1", 0)
        for lag in lags
    ]
    async with pool(1) as ports:
        yield {
            "nodes": [server.sockets[0].getsockname()[1] for server in servers],
            "discovery": ports["discovery"],
        }
    for server in servers:
        server.close()


async def measure_copies(seconds: float) -> None:
    """Print the latencies at 140 requests per second, with hedged copies off and on.

    Of ten nodes, nine answer after 10 ms and one after 300 ms.
    """
    copy_settings = "copies = yes\ncopy_after = 60ms\ncopy_share = 10%\nretry_floor = 10\n"
    for name, text in (
        ("off", "[route s]\nclass = seat-status\ncopies = no\nattempts = 1\n"),
        ("on, 60ms", f"[route s]\nclass = seat-status\nattempts = 2\n{copy_settings}"),
        (
            "on, p95",
            f"[route s]\nclass = seat-status\nattempts = 2\n{copy_settings.replace('60ms', 'p95')}",
        ),
    ):
        async with misbehaving_pool([0.01] * 9 + [0.3]) as ports:
            with TemporaryDirectory() as folder:
                async with ingress_process(Path(folder), ports, ini=text) as ingress:
                    await open_loop(ingress.port, 140, 2)
                    commands_before = MisbehavingNode.command_count
                    result = await open_loop(ingress.port, 140, seconds)
                    calls_per_request = (
                        MisbehavingNode.command_count - commands_before
                    ) / result.sent_count
        print(f"copies {name:<9}: ms p50 {result.quantile(0.5):.1f}, p99 {result.quantile(0.99):.1f}, "
              f"p99.9 {result.quantile(0.999):.1f}, max {max(result.latencies_ms):.1f}; {calls_per_request:.3f} calls per request; {result.outcomes}",
              flush=True)  # fmt: skip


async def measure_refusals() -> None:
    """Print the calls per request if all nodes turn requests away or fail, by retry budget."""
    for answer_name, answer in (("turned away", b"-BUSY\r\n"), ("failed", b"-ERR failed\r\n")):
        for name, text in (
            ("no route", ""),
            ("budget 20%", "[route s]\nclass = seat-status\nretry_budget = 20%\nretry_floor = 1\n"),
            (
                "budget 100%",
                "[route s]\nclass = seat-status\nretry_budget = 100%\nretry_floor = 1\n",
            ),
        ):
            async with misbehaving_pool([0.005] * 6, answer) as ports:
                with TemporaryDirectory() as folder:
                    async with ingress_process(Path(folder), ports, ini=text) as ingress:
                        commands_before = MisbehavingNode.command_count
                        result = await open_loop(ingress.port, 200, 8)
                        calls_per_request = (
                            MisbehavingNode.command_count - commands_before
                        ) / result.sent_count
            print(
                f"all nodes: {answer_name:<11} {name:<11}: {calls_per_request:.3f} calls per request, {result.sent_count} requests",
                flush=True,
            )


async def measure_reloads(seconds: float) -> None:
    """Reload the operator's file every 20 ms under load, and print outcomes and latencies."""
    async with pool() as ports:
        with TemporaryDirectory() as name:
            folder = Path(name)
            async with ingress_process(folder, ports, ini=routes_file(10)) as ingress:
                load_task = asyncio.create_task(_send_load(ingress, seconds))
                count = 0
                ends_at = time.monotonic() + seconds
                while time.monotonic() < ends_at:
                    text = routes_file(10 + count % 3).replace(
                        "attempts = 3", f"attempts = {1 + count % 4}"
                    )
                    (folder / "my.ini").write_text(text)
                    os.kill(ingress.pid, signal.SIGHUP)
                    count += 1
                    await asyncio.sleep(0.02)
                result = await load_task
    print(f"{count / seconds:.0f} reloads per second for {seconds:g} s; {result.outcomes}; "
          f"ms p50 {result.quantile(0.5):.2f}, p99 {result.quantile(0.99):.2f}, max {max(result.latencies_ms):.2f}")  # fmt: skip


async def measure_changes() -> None:
    """Print the time to read, check and apply routes, as one file of all routes and one by one."""
    for count in (1000, 7500):
        text = routes_file(count)
        started_at = time.perf_counter()
        routes = read_sections(
            text, "f", {"route": SectionKind(RouteOptions, has_name=True)}
        ).named_sections("route")
        parsed_at = time.perf_counter()
        assert not check(routes, SETTINGS, NAMES)
        checked_at = time.perf_counter()
        table = RouteTable(NAMES, 0, 1)
        table.replace(routes, 0.0)
        replacing_at = time.perf_counter()
        table.replace(routes, 0.0)
        replaced_at = time.perf_counter()
        print(f"{count:>5} routes, all: read {(parsed_at - started_at) * 1e3:.0f} ms, checked {(checked_at - parsed_at) * 1e3:.0f} ms, "
              f"replaced {(replaced_at - replacing_at) * 1e3:.0f} ms")  # fmt: skip
        layers = RouteLayers(RouteTable(NAMES, 0, 1), SETTINGS, NAMES)
        for name, route in routes.items():
            layers.put(name, route, 0.0)
        for units in range(64):  # Fills the table's cache with combinations that requests had.
            layers.table.find(RequestAttributes(0, 0, False, 1, units, False))
        for kind, body in (
            ("by firm", {"firm": "186a0", "attempts": 3}),
            ("broad", {"class": "seat-status", "plan": "klein"}),
        ):
            times_ms = []
            for number in range(200):
                data = json.dumps({**body, "timeout": f"{1000 + number}ms"}).encode()
                started_at = time.perf_counter()
                rejection = layers.put(
                    "firm-0" if kind == "by firm" else "a-broad", parse_route("r", data), 0.0
                )
                times_ms.append((time.perf_counter() - started_at) * 1e3)
                assert not rejection or kind == "broad", rejection
                layers.table.find(RequestAttributes(0, 0, False, 1, 1, False))
            print(f"{count:>5} routes, one {kind}: read, checked and applied, ms: median {statistics.median(times_ms):.3f}, "
                  f"max {max(times_ms):.3f}{f'; rejected: {rejection}' if rejection else ''}")  # fmt: skip


async def _send_load(ingress: IngressProcess, seconds: float) -> LoadResult:
    """Send 140 requests per second to an ingress."""
    return await open_loop(ingress.port, 140, seconds)


def run_named_benchmark() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(description="Measure the costs and effects of routes.")
    parser.add_argument("what", choices=["cpu", "match", "copies", "refusal", "reload", "change"])
    parser.add_argument("--rounds", type=int, default=150)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=0.0)
    options = parser.parse_args()
    benchmarks: dict[str, Any] = {
        "cpu": lambda: measure_cpu(options.rounds, options.requests),
        "match": measure_matches,
        "copies": lambda: measure_copies(options.seconds or 20.0),
        "refusal": measure_refusals,
        "change": measure_changes,
        "reload": lambda: measure_reloads(options.seconds or 10.0),
    }
    run_coroutine(benchmarks[options.what]())


if __name__ == "__main__":
    run_named_benchmark()
