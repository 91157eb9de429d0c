"""Helpers of the benchmarks: a pool of nodes, ingress processes, load clients and process figures.

The pool, with nodes that answer at once and a discovery, is a separate process. Ingress processes
may run from any checkout. CPU time and memory of a process are those that the system reports.

All addresses are on loopback. Every run is bounded in requests or time.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import hiredis
import uvloop

from dockthread.lab.site_settings import site_settings

ROOT = Path(__file__).parent.parent
SERVED_ANSWER = b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"

SETTINGS: dict[str, Any] = site_settings(
    classes=[
        {"Name": "seat-status", "Aim": 1_500_000, "HardLimit": 4_000_000, "Effect": "pure"},
        {
            "Name": "seat-checkout",
            "Aim": 3_000_000,
            "HardLimit": 12_000_000,
            "Effect": "side_effect",
            "Points": 2.0,
        },
    ],
    plans=[
        {"Name": name, "Refill": 1e6, "PeakUnits": 1e6} for name in ("klein", "mittel", "gross")
    ],
    Azs=["hall-a"],
    Domain={"Largest": 4},
    Limits={"SendCap": 4, "Cancelling": True, "SecondCopies": True, "MaxRetryAfter": 500_000},
    Stats={"Names": ["rif", "rate", "q"], "Source": "inline"},
)


class Node(asyncio.Protocol):
    """A node that answers every command at once, or after `delay` seconds."""

    delay = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the parser of a new connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop passes a class of its own
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Answer all commands that are complete."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            if self.delay:
                asyncio.get_running_loop().call_later(self.delay, self._answer)
            else:
                self.transport.write(SERVED_ANSWER)

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(SERVED_ANSWER)


async def _run_pool(nodes: int, delay: float) -> None:
    """Run the nodes and the discovery, and print their ports as JSON."""
    loop = asyncio.get_running_loop()
    Node.delay = delay
    ports = []
    for _ in range(nodes):
        server = await loop.create_server(Node, "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a watch that never has a change: send a heartbeat every 2 s."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                await asyncio.sleep(2)
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(watch, "127.0.0.1", 0)
    print(json.dumps({"nodes": ports, "discovery": server.sockets[0].getsockname()[1]}), flush=True)
    await asyncio.Event().wait()


@asynccontextmanager
async def pool(nodes: int = 3, delay: float = 0.0) -> AsyncIterator[dict[str, Any]]:
    """Run a pool in a process of its own, and yield the ports of its nodes and discovery."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.rig",
        str(nodes),
        str(delay),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        yield json.loads(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


@dataclass
class IngressProcess:
    """A running ingress process."""

    pid: int
    port: int

    def cpu_s(self) -> float:
        """Return the CPU time used so far in s; the scheduler counts it in nanoseconds."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1e9

    def resident_bytes(self) -> int:
        """Return the resident set size in bytes."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )


@asynccontextmanager
async def ingress_process(
    folder: Path,
    ports: dict[str, Any],
    checkout: Path = ROOT,
    ini: str = "",
    settings: dict[str, Any] | None = None,
    cpu_core: int | None = None,
) -> AsyncIterator[IngressProcess]:
    """Run an ingress from a checkout; it uses the pool at `ports`.

    `ini` is the text of its operator's file, if it has one. If `cpu_core` is given, the ingress runs
    on this core only.
    """
    targets = [
        {
            "uid": f"s-{number}",
            "endpoint": f"127.0.0.1:{port}",
            "az": "hall-a",
            "model": "type-a",
            "state": "active",
        }
        for number, port in enumerate(ports["nodes"])
    ]
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{ports['discovery']}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192.0, "sockets": 1024}, "known": {"rev": 1, "all": True, "targets": targets},
        "settings": settings or SETTINGS,
    }  # fmt: skip
    config_path = folder / "config.json"
    config_path.write_text(json.dumps(config))
    environment = {**os.environ, "NODE_CONFIG": str(config_path)}
    environment.pop("DOCKTHREAD_CONFIG", None)
    if ini:
        (folder / "my.ini").write_text(ini)
        environment["DOCKTHREAD_CONFIG"] = str(folder / "my.ini")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "dockthread",
        cwd=checkout,
        env=environment,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    line = b""
    while b"listens on" not in line:
        if not (line := await process.stderr.readline()):
            raise RuntimeError("the ingress exited before it listened")
    if cpu_core is not None:
        os.sched_setaffinity(process.pid, {cpu_core})
    drain_task = asyncio.create_task(_drain(process.stderr))
    try:
        yield IngressProcess(process.pid, int(line.rsplit(b":", 1)[1]))
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()
        drain_task.cancel()


