"""Telemetry as it runs: real programs, real receivers that misbehave, totals against the test's own
tally.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from dockthread.clock import Clock, ManualClock
from dockthread.section_registry import parse_operator_file
from dockthread.telemetry.catalogue import Point
from dockthread.telemetry.collectd import Opener, PacketEncoder, packet_sealer
from dockthread.telemetry.exporter import Exporter
from dockthread.telemetry.receiver.ledger import Ledger
from dockthread.telemetry.receiver.stand_in import StandIn
from tests.loopback import (
    SETTINGS,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    serving,
    target,
    until,
)

ROOT = Path(__file__).parents[2]
PROTOCOLS = ("plaintext", "pickle", "collectd", "putval")
PASSWORD = b"a password of the test's own"
# A quota so small that some are refused: all three outcomes come up.
PLANS = [
    {"Name": "gross", "Refill": 1000.0, "PeakUnits": 1000.0},
    {"Name": "klein", "Refill": 1.0, "PeakUnits": 4.0},
]

Tally = Counter[tuple[str, str, str]]


def operators_file(stand_in: StandIn, folder: Path, interval: str = "200ms", **more: str) -> str:
    """A file that names every address of the stand-in. `more`: keys of [telemetry]."""
    at, parts = stand_in.addresses, [f"[telemetry]\ninterval = {interval}\n"]
    parts += [f"{key} = {value}\n" for key, value in more.items()]
    for protocol in ("plaintext", "pickle"):
        if protocol in at:
            parts.append(
                f"[graphite {protocol}]\naddress = {at[protocol]}\nprotocol = {protocol}\n"
            )
    if "collectd" in at:
        (folder / "password").write_bytes(PASSWORD + b"\n")
        sealed = f"security = encrypt\nuser = ops\npassword_file = {folder / 'password'}\n"
        parts.append(f"[collectd packets]\naddress = {at['collectd']}\n{sealed}")
    if "putval" in at:
        parts.append(f"[collectd lines]\naddress = unix:{at['putval']}\n")
    return "".join(parts)


@asynccontextmanager
async def receiving(folder: Path, *protocols: str) -> AsyncIterator[tuple[StandIn, Ledger]]:
    ledger = Ledger()
    stand_in = StandIn(ledger, Opener("encrypt", {"ops": PASSWORD}))
    wanted = {name: "127.0.0.1:0" for name in protocols if name != "putval"}
    if "putval" in protocols:
        wanted["putval"] = str(folder / "s")
    await stand_in.start(**wanted)
    try:
        yield stand_in, ledger
    finally:
        stand_in.stop()
        ledger.close()


def series(protocol: str, kind: str, plan: str, outcome: str) -> str:
    if protocol in ("plaintext", "pickle"):
        return f"dockthread.n0.answers.{kind}.{plan}.{outcome}"
    return f"n0/dockthread-answers/derive-{kind}.{plan}.{outcome}"


def totals(ledger: Ledger, protocol: str) -> dict[tuple[str, str, str], float]:
    found = {t.series: t.value for t in ledger.totals() if t.source == protocol}
    keys = [(k, p, o) for k in ("status", "checkout") for p in ("gross", "klein")
            for o in ("served", "refused", "failed")]  # fmt: skip
    return {key: found[series(protocol, *key)] for key in keys if series(protocol, *key) in found}


async def some_fail(args: list[bytes]) -> bytes | None:
    """A checkout in eight fails, which for its class is final."""
    if args[0] == b"API.WRITE" and int(args[2], 16) % 8 == 1:
        return b"-ERR failed\r\n"
    return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class Load:
    """Closed-loop clients that note every answer they get."""

    def __init__(self, port: int) -> None:
        self.port, self.tally, self.asked, self.slowest = port, Tally(), 0, 0.0
        self.stopped = False

    async def client(self, number: int) -> None:
        with suppress(OSError):
            client = await Client.open(self.port)
            while not self.stopped:
                self.asked += 1
                kind = ("status", "checkout")[self.asked % 2]
                plan = ("gross", "klein")[(self.asked // 2) % 2]
                verb = b"API.READ" if kind == "status" else b"API.WRITE"
                terms = f"c={kind},t={plan},d=4000,units=1,spread=1,first=0".encode()
                firm = b"%016x" % (1000 * (plan == "klein") + number)
                started = time.monotonic()
                client.send(verb, firm, b"%016x" % (number << 32 | self.asked), terms)
                answer = await client.answer()
                if answer is None:
                    return
                self.slowest = max(self.slowest, time.monotonic() - started)
                refused = isinstance(answer, str) and answer.startswith("BUSY")
                outcome = (
                    "served" if isinstance(answer, bytes) else "refused" if refused else "failed"
                )
                self.tally[kind, plan, outcome] += 1


@asynccontextmanager
async def programs(folder: Path) -> AsyncIterator[tuple[Callable[[], Any], Discovery]]:
    """Starts the program, again and again, against one backend."""
    backend, discovery = Backend(some_fail), Discovery()
    known = message(1, target("s-0", await backend.start()), full=True)
    config = folder / "config.json"
    settings = {**SETTINGS, "Packages": PLANS}
    config.write_text(json.dumps(raw_config(known, await discovery.start(), settings=settings)))

    async def start() -> tuple[asyncio.subprocess.Process, int]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dockthread", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(config), "DOCKTHREAD_CONFIG": str(folder / "my.ini")},
        )  # fmt: skip
        assert process.stderr is not None
        while b"listens on" not in (line := await process.stderr.readline()):
            assert line, "it ended without listening"
        return process, int(line.rsplit(b":", 1)[1])

    yield start, discovery


async def under_load(port: int, seconds: float, end: Callable[[], None]) -> Load:
    load = Load(port)
    clients = [asyncio.create_task(load.client(n)) for n in range(8)]
    await asyncio.sleep(seconds)
    end()
    await asyncio.wait(clients, timeout=20)
    load.stopped = True
    return load


def test_totals_over_restarts_equal_the_tests_own_tally_on_every_protocol(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            receiving(tmp_path, *PROTOCOLS) as (stand_in, ledger),
            programs(tmp_path) as (start, _),
        ):
            (tmp_path / "my.ini").write_text(operators_file(stand_in, tmp_path))
            tally = Tally()
            for _ in range(3):  # two restarts in mid-load
                process, port = await start()
                load = await under_load(port, 0.7, lambda p=process: p.send_signal(signal.SIGTERM))  # type: ignore[misc]
                assert await process.wait() == 0
                tally += load.tally
            assert all(
                tally[key]
                for key in (("status", "gross", "served"), ("status", "klein", "refused"))
            )
            assert tally["checkout", "gross", "failed"]
            for protocol in PROTOCOLS:
                found = totals(ledger, protocol)
                assert len(found) == 12, "explicit zeros for every class, plan and outcome"
                assert Counter({k: int(v) for k, v in found.items() if v}) == tally, protocol
                lives = {t.lives for t in ledger.totals("answers") if t.source == protocol}
                assert lives == {3}, protocol
                assert not any(ledger.steps_back(protocol, name) for name in ledger.series(protocol)
                               if "answers" in name or "attempts" in name)  # fmt: skip
                firsts = ledger.points(protocol, series(protocol, "status", "gross", "served"))
                begins = [
                    next(v for life, _, v in firsts if life == one)
                    for one in {f[0] for f in firsts}
                ]
                assert begins == [0.0] * 3
            assert not ledger.faults()
            notes = [text for _, _, _, text in ledger.notes()]
            # three lives, two receivers that know notifications
            assert notes.count("n0 is draining") == 6

    run(scenario())


def test_after_a_kill_at_most_one_interval_is_missing_and_nothing_is_too_much(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with (
            receiving(tmp_path, "plaintext", "putval") as (stand_in, ledger),
            programs(tmp_path) as (start, _),
        ):
            (tmp_path / "my.ini").write_text(operators_file(stand_in, tmp_path, "1s"))
            process, port = await start()
            rates = list[int]()

            async def watch(load: Load) -> None:
                while not load.stopped:
                    before = sum(load.tally.values())
                    await asyncio.sleep(0.1)
                    rates.append(sum(load.tally.values()) - before)

            load = Load(port)
            tasks = [asyncio.create_task(load.client(n)) for n in range(8)]
            tasks.append(asyncio.create_task(watch(load)))
            await asyncio.sleep(2.6)
            process.kill()
            await process.wait()
            load.stopped = True
            await asyncio.wait(tasks, timeout=20)
            for protocol in ("plaintext", "putval"):
                found = totals(ledger, protocol)
                # 8: answered, and not yet read
                assert all(found[key] <= load.tally[key] + 8 for key in found)
                missing = sum(load.tally.values()) - sum(found.values())
                assert sum(found.values()) > 0
                # One interval, and the moment for which an answer is on its way.
                assert missing <= 12 * max(rates)

    run(scenario())


@pytest.mark.parametrize("kind", ["refuse", "vanish", "unread", "slow", "reset"])
def test_a_receiver_that_misbehaves_costs_no_request_anything_and_hears_all_in_the_end(
    tmp_path: Path, kind: str
) -> None:
    async def scenario() -> None:
        async with (
            receiving(tmp_path, "plaintext", "pickle") as (stand_in, ledger),
            programs(tmp_path) as (start, _),
        ):
            text = operators_file(stand_in, tmp_path, "100ms", queue="64KiB", farewell="3s")
            (tmp_path / "my.ini").write_text(text)
            process, port = await start()
            load = Load(port)
            clients = [asyncio.create_task(load.client(n)) for n in range(4)]
            await asyncio.sleep(0.4)
            stand_in.misbehave(kind)
            await asyncio.sleep(1.2)
            during = load.slowest
            stand_in.behave()
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            await asyncio.wait(clients, timeout=20)
            assert await asyncio.wait_for(process.wait(), 20) == 0
            for protocol in ("plaintext", "pickle"):
                assert (
                    Counter({k: int(v) for k, v in totals(ledger, protocol).items() if v})
                    == load.tally
                )
            assert during < 0.5  # an answer that waited for the receiver would have taken 1.2 s

    run(scenario())


@asynccontextmanager
async def exporting(
    folder: Path,
    *protocols: str,
    clock: Clock | None = None,
    interval: str = "200ms",
    **changes: Any,
) -> AsyncIterator[tuple[Any, Any, Client, StandIn, Ledger]]:
    """An ingress and its exporter in this process."""
    async with receiving(folder, *protocols) as (stand_in, ledger):
        settings = {**SETTINGS, "Packages": PLANS}
        async with serving(Backend(some_fail), clock=clock, settings=settings, **changes) as (
            ingress,
            client,
            _,
        ):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file(operators_file(stand_in, folder, interval), "test"))
            try:
                yield ingress, exporter, client, stand_in, ledger
            finally:
                await exporter.farewell()


def test_reloads_move_remove_and_add_a_receiver_and_nothing_is_lost(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            exporting(tmp_path, "plaintext") as (ingress, exporter, client, first, one),
            receiving(tmp_path, "plaintext", "pickle") as (second, two),
        ):
            for _ in range(5):
                await client.call()
            moved = operators_file(second, tmp_path)
            # the old one hears the end, the new one goes on
            exporter.apply(parse_operator_file(moved, "test"))
            for _ in range(3):
                await client.call()
            await until(lambda: totals(two, "plaintext").get(("status", "gross", "served")) == 8)
            await until(lambda: totals(two, "pickle").get(("status", "gross", "served")) == 8)
            exporter.apply(parse_operator_file("", "test"))
            await until(lambda: not exporter._drains)
            assert exporter.tally is None and not ingress.observer.active
            seen = two.seen["plaintext"]
            await client.call()
            # a new life, from nothing
            exporter.apply(parse_operator_file(operators_file(first, tmp_path), "test"))
            await client.call()
            await until(
                lambda: (
                    one.points("plaintext", series("plaintext", "status", "gross", "served"))[-1][2]
                    == 1
                )
            )
            assert two.seen["plaintext"] == seen

    run(scenario())


def test_a_reload_that_cannot_be_obeyed_leaves_all_as_it_was(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with exporting(tmp_path, "plaintext") as (_, exporter, client, _, ledger):
            before = dict(exporter.receivers)
            bad = "[graphite new]\naddress = 127.0.0.1:1\n[collectd c]\naddress = 127.0.0.1:1\nsecurity = sign\n"
            bad += "user = u\npassword_file = /no/such/file\n"
            with pytest.raises(Exception, match="/no/such/file cannot be read"):
                exporter.apply(parse_operator_file(bad, "test"))
            assert exporter.receivers == before
            await client.call()
            await until(lambda: totals(ledger, "plaintext").get(("status", "gross", "served")) == 1)

    run(scenario())


def test_a_minute_without_a_receiver_keeps_memory_bounded_and_the_totals_right(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        clock = ManualClock()
        async with exporting(tmp_path, "plaintext", clock=clock, interval="1s") as (
            ingress, exporter, client, stand_in, ledger,
        ):  # fmt: skip
            sender = exporter.receivers["plaintext"].sender
            sender.delivery_queue.max_size = 200_000
            await until(lambda: sender.sent)
            stand_in.misbehave("refuse")
            for _ in range(60):
                await client.call()
                clock.advance(1000)
                ingress.timers.run_due()
                await until(lambda: exporter._report_task.done())
                assert sender.delivery_queue.size <= sender.delivery_queue.max_size
            assert sender.delivery_queue.dropped and len(sender.delivery_queue) > 5
            stand_in.behave()
            clock.advance(1000)
            ingress.timers.run_due()
            name = ("status", "gross", "served")
            await until(lambda: totals(ledger, "plaintext").get(name) == 60)
            stamps = [at for _, at, _ in ledger.points("plaintext", series("plaintext", *name))]
            assert len(stamps) > 6, (
                "points of the minute are there, at the times at which they were true"
            )
            assert stamps == sorted(stamps)

    run(scenario())


def test_ten_thousand_firms_and_a_hundred_replaced_nodes_leave_a_bounded_report(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with exporting(tmp_path, "plaintext", interval="1h") as (ingress, exporter, _, _, _):
            tally = exporter.tally
            for n in range(10_000):
                tally.request_completed(0, 0, n, "refused", f"reason-{n}", 0.0, 1.0, False)
            for n in range(100):
                targets = [target(f"s-{n}-{k}", 1 + k) for k in range(3)]
                ingress.dispatch(ingress.endpoints.apply(message(n + 2, *targets, full=True)))
            points = exporter._reader.points(1000.0)
            nodes = {p.path[1] for p in points if p.path[0] == "nodes"}
            assert nodes == {"s-99-0", "s-99-1", "s-99-2"}, "the series of a node that is gone end"
            assert len({p.path[2] for p in points if p.path[0] == "firms"}) == 20
            assert len(tally.heavy_hitters.usage) <= 160
            assert len(points) < 800

    run(scenario())


def test_counts_of_answers_that_the_module_never_hears_of() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def waits(args: list[bytes]) -> bytes | None:
            await gate.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        async with serving(Backend(waits)) as (ingress, client, _):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file("[graphite g]\naddress = 127.0.0.1:9\n", "test"))
            tally = exporter.tally
            assert tally is not None
            client.ask()
            client.asked -= 1
            client.ask()  # the same id, while the first is open
            ingress.requests.limits.max_body_bytes = 1000
            client.ask(body=b"x" * 2000)
            leaver = await Client.open(ingress.address.port)
            leaver.asked += 100
            leaver.ask()
            await until(lambda: len(ingress.requests) == 2)
            leaver.writer.close()
            await until(lambda: tally.disconnected[0, 0])
            gate.set()
            assert [await client.answer() for _ in range(3)] == [
                b"value",
                "ERR this id is open already",
                "BUSY 500",
            ]
            tally.flush()
            assert dict(tally.reasons) == {
                (0, 0, "failed", "duplicate"): 1,
                (0, 0, "refused", "bodies"): 1,
            }
            assert [tally.answers[0, 0, o] for o in ("served", "refused", "failed")] == [1, 1, 1]
            assert (tally.units_requested, tally.units_forwarded, tally.units_rejected) == (
                [8.0],
                [4.0],
                [2.0],
            )
            await exporter.farewell()

    run(scenario())


def test_what_is_sealed_wrongly_or_cut_short_is_counted_and_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with receiving(tmp_path, "collectd") as (stand_in, ledger):
            host, port = stand_in.addresses["collectd"].rsplit(":", 1)
            points = [
                Point(("life",), "gauge", 5.0),
                Point(("answers", "a", "b", "served"), "derive", 7),
            ]

            def send(security: str, password: bytes, cut: int = 0) -> None:
                sealer = packet_sealer(security, "ops", password)
                (packet,) = PacketEncoder("n0", "dockthread", 1.0, sealer).packets(points, 9.0)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                    sock.sendto(packet[: len(packet) - cut], (host, int(port)))

            send("encrypt", b"another password")
            send("sign", PASSWORD)
            send("none", b"")
            send("encrypt", PASSWORD, cut=3)
            await until(lambda: sum(ledger.faults().values()) == 4)
            assert not ledger.totals()
            send("encrypt", PASSWORD)
            await until(lambda: ledger.totals("answers"))
            assert [t.value for t in ledger.totals("answers")] == [7.0]
            assert {kind for _, kind in ledger.faults()} == {
                "a wrong password, or spoilt bytes",
                "not encrypted",
                "an encrypted part that is cut short",
            }

    run(scenario())
