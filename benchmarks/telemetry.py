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

from benchmarks.rig import (
    ROOT,
    closed_loop,
    ingress_process,
    open_loop,
    pool,
    run_coroutine,
    spread_text,
)
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import StandIn


def operator_file(stand_in: StandIn, folder: Path, interval: str, *names: str) -> str:
    """Return an operator's file that sends reports to the named receivers of a stand-in."""
    addresses = stand_in.addresses
    sections = {
        "plaintext": f"[graphite plaintext]\naddress = {addresses['plaintext']}\n",
        "pickle": f"[graphite pickle]\naddress = {addresses['pickle']}\nprotocol = pickle\n",
        "collectd": f"[collectd packets]\naddress = {addresses['collectd']}\n",
    }
    return f"[telemetry]\ninterval = {interval}\n" + "".join(sections[name] for name in names)


async def start_stand_in(ledger: Ledger) -> StandIn:
    """Start a stand-in receiver on loopback."""
    stand_in = StandIn(ledger)
    await stand_in.start(plaintext="127.0.0.1:0", pickle="127.0.0.1:0", collectd="127.0.0.1:0")
    return stand_in


async def measure_cpu(old_checkout: Path | None, rounds: int, requests: int, interval: str) -> None:
    """Print the CPU time per request and the memory without telemetry and with receivers."""
    names = {"off": (), "one": ("plaintext",), "three": ("plaintext", "pickle", "collectd")}
    variants = ["off", *(["before"] if old_checkout else []), "one", "three"]
    stand_in = await start_stand_in(Ledger())
    cpu_us: dict[str, list[float]] = {name: [] for name in variants}
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) > 1:
        # The ingresses share the first core alone; the pools and the clients use the other cores.
        os.sched_setaffinity(0, cores[1:])
    rng = random.Random(1)
    async with AsyncExitStack() as stack:
        ingresses = {}
        for variant in variants:
            folder = Path(stack.enter_context(TemporaryDirectory()))
            checkout = old_checkout if variant == "before" and old_checkout else ROOT
            operator_text = (
                operator_file(stand_in, folder, interval, *names[variant])
                if names.get(variant)
                else ""
            )
            ports = await stack.enter_async_context(pool())
            ingresses[variant] = await stack.enter_async_context(
                ingress_process(folder, ports, checkout, operator_text, cpu_core=cores[0])
            )
            await closed_loop(ingresses[variant].port, 2000)  # Warm-up.
        # The machine's speed changes within seconds. Short bursts in turn expose all variants to
        # the same speed.
        for _ in range(rounds):
            for variant in rng.sample(variants, len(variants)):
                cpu_before = ingresses[variant].cpu_s()
                result = await closed_loop(ingresses[variant].port, requests)
                cpu_us[variant].append(
                    (ingresses[variant].cpu_s() - cpu_before) / len(result.latencies_ms) * 1e6
                )
        memory = {variant: ingresses[variant].resident_bytes() / 1e6 for variant in variants}
    for variant in variants:
        ratios = sorted(
            with_reports / without_reports
            for with_reports, without_reports in zip(cpu_us[variant], cpu_us["off"], strict=True)
        )
        quarter = len(ratios) // 4
        print(f"{variant:<7} CPU per request, us: {spread_text(cpu_us[variant])}; against off: median "
              f"{statistics.median(ratios):.3f}, half of the rounds {ratios[quarter]:.3f} to {ratios[-quarter]:.3f}; "
              f"resident {memory[variant]:.1f} MB")  # fmt: skip
    stand_in.stop()


