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

ROOT = Path(__file__).parent.parent
ANSWER = b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"

SETTINGS: dict[str, Any] = {
    "MyNumber": 0,
    "ReplicasOfMe": 1,
    "Classes": [
        {"Name": "seat-status", "Aim": 1_500_000, "HardLimit": 4_000_000, "Effect": "pure", "Points": 1.0},
        {"Name": "seat-checkout", "Aim": 3_000_000, "HardLimit": 12_000_000, "Effect": "side_effect", "Points": 2.0},
    ],
    "Packages": [
        {"Name": name, "Refill": 1e6, "PeakUnits": 1e6, "WorthFactor": 1.0} for name in ("klein", "mittel", "gross")
    ],
    "Azs": ["hall-a"],
    "Models": ["type-a"],
    "Period": 4000,
    "Domain": {"Largest": 4},
    "Limits": {"SendCap": 4, "Cancelling": True, "SecondCopies": True, "MaxRetryAfter": 500_000,
               "ConnectTimeout": 250_000, "ConnIdle": 15_000_000},
    "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
}  # fmt: skip


class Node(asyncio.Protocol):
    """A node that answers every command at once, or after `delay` seconds."""

    delay = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the parser of a new connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]  # uvloop's own class
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        """Answer all commands that are complete."""
        self.reader.feed(data)
        while self.reader.gets() is not False:
            if self.delay:
                asyncio.get_running_loop().call_later(self.delay, self._answer)
            else:
                self.transport.write(ANSWER)

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(ANSWER)


async def _pool(nodes: int, delay: float) -> None:
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
class Daemon:
    """A running ingress process."""

    pid: int
    port: int

    def cpu(self) -> float:
        """Return the CPU time used so far in s; the scheduler counts it in nanoseconds."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1e9

    def resident(self) -> int:
        """Return the resident set size in bytes."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )


@asynccontextmanager
async def daemon(
    folder: Path,
    at: dict[str, Any],
    tree: Path = ROOT,
    ini: str = "",
    settings: dict[str, Any] | None = None,
    core: int | None = None,
) -> AsyncIterator[Daemon]:
    """Run an ingress from the checkout `tree` that uses the pool at the ports `at`.

    `ini` is the text of its operator's file, if it has one. With `core` it runs on this CPU only.
    """
    targets = [
        {
            "uid": f"s-{n}",
            "endpoint": f"127.0.0.1:{port}",
            "az": "hall-a",
            "model": "type-a",
            "state": "active",
        }
        for n, port in enumerate(at["nodes"])
    ]
    raw = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{at['discovery']}", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 192.0}, "known": {"rev": 1, "all": True, "targets": targets},
        "settings": settings or SETTINGS,
    }  # fmt: skip
    config = folder / "config.json"
    config.write_text(json.dumps(raw))
    environ = {**os.environ, "NODE_CONFIG": str(config)}
    environ.pop("DOCKTHREAD_CONFIG", None)
    if ini:
        (folder / "my.ini").write_text(ini)
        environ["DOCKTHREAD_CONFIG"] = str(folder / "my.ini")
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dockthread", cwd=tree, env=environ, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    line = b""
    while b"listens on" not in line:
        if not (line := await process.stderr.readline()):
            raise RuntimeError("the daemon ended without listening")
    if core is not None:
        os.sched_setaffinity(process.pid, {core})
    swallow = asyncio.create_task(_swallow(process.stderr))
    try:
        yield Daemon(process.pid, int(line.rsplit(b":", 1)[1]))
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()
        swallow.cancel()


async def _swallow(stream: asyncio.StreamReader) -> None:
    """Read a stream to its end, so that the process that writes it does not block."""
    while await stream.readline():
        pass


def command(
    number: int, kind: str = "seat-status", plan: str = "gross", deadline: int = 4000
) -> bytes:
    """Return a request as clients encode it; `deadline` is in ms."""
    verb = b"API.READ" if kind == "seat-status" else b"API.WRITE"
    args = (verb, b"%016x" % (number % 500), b"%016x" % number,
            f"c={kind},t={plan},d={deadline},units=1,spread=1,first=0".encode())  # fmt: skip
    return b"*%d\r\n%b" % (len(args), b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))


@dataclass
class Result:
    """Outcomes and latencies of the requests of a run."""

    asked: int = 0
    times: list[float] = field(default_factory=list)  # Latencies in ms of answered requests.
    outcomes: dict[str, int] = field(default_factory=dict)
    seconds: float = 0.0

    def note(self, answer: Any, took: float) -> None:
        """Record the answer to a request and its latency in s."""
        word = "served" if isinstance(answer, bytes) else str(answer).split(" ")[0]
        self.outcomes[word] = self.outcomes.get(word, 0) + 1
        self.times.append(took * 1000.0)

    def quantile(self, part: float) -> float:
        """Return a quantile of the latencies in ms, or 0 if no request was answered."""
        ordered = sorted(self.times)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


_numbers = iter(range(1, 1 << 60))


async def closed_loop(port: int, requests: int, clients: int = 16, **words: Any) -> Result:
    """Send requests on `clients` connections, each as soon as the previous one is answered."""
    result, left = Result(), requests

    async def one() -> None:
        nonlocal left
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parser = hiredis.Reader()
        while left > 0:
            left -= 1
            result.asked += 1
            started = time.perf_counter()
            writer.write(command(next(_numbers), **words))
            while (answer := parser.gets()) is False:
                if not (data := await reader.read(65536)):
                    return
                parser.feed(data)
            result.note(answer, time.perf_counter() - started)
        writer.close()

    started = time.perf_counter()
    await asyncio.gather(*(one() for _ in range(clients)))
    result.seconds = time.perf_counter() - started
    return result


async def open_loop(
    port: int, rate: float, seconds: float, clients: int = 64, **words: Any
) -> Result:
    """Send requests at a constant rate regardless of the answers.

    Latencies count from the intended start of a request.
    """
    result = Result()
    free: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter, Any]] = asyncio.Queue()
    for _ in range(clients):
        free.put_nowait((*await asyncio.open_connection("127.0.0.1", port), hiredis.Reader()))

    async def one(due: float) -> None:
        connection = reader, writer, parser = await free.get()
        writer.write(command(next(_numbers), **words))
        while (answer := parser.gets()) is False:
            if not (data := await reader.read(65536)):
                return
            parser.feed(data)
        result.note(answer, time.perf_counter() - due)
        free.put_nowait(connection)

    begun, tasks = time.perf_counter(), []
    for n in range(int(rate * seconds)):
        due = begun + n / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        result.asked += 1
        tasks.append(asyncio.create_task(one(due)))
    await asyncio.wait(tasks, timeout=15)
    result.seconds = time.perf_counter() - begun
    return result


def spread(figures: list[float]) -> str:
    """Return median, minimum, maximum and number of some figures as text."""
    return f"median {statistics.median(figures):.4g}, {min(figures):.4g} to {max(figures):.4g}, n={len(figures)}"


def main(coroutine: Any) -> None:
    """Run a coroutine on uvloop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(coroutine)


if __name__ == "__main__":
    main(_pool(int(sys.argv[1]), float(sys.argv[2])))
