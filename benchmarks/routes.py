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
    ANSWER,
    Daemon,
    Result,
    closed_loop,
    daemon,
    main,
    open_loop,
    pool,
    spread,
)
from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import SectionKind, read_sections
from dockthread.control_plane.resource_schemas import parse_route
from dockthread.policy import Effect, Plan, PolicySettings, RequestClass
from dockthread.routes.check import check
from dockthread.routes.layers import Layers
from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import RequestAttributes
from dockthread.routes.table import Table

STATUS = "class = seat-status\nattempts = 3\nbackoff = 20ms\n"
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


def routes(count: int) -> str:
    """Return an operator's file with `count` routes.

    The last route matches the benchmark's requests; the others match customers that send none.
    """
    named = [f"[route firm-{n}]\nfirm = {n + 100_000:x}\nattempts = 2\n" for n in range(count - 1)]
    return "".join(named) + (f"[route status]\n{STATUS}" if count else "")


async def cpu(rounds: int, requests: int) -> None:
    """Print the CPU time per request and the memory with 0, 1, 10 and 1,000 routes."""
    counts = (0, 1, 10, 1000)
    cost: dict[int, list[float]] = {n: [] for n in counts}
    speed: dict[int, list[float]] = {n: [] for n in counts}
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) > 1:
        os.sched_setaffinity(0, cores[1:])
    shuffled = random.Random(1)
    async with AsyncExitStack() as stack:
        running = {}
        for n in counts:
            folder = Path(stack.enter_context(TemporaryDirectory()))
            at = await stack.enter_async_context(pool())
            running[n] = await stack.enter_async_context(
                daemon(folder, at, ini=routes(n), core=cores[0])
            )
            await closed_loop(running[n].port, 2000)
        for _ in range(rounds):
            for n in shuffled.sample(counts, len(counts)):
                begun = running[n].cpu()
                result = await closed_loop(running[n].port, requests)
                cost[n].append((running[n].cpu() - begun) / len(result.times) * 1e6)
                speed[n].append(len(result.times) / result.seconds)
        memory = {n: running[n].resident() / 1e6 for n in counts}
    for n in counts:
        ratios = sorted(mine / none for mine, none in zip(cost[n], cost[0], strict=True))
        quarter = len(ratios) // 4
        print(f"{n:>5} routes: CPU per request, us: {spread(cost[n])}; against none: median {statistics.median(ratios):.3f}, half {ratios[quarter]:.3f} to {ratios[-quarter]:.3f}; {statistics.median(speed[n]):.0f}/s; "
              f"{memory[n]:.1f} MB")  # fmt: skip


async def match() -> None:
    """Print the time to match a request against tables of several kinds and sizes."""
    for kind in ("firms", "units", "classes"):
        for count in (1, 10, 100, 1000):
            made: dict[str, RouteOptions] = {}
            for n in range(count):
                if kind == "firms":
                    made[f"r{n}"] = RouteOptions(firm=(f"{n + 1:x}",))
                elif kind == "units":
                    made[f"r{n}"] = RouteOptions(units=str(n + 1))
                else:
                    made[f"r{n}"] = RouteOptions(classes=("seat-checkout",), firm=(f"{n + 1:x}",))
            made["last"] = RouteOptions(classes=("seat-status",))
            table = Table(NAMES, 0, 1)
            begun = time.perf_counter()
            table.replace(made, 0.0)
            built = time.perf_counter() - begun
            facts = [
                RequestAttributes(0, n % 3, False, 7_000_000 + n, 1_000_000, False)
                for n in range(1000)
            ]
            for one in facts:
                table.find(one)
            begun = time.process_time()
            for _ in range(20):
                for one in facts:
                    table.find(one)
            spent = (time.process_time() - begun) / 20_000
            print(
                f"{kind:<8} {count:>5} routes: {spent * 1e6:.2f} us per match, {built * 1e3:.1f} ms to replace all"
            )


class Odd(asyncio.Protocol):
    """A node that answers after `lag` s with a given answer. The class counts all commands."""

    seen = 0

    def __init__(self, lag: float, answer: bytes) -> None:
        self.lag, self.answer = lag, answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the parser of a new connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop's own class
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Answer all commands that are complete, at once or after the lag."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            Odd.seen += 1
            if self.lag:
                asyncio.get_running_loop().call_later(self.lag, self.say)
            else:
                self.say()

    def say(self) -> None:
        """Write the answer, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(self.answer)


@asynccontextmanager
async def odd_pool(lags: list[float], answer: bytes = ANSWER) -> AsyncIterator[dict[str, Any]]:
    """Run one node for each lag, with this answer, and a discovery; yield their ports."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(partial(Odd, lag, answer), "127.0.0.1", 0) for lag in lags]
    async with pool(1) as at:
        yield {
            "nodes": [s.sockets[0].getsockname()[1] for s in servers],
            "discovery": at["discovery"],
        }
    for server in servers:
        server.close()