async def measure_delay(seconds: float) -> None:
    """Print event loop delays and latencies for healthy and for misbehaving receivers."""
    for kind in ("", "vanish", "unread", "refuse"):
        ledger = Ledger()
        healthy = await start_stand_in(ledger)
        misbehaving = await start_stand_in(Ledger())
        with TemporaryDirectory() as name:
            folder = Path(name)
            operator_text = operator_file(healthy, folder, "1s", "plaintext")
            operator_text += operator_file(misbehaving, folder, "1s", "pickle", "collectd").split(
                "\n", 2
            )[2]
            async with (
                pool(delay=0.02) as ports,
                ingress_process(folder, ports, ROOT, operator_text) as ingress,
            ):
                await asyncio.sleep(1.5)
                if kind:
                    misbehaving.start_fault(kind)
                result = await open_loop(ingress.port, 140.0, seconds)
                if kind:
                    misbehaving.end_fault()
                await asyncio.sleep(2.0)
        p50, p99, maxima = (
            [value for _, _, value in ledger.points("plaintext", f"dockthread.n0.loop.{name}")]
            for name in ("p50", "p99", "max")
        )
        print(
            f"{kind or 'healthy':<8} loop delay ms: p50 {statistics.median(p50):.3f}, p99 of a second: median "
            f"{statistics.median(p99):.3f}, worst {max(p99):.3f}, max {max(maxima):.3f}; answers ms: p50 "
            f"{result.quantile(0.5):.2f}, p99 {result.quantile(0.99):.2f}, max {max(result.latencies_ms):.2f}, "
            f"{len(result.latencies_ms)} of {result.sent_count} answered, {result.outcomes}",
            flush=True,
        )
        healthy.stop()
        misbehaving.stop()


async def measure_encoding() -> None:
    """Print the size and the encoding speed of one report, of 530 points.

    It resembles the report of an ingress with 3 plans, 64 nodes and 20 customers.
    """
    from dockthread.telemetry.catalogue import DERIVE, GAUGE, Point
    from dockthread.telemetry.options import CollectdOptions, GraphiteOptions
    from dockthread.telemetry.report_encoders import create_report_encoder
    from dockthread.telemetry.timestamps import Timestamp

    report = [
        Point(("answers", "seat-status", f"plan-{number % 3}", "served"), DERIVE, number * 1000)
        for number in range(150)
    ]
    report += [Point(("nodes", f"s-{number:08x}", name), GAUGE, number / 7) for number in range(64)
               for name in ("out", "failed", "skipped", "inflight", "report_age")]  # fmt: skip
    report += [Point(("firms", "gross", f"{number:x}", name), GAUGE, number / 3) for number in range(20)
               for name in ("asked", "sent_on", "refused")]  # fmt: skip
    receivers: dict[str, GraphiteOptions | CollectdOptions] = {
        "plaintext": GraphiteOptions(address="h:1"),
        "pickle": GraphiteOptions(address="h:1", protocol="pickle"),
        "packets": CollectdOptions(address="h:1"),
        "putval": CollectdOptions(address="unix:/x"),
    }
    for name, options in receivers.items():
        encoder = create_report_encoder(options, "n0", 10_000.0)
        timestamp = Timestamp(1_700_000_000.0, 1_700_000_000)
        started_at = time.process_time()
        size = 0
        rounds = 200
        for _ in range(rounds):
            size = sum(map(len, encoder.encode(report, timestamp)))
        encode_s = (time.process_time() - started_at) / rounds
        points_per_s = len(report) / encode_s
        print(
            f"{name:<9} {len(report)} points, {size} bytes, {encode_s * 1e3:.2f} ms: {points_per_s:,.0f} points/s"
        )


def run_named_benchmark() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(description="Measure the costs of telemetry.")
    parser.add_argument("what", choices=["cpu", "delay", "points"])
    parser.add_argument("--before", type=Path)
    parser.add_argument("--interval", default="10s")
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--requests", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    benchmarks = {
        "cpu": lambda: measure_cpu(
            options.before, options.rounds, options.requests, options.interval
        ),
        "delay": lambda: measure_delay(options.seconds),
        "points": measure_encoding,
    }
    run_coroutine(benchmarks[options.what]())


if __name__ == "__main__":
    run_named_benchmark()
