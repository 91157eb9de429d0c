"""Measures the costs of telemetry: CPU, event loop delay, memory, and encoded points per second.

    python -m benchmarks.telemetry cpu [--before CHECKOUT] [--rounds 200] [--requests 100] [--interval 10s]
    python -m benchmarks.telemetry delay [--seconds 60]
    python -m benchmarks.telemetry points

`cpu` compares pairs: all variants run at once on one core, each round sends a burst of requests to
every variant in random order, and figures are ratios to the variant `off` of the same round. Reports
are sent once per `--interval`. `--before` names a checkout from before telemetry, which runs with
the libraries of this environment. `delay` measures the event loop while receivers misbehave.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import statistics
import time
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.rig import ROOT, closed_loop, daemon, main, open_loop, pool, spread
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import StandIn


def ini(stand_in: StandIn, folder: Path, interval: str, *names: str) -> str:
    """Return an operator's file that sends reports to the named receivers of a stand-in."""
    at = stand_in.addresses
    sections = {
        "plaintext": f"[graphite plaintext]\naddress = {at['plaintext']}\n",
        "pickle": f"[graphite pickle]\naddress = {at['pickle']}\nprotocol = pickle\n",
        "collectd": f"[collectd packets]\naddress = {at['collectd']}\n",
    }
    return f"[telemetry]\ninterval = {interval}\n" + "".join(sections[name] for name in names)


async def listening(ledger: Ledger) -> StandIn:
    """Start a stand-in receiver on loopback."""
    stand_in = StandIn(ledger)
    await stand_in.start(plaintext="127.0.0.1:0", pickle="127.0.0.1:0", collectd="127.0.0.1:0")
    return stand_in


async def cpu(before: Path | None, rounds: int, requests: int, interval: str) -> None:
    """Print the CPU time per request and the memory without telemetry and with receivers."""
    names = {"off": (), "one": ("plaintext",), "three": ("plaintext", "pickle", "collectd")}
    variants = ["off", *(["before"] if before else []), "one", "three"]
    stand_in = await listening(Ledger())
    cost: dict[str, list[float]] = {name: [] for name in variants}
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) > 1:
        # The ingresses share the first core alone; the pools and the clients use the other cores.
        os.sched_setaffinity(0, cores[1:])
    shuffled = random.Random(1)
    async with AsyncExitStack() as stack:
        running = {}
        for variant in variants:
            folder = Path(stack.enter_context(TemporaryDirectory()))
            tree = before if variant == "before" and before else ROOT
            file = ini(stand_in, folder, interval, *names[variant]) if names.get(variant) else ""
            at = await stack.enter_async_context(pool())
            running[variant] = await stack.enter_async_context(
                daemon(folder, at, tree, file, core=cores[0])
            )
            await closed_loop(running[variant].port, 2000)  # Warm-up.
        # The machine's speed changes within seconds. Short bursts in turn expose all variants to
        # the same speed.
        for _ in range(rounds):
            for variant in shuffled.sample(variants, len(variants)):
                begun = running[variant].cpu()
                result = await closed_loop(running[variant].port, requests)
                cost[variant].append((running[variant].cpu() - begun) / len(result.times) * 1e6)
        memory = {variant: running[variant].resident() / 1e6 for variant in variants}
    for variant in variants:
        ratios = sorted(mine / off for mine, off in zip(cost[variant], cost["off"], strict=True))
        quarter = len(ratios) // 4
        print(f"{variant:<7} CPU per request, us: {spread(cost[variant])}; against off: median "
              f"{statistics.median(ratios):.3f}, half of the rounds {ratios[quarter]:.3f} to {ratios[-quarter]:.3f}; "
              f"resident {memory[variant]:.1f} MB")  # fmt: skip
    stand_in.stop()


async def delay(seconds: float) -> None:
    """Print event loop delays and latencies for healthy and for misbehaving receivers."""
    for kind in ("", "vanish", "unread", "refuse"):
        watching, other = Ledger(), Ledger()
        healthy, troubled = await listening(watching), await listening(other)
        with TemporaryDirectory() as name:
            folder = Path(name)
            file = ini(healthy, folder, "1s", "plaintext")
            file += ini(troubled, folder, "1s", "pickle", "collectd").split("\n", 2)[2]
            async with pool(delay=0.02) as at, daemon(folder, at, ROOT, file) as ingress:
                await asyncio.sleep(1.5)
                if kind:
                    troubled.misbehave(kind)
                result = await open_loop(ingress.port, 140.0, seconds)
                if kind:
                    troubled.behave()
                await asyncio.sleep(2.0)
        p50, p99, most = (
            [v for _, _, v in watching.points("plaintext", f"dockthread.n0.loop.{word}")]
            for word in ("p50", "p99", "max")
        )
        print(
            f"{kind or 'healthy':<8} loop delay ms: p50 {statistics.median(p50):.3f}, p99 of a second: median "
            f"{statistics.median(p99):.3f}, worst {max(p99):.3f}, max {max(most):.3f}; answers ms: p50 "
            f"{result.quantile(0.5):.2f}, p99 {result.quantile(0.99):.2f}, max {max(result.times):.2f}, "
            f"{len(result.times)} of {result.asked} answered, {result.outcomes}",
            flush=True,
        )
        healthy.stop()
        troubled.stop()


async def points() -> None:
    """Print the size and the encoding speed of one report, of 530 points.

    It resembles the report of an ingress with 3 plans, 64 nodes and 20 customers.
    """
    from dockthread.telemetry.catalogue import DERIVE, GAUGE, Point
    from dockthread.telemetry.options import CollectdOptions, GraphiteOptions
    from dockthread.telemetry.report_encoders import report_encoder
    from dockthread.telemetry.timestamps import Timestamp

    report = [
        Point(("answers", "seat-status", f"plan-{n % 3}", "served"), DERIVE, n * 1000)
        for n in range(150)
    ]
    report += [Point(("nodes", f"s-{n:08x}", word), GAUGE, n / 7) for n in range(64)
               for word in ("out", "failed", "skipped", "inflight", "report_age")]  # fmt: skip
    report += [Point(("firms", "gross", f"{n:x}", word), GAUGE, n / 3) for n in range(20)
               for word in ("asked", "sent_on", "refused")]  # fmt: skip
    kinds: dict[str, GraphiteOptions | CollectdOptions] = {
        "plaintext": GraphiteOptions(address="h:1"),
        "pickle": GraphiteOptions(address="h:1", protocol="pickle"),
        "packets": CollectdOptions(address="h:1"),
        "putval": CollectdOptions(address="unix:/x"),
    }
    for name, options in kinds.items():
        encoder = report_encoder(options, "n0", 10_000.0)
        timestamp = Timestamp(1_700_000_000.0, 1_700_000_000)
        begun, size, rounds = time.process_time(), 0, 200
        for _ in range(rounds):
            size = sum(map(len, encoder.encode(report, timestamp)))
        spent = (time.process_time() - begun) / rounds
        pace = len(report) / spent
        print(
            f"{name:<9} {len(report)} points, {size} bytes, {spent * 1e3:.2f} ms: {pace:,.0f} points/s"
        )


def start() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(description="Measure the costs of telemetry.")
    parser.add_argument("what", choices=["cpu", "delay", "points"])
    parser.add_argument("--before", type=Path)
    parser.add_argument("--interval", default="10s")
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=60.0)
    o = parser.parse_args()
    jobs = {
        "cpu": lambda: cpu(o.before, o.rounds, o.requests, o.interval),
        "delay": lambda: delay(o.seconds),
        "points": points,
    }
    main(jobs[o.what]())


if __name__ == "__main__":
    start()