async def copies(seconds: float) -> None:
    """Print the latencies at 140 requests per second, with hedged copies off and on.

    Of ten nodes, nine answer after 10 ms and one after 300 ms.
    """
    share = "copies = yes\ncopy_after = 60ms\ncopy_share = 10%\nretry_floor = 10\n"
    for name, text in (
        ("off", "[route s]\nclass = seat-status\ncopies = no\nattempts = 1\n"),
        ("on, 60ms", f"[route s]\nclass = seat-status\nattempts = 2\n{share}"),
        (
            "on, p95",
            f"[route s]\nclass = seat-status\nattempts = 2\n{share.replace('60ms', 'p95')}",
        ),
    ):
        async with odd_pool([0.01] * 9 + [0.3]) as at:
            with TemporaryDirectory() as folder:
                async with daemon(Path(folder), at, ini=text) as ingress:
                    await open_loop(ingress.port, 140, 2)
                    before = Odd.seen
                    result = await open_loop(ingress.port, 140, seconds)
                    load = (Odd.seen - before) / result.asked
        print(f"copies {name:<9}: ms p50 {result.quantile(0.5):.1f}, p99 {result.quantile(0.99):.1f}, "
              f"p99.9 {result.quantile(0.999):.1f}, max {max(result.times):.1f}; {load:.3f} calls per request; {result.outcomes}",
              flush=True)  # fmt: skip


async def refusal() -> None:
    """Print the calls per request if all nodes turn requests away or fail, by retry budget."""
    for word, answer in (("turned away", b"-BUSY\r\n"), ("failed", b"-ERR failed\r\n")):
        for name, text in (
            ("no route", ""),
            ("budget 20%", "[route s]\nclass = seat-status\nretry_budget = 20%\nretry_floor = 1\n"),
            (
                "budget 100%",
                "[route s]\nclass = seat-status\nretry_budget = 100%\nretry_floor = 1\n",
            ),
        ):
            async with odd_pool([0.005] * 6, answer) as at:
                with TemporaryDirectory() as folder:
                    async with daemon(Path(folder), at, ini=text) as ingress:
                        before = Odd.seen
                        result = await open_loop(ingress.port, 200, 8)
                        load = (Odd.seen - before) / result.asked
            print(
                f"all nodes: {word:<11} {name:<11}: {load:.3f} calls per request, {result.asked} requests",
                flush=True,
            )


async def reload(seconds: float) -> None:
    """Reload the operator's file every 20 ms under load, and print outcomes and latencies."""
    async with pool() as at:
        with TemporaryDirectory() as name:
            folder = Path(name)
            async with daemon(folder, at, ini=routes(10)) as ingress:
                loading = asyncio.create_task(_load(ingress, seconds))
                count, end = 0, time.monotonic() + seconds
                while time.monotonic() < end:
                    text = routes(10 + count % 3).replace(
                        "attempts = 3", f"attempts = {1 + count % 4}"
                    )
                    (folder / "my.ini").write_text(text)
                    os.kill(ingress.pid, signal.SIGHUP)
                    count += 1
                    await asyncio.sleep(0.02)
                result = await loading
    print(f"{count / seconds:.0f} reloads per second for {seconds:g} s; {result.outcomes}; "
          f"ms p50 {result.quantile(0.5):.2f}, p99 {result.quantile(0.99):.2f}, max {max(result.times):.2f}")  # fmt: skip


async def change() -> None:
    """Print the time to read, check and apply routes, as one file of all routes and one by one."""
    for count in (1000, 7500):
        text = routes(count)
        begun = time.perf_counter()
        found = read_sections(
            text, "f", {"route": SectionKind(RouteOptions, named=True)}
        ).named_sections("route")
        parsed = time.perf_counter()
        assert not check(found, SETTINGS, NAMES)
        proved = time.perf_counter()
        table = Table(NAMES, 0, 1)
        table.replace(found, 0.0)
        begun_again = time.perf_counter()
        table.replace(found, 0.0)
        replaced = time.perf_counter()
        print(f"{count:>5} routes, all: read {(parsed - begun) * 1e3:.0f} ms, checked {(proved - parsed) * 1e3:.0f} ms, "
              f"replaced {(replaced - begun_again) * 1e3:.0f} ms")  # fmt: skip
        layers = Layers(Table(NAMES, 0, 1), SETTINGS, NAMES)
        for name, route in found.items():
            layers.put(name, route, 0.0)
        for units in range(64):  # Fills the table's cache with combinations that requests had.
            layers.table.find(RequestAttributes(0, 0, False, 1, units, False))
        for kind, body in (
            ("by firm", {"firm": "186a0", "attempts": 3}),
            ("broad", {"class": "seat-status", "plan": "klein"}),
        ):
            times = []
            for n in range(200):
                data = json.dumps({**body, "timeout": f"{1000 + n}ms"}).encode()
                begun = time.perf_counter()
                refused = layers.put(
                    "firm-0" if kind == "by firm" else "a-broad", parse_route("r", data), 0.0
                )
                times.append((time.perf_counter() - begun) * 1e3)
                assert not refused or kind == "broad", refused
                layers.table.find(RequestAttributes(0, 0, False, 1, 1, False))
            print(f"{count:>5} routes, one {kind}: read, checked and applied, ms: median {statistics.median(times):.3f}, "
                  f"max {max(times):.3f}{f'; refused: {refused}' if refused else ''}")  # fmt: skip


async def _load(ingress: Daemon, seconds: float) -> Result:
    """Send 140 requests per second to an ingress."""
    return await open_loop(ingress.port, 140, seconds)


def start() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(description="Measure the costs and effects of routes.")
    parser.add_argument("what", choices=["cpu", "match", "copies", "refusal", "reload", "change"])
    parser.add_argument("--rounds", type=int, default=150)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=0.0)
    o = parser.parse_args()
    jobs: dict[str, Any] = {
        "cpu": lambda: cpu(o.rounds, o.requests),
        "match": match,
        "copies": lambda: copies(o.seconds or 20.0),
        "refusal": refusal,
        "change": change,
        "reload": lambda: reload(o.seconds or 10.0),
    }
    main(jobs[o.what]())


if __name__ == "__main__":
    start()
