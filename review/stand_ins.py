"""Stand-ins for the cases of the review: backends, discovery, clients, and the platform.

They use the standard library alone, and loopback addresses alone. Each does what the protocol page
says of a sound peer; what a case adds to that is in the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_TIMEOUT_S = 100.0
CROSSING_S = 0.5  # a close that comes this soon after a request may have crossed it


class CaseNotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start; `write` saves it."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._started:8.3f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


# The settings of a small deployment, with every key of the page on the wire.


def request_class(name: str, effect: str, aim_ms: int, deadline_ms: int) -> dict[str, Any]:
    """Return a class of requests as the settings describe one."""
    return {
        "Name": name,
        "Aim": aim_ms * 1000,
        "HardLimit": deadline_ms * 1000,
        "Effect": effect,
        "Group": "all",
        "Window": 2_500_000,
        "LateShare": 0.0,
        "Points": 1.0,
        "Stream": False,
    }


def settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the settings of one ingress without peers and without a counter."""
    return {
        "Azs": ["hall-a", "hall-b"],
        "Classes": copy.deepcopy(classes),
        "ClientHabits": {"MarksRetry": False},
        "Costs": {"CrossZone": 0.01, "LateFail": 0.08, "Waste": 0.11},
        "Discovery": "automatic",
        "Domain": {
            "CounterPrice": 0.01,
            "CounterTimeout": 50_000,
            "Largest": 4,
            "MayCount": False,
            "Metering": 0,
            "PeerInPerS": 0.0,
            "TruedUp": False,
        },
        "Family": "gate",
        "Goal": {"Whole": 0.65, "WorstClass": 0.0, "WorstTenant": 0.15, "WorstWindow": 0.2},
        "Limits": {
            "Cancelling": True,
            "ConnIdle": 15_000_000,
            "ConnectTimeout": 250_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 400_000,
            "MaxOpen": 20_000,
            "MaxRetryAfter": 500_000,
            "Multiplex": 100,
            "Peers": False,
            "Probes": False,
            "RetryAfter": False,
            "SecondCopies": False,
            "SendCap": 3,
        },
        "Models": ["type-a"],
        "MyNumber": 0,
        "Packages": [
            {
                "CapDepth": 0.0,
                "CeilingRate": 0.0,
                "ExcessCost": 0.6,
                "MaxOut": 0,
                "Name": "mittel",
                "OverWorth": 0.1,
                "PeakUnits": 40.0,
                "Refill": 20.0,
                "Tolerance": 0.0,
                "WorthFactor": 1.0,
            }
        ],
        "Period": 4000,
        "ReplicasOfMe": 1,
        "Safety": {
            "AnswerSlack": 16_000,
            "AskWithin": 10_000_000,
            "Cold": 16_000_000,
            "ColdShare": 0.22,
            "FallMultiple": 3.0,
            "StopSendingWithin": 1_000_000,
            "TipAfter": 3_000_000,
        },
        "Stage": 0,
        "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
        "Tiers": ["licence-nodes"],
        "WeightKind": "off",
        "Zone": 0,
    }


# RESP2


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read an array of bulk strings.

    Raises:
        EOFError: The connection ended.
    """
    head = await reader.readline()
    if not head.endswith(b"\r\n") or not head.startswith(b"*"):
        raise EOFError
    arguments = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


def encode_command(*arguments: bytes) -> bytes:
    """Return an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