async def _drain(stream: asyncio.StreamReader) -> None:
    """Read a stream to its end, so that the process that writes it does not block."""
    while await stream.readline():
        pass


def encode_request(
    number: int, request_class: str = "seat-status", plan: str = "gross", deadline: int = 4000
) -> bytes:
    """Return a request as clients encode it; `deadline` is in ms."""
    verb = b"API.READ" if request_class == "seat-status" else b"API.WRITE"
    args = (verb, b"%016x" % (number % 500), b"%016x" % number,
            f"c={request_class},t={plan},d={deadline},units=1,spread=1,first=0".encode())  # fmt: skip
    return b"*%d\r\n%b" % (len(args), b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args))


@dataclass
class LoadResult:
    """Outcomes and latencies of the requests of a run."""

    sent_count: int = 0
    latencies_ms: list[float] = field(default_factory=list)  # Latencies in ms of answered requests.
    outcomes: dict[str, int] = field(default_factory=dict)
    seconds: float = 0.0

    def record(self, answer: Any, latency_s: float) -> None:
        """Record the answer to a request and its latency in s."""
        outcome = "served" if isinstance(answer, bytes) else str(answer).split(" ")[0]
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.latencies_ms.append(latency_s * 1000.0)

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the latencies in ms, or 0 if no request was answered."""
        ordered_ms = sorted(self.latencies_ms)
        return (
            ordered_ms[min(len(ordered_ms) - 1, int(fraction * len(ordered_ms)))]
            if ordered_ms
            else 0.0
        )


_request_numbers = iter(range(1, 1 << 60))


async def closed_loop(
    port: int, requests: int, clients: int = 16, **request_fields: Any
) -> LoadResult:
    """Send requests on `clients` connections, each as soon as the previous one is answered."""
    result = LoadResult()
    remaining = requests

    async def send_requests() -> None:
        nonlocal remaining
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parser = hiredis.Reader()
        while remaining > 0:
            remaining -= 1
            result.sent_count += 1
            sent_at = time.perf_counter()
            writer.write(encode_request(next(_request_numbers), **request_fields))
            while (answer := parser.gets()) is False:
                if not (data := await reader.read(65536)):
                    return
                parser.feed(data)
            result.record(answer, time.perf_counter() - sent_at)
        writer.close()

    started_at = time.perf_counter()
    await asyncio.gather(*(send_requests() for _ in range(clients)))
    result.seconds = time.perf_counter() - started_at
    return result


async def open_loop(
    port: int, rate: float, seconds: float, clients: int = 64, **request_fields: Any
) -> LoadResult:
    """Send requests at a constant rate regardless of the answers.

    Latencies count from the intended start of a request.
    """
    result = LoadResult()
    idle_connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter, Any]] = (
        asyncio.Queue()
    )
    for _ in range(clients):
        idle_connections.put_nowait(
            (*await asyncio.open_connection("127.0.0.1", port), hiredis.Reader())
        )

    async def send_request(intended_start: float) -> None:
        connection = reader, writer, parser = await idle_connections.get()
        writer.write(encode_request(next(_request_numbers), **request_fields))
        while (answer := parser.gets()) is False:
            if not (data := await reader.read(65536)):
                return
            parser.feed(data)
        result.record(answer, time.perf_counter() - intended_start)
        idle_connections.put_nowait(connection)

    started_at = time.perf_counter()
    tasks = []
    for number in range(int(rate * seconds)):
        intended_start = started_at + number / rate
        await asyncio.sleep(max(0.0, intended_start - time.perf_counter()))
        result.sent_count += 1
        tasks.append(asyncio.create_task(send_request(intended_start)))
    await asyncio.wait(tasks, timeout=15)
    result.seconds = time.perf_counter() - started_at
    return result


def spread_text(figures: list[float]) -> str:
    """Return median, minimum, maximum and number of some figures as text."""
    return f"median {statistics.median(figures):.4g}, {min(figures):.4g} to {max(figures):.4g}, n={len(figures)}"


def run_coroutine(coroutine: Any) -> None:
    """Run a coroutine on uvloop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(coroutine)


if __name__ == "__main__":
    run_coroutine(_run_pool(int(sys.argv[1]), float(sys.argv[2])))