def terms_of(command: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request."""
    return dict(pair.split("=", 1) for pair in command[3].decode().split(","))


# Backends


@dataclass
class Run:
    """One command that came whole to a backend."""

    backend: str
    hall: str
    request: str
    key: str
    came_at: float


class ResetUnderRequestError(Exception):
    """Raised by the work of a backend whose connection is reset before its answer."""


Work = Callable[["Backend", list[bytes]], Awaitable[bytes | None]]


class Backend:
    """A backend; `work` does a command and returns its value, or None for `-ERR failed`."""

    def __init__(self, uid: str, hall: str, record: Record, work: Work) -> None:
        self.uid = uid
        self.hall = hall
        self.runs: list[Run] = []
        self._record = record
        self._work = work
        self._in_flight = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    def target(self, state: str = "active") -> dict[str, Any]:
        """Return this backend's entry in the list of discovery."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{port}",
            "az": self.hall,
            "model": "type-a",
            "pod_group": 1 if self.hall == "hall-a" else 2,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError, asyncio.CancelledError):
            try:
                while True:
                    command = await read_command(reader)
                    writer.write(await self._answer(command))
                    await writer.drain()
            except ResetUnderRequestError:
                connection = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)  # a close now resets the connection
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                self._record.add(f"backend {self.uid} resets the connection")
        writer.close()

    async def _answer(self, command: list[bytes]) -> bytes:
        if command[0] not in (b"API.READ", b"API.WRITE"):
            fixed = {b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}
            return fixed.get(command[0].upper(), b"-ERR unknown\r\n")
        request = command[2].decode()
        key = terms_of(command).get("k", "")
        self.runs.append(Run(self.uid, self.hall, request, key, time.monotonic()))
        self._record.add(f"backend {self.uid} in {self.hall} got {request} k={key or '-'}")
        self._in_flight += 1
        try:
            value = await self._work(self, command)
        finally:
            self._in_flight -= 1
        if value is None:
            return b"-ERR failed\r\n"
        report = b"inflight=%d,qps=1,queue=0" % self._in_flight
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
            len(value),
            value,
            len(report),
            report,
        )


# Discovery


class Discovery:
    """The agent on the ingress's machine: answers at once with the list that it has."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        self._list = {"rev": 1, "all": True, "targets": targets}
        self._server: asyncio.Server | None = None

    @property
    def known(self) -> dict[str, Any]:
        """The list as the configuration holds it."""
        return self._list

    async def open(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            text = json.dumps(self._list).encode() + b"\n"
            if b"watch=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                await writer.drain()
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:  # the list, and then an empty line every 2 s
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(2)
                text = b"\n"
        writer.close()


# Clients


@dataclass
class Answer:
    """What a client got for one request; `kind` is served, refused, failed, closed or none."""

    request: str
    kind: str
    sent_at: float
    ended_at: float
    text: str = ""


@dataclass
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_used: bool = False


@dataclass
class Clients:
    """Clients of one ingress: they keep their connections, and open more when all are busy.

    A client waits for `patience_s` after its time is up, to see whether an answer comes at all.
    """

    address: tuple[str, int]
    record: Record
    patience_s: float = 1.5
    answers: list[Answer] = field(default_factory=list)
    _idle: list[_Connection] = field(default_factory=list)
    _count: int = 0

    async def ask(self, verb: str, terms: str, deadline_ms: int, body: str = "") -> Answer:
        """Send one request, and return and keep its answer."""
        self._count += 1
        request = f"{self._count:016x}"
        customer = f"{1 + self._count % 8:016x}"
        words = [verb, customer, request, f"{terms},d={deadline_ms},units=1,spread=1,first=0"]
        command = encode_command(*(word.encode() for word in [*words, *([body] if body else [])]))
        self.record.add(f"client sends {' '.join(words)}")
        sent_at = time.monotonic()
        kind, text = await self._exchange(command, deadline_ms / 1000 + self.patience_s)
        answer = Answer(request, kind, sent_at, time.monotonic(), text)
        took_ms = (answer.ended_at - sent_at) * 1000
        self.record.add(f"client has {request}: {kind} after {took_ms:.0f} ms {text}")
        self.answers.append(answer)
        return answer

    async def _exchange(self, command: bytes, wait_s: float) -> tuple[str, str]:
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    connection = self._idle.pop() if self._idle else await self._connect()
                    written_at = time.monotonic()
                    kind, text = await self._send(connection, command)
                    has_crossed = time.monotonic() - written_at < CROSSING_S
                    if kind == "closed" and connection.is_used and has_crossed:
                        continue  # a close between requests crossed this one: once more
                    break
        except TimeoutError:
            return "none", ""
        except OSError as error:
            return "unreachable", type(error).__name__
        if kind != "closed":
            connection.is_used = True
            self._idle.append(connection)
        return kind, text

    async def _connect(self) -> _Connection:
        return _Connection(*await asyncio.open_connection(*self.address))

    async def _send(self, connection: _Connection, command: bytes) -> tuple[str, str]:
        try:
            connection.writer.write(command)
            line = await connection.reader.readline()
            if line.startswith(b"$") and line.endswith(b"\r\n") and line != b"$-1\r\n":
                value = (await connection.reader.readexactly(int(line[1:]) + 2))[:-2]
                return "served", value.decode()
        except (OSError, EOFError):
            line = b""
        if not line.endswith(b"\r\n"):
            connection.writer.close()
            return "closed", ""
        kind = "refused" if line.startswith(b"-BUSY") else "failed"
        return kind, line.decode().strip()


async def ping(address: tuple[str, int]) -> bool:
    """Return whether an ingress answers `PING` with `+PONG`, as the front asks it."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_command(b"PING"))
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return line == b"+PONG\r\n"


async def call(address: tuple[str, int], method: str, path: str, body: str = "") -> tuple[int, str]:
    """Make one call of an ingress's management endpoint; the status is 0 without an answer."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(*address)
            writer.write((head + body).encode())
            answer = (await reader.read()).decode()
            writer.close()
    except (OSError, TimeoutError):
        return 0, ""
    if not answer.startswith("HTTP/1.1 "):
        return 0, ""
    return int(answer.split()[1]), answer.partition("\r\n\r\n")[2]


# The platform


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Platform:
    """Starts ingresses by the deploy file's `run`, and ends what it started."""

    def __init__(self, record: Record) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.temporary = self.folder / "tmp"  # $TMPDIR of the ingress, empty at its start
        self.temporary.mkdir()
        self._record = record
        self._run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self._processes: list[asyncio.subprocess.Process] = []

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a configuration in one step, so that no ingress reads half of it."""
        path = self.folder / name
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        new_path.replace(path)
        return path

    async def start(
        self, name: str, environ: dict[str, str], pass_fds: tuple[int, ...] = ()
    ) -> asyncio.subprocess.Process:
        """Run an ingress with this environment; its log lies in the temporary folder."""
        inherited = {key: value for key, value in os.environ.items() if key in ("PATH", "LANG")}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self._run,
                cwd=ROOT,
                env={**inherited, "TMPDIR": str(self.temporary), **environ},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        self._processes.append(process)
        self._record.add(f"platform runs {name}")
        return process

    def log_of(self, name: str) -> str:
        """Return what an ingress has written to standard output and error."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def signal(
        self, name: str, process: asyncio.subprocess.Process, number: signal.Signals
    ) -> None:
        """Send a signal to a process that this platform started."""
        if process.returncode is None:
            process.send_signal(number)
            self._record.add(f"platform sends {number.name} to {name}")

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until(condition: Callable[[], Awaitable[bool]], seconds: float, what: str) -> None:
    """Wait for a condition.

    Raises:
        CaseNotRunError: It did not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise CaseNotRunError(what)
        await asyncio.sleep(0.01)


def main(folder: Path, case: Callable[[Record, Platform], Awaitable[int]]) -> None:
    """Run a case within its time, write its record, and exit with its result."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        platform = Platform(record)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await case(record, platform)
        finally:
            await platform.close()

    try:
        result = asyncio.run(run())
    except (CaseNotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        result = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "the case did not run"}
    record.add(f"exit {result}: {words[result]} (TROUBLE={int(TROUBLE)})")
    record.write()
    print(words[result])
    sys.exit(result)
