"""Stand-ins of the second review: platform, discovery agent, backends and clients on loopback.

The ingresses are the project's own processes, started with the command `run` of the deploy file.
Every stand-in behaves as the protocol page says a sound one does. All times are in seconds on the
monotonic clock, counted from the start of the trial.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
# Exit codes of a trial; `run.sh` maps them, and anything else to 2.
BROKEN, HELD, VOID = 10, 0, 2
HEARTBEAT_S = 2.0
START_TIMEOUT_S = 15.0
END_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 5.0
POLL_S = 0.05
READ_BYTES = 65536


class VoidTrialError(Exception):
    """The trial could not be carried out, so that it says nothing of the rule."""


class Record:
    """What was sent, answered and run; written to `record.txt` at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():9.3f} {text}")

    def close(self, verdict: str) -> None:
        """Write the record, the verdict first."""
        self._path.write_text("\n".join([verdict, *self._lines]) + "\n")


class Reservations:
    """Free loopback ports, which no outgoing connection can take before they are used."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def address(self) -> str:
        """Reserve an address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self._sockets.append(sock)
        return f"{HOST}:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Release all ports."""
        for sock in self._sockets:
            sock.close()


def split(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


# RESP2


def encode(*words: str) -> bytes:
    """Return a command."""
    parts = [f"*{len(words)}\r\n"]
    parts += [f"${len(word.encode())}\r\n{word}\r\n" for word in words]
    return "".join(parts).encode()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read an array of bulk strings.

    Raises:
        IncompleteReadError: The connection ended.
    """
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer to a client: a line, or a bulk string with its head."""
    line = await reader.readuntil(b"\r\n")
    if line.startswith(b"$") and not line.startswith(b"$-1"):
        return line + await reader.readexactly(int(line[1:]) + 2)
    return line


# Backends and discovery


class Backend:
    """A backend that serves every request after a fixed time of work, and records each."""

    def __init__(self, uid: str, zone: str, record: Record, work_s: float) -> None:
        self.uid = uid
        self.zone = zone
        self.address = ""
        self.arrivals: list[tuple[float, str, str]] = []  # time, id, command
        self.work_by_verb: dict[str, float] = {}  # the usual work, where it differs by command
        self.work_by_id: dict[str, float] = {}  # requests that cost more than the usual work
        self.value_bytes = 0  # the least size of a value
        self.value_bytes_by_id: dict[str, int] = {}  # and that of single requests
        self._record = record
        self._work_s = work_s
        self._held = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": "type-a",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while words := await read_command(reader):
                writer.write(await self._answer(words))
                await writer.drain()
        writer.close()

    async def _answer(self, words: list[bytes]) -> bytes:
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        wire_id, verb = words[2].decode(), words[0].decode()
        self.arrivals.append((self._record.now(), wire_id, verb))
        self._record.add(f"run     {wire_id} at {self.uid} {verb}")
        self._held += 1
        usual_s = self.work_by_verb.get(verb, self._work_s)
        await asyncio.sleep(self.work_by_id.get(wire_id, usual_s))
        self._held -= 1
        value = f"{self.uid} {wire_id} ".encode()
        value = value.ljust(self.value_bytes_by_id.get(wire_id, self.value_bytes), b".")
        report = b"inflight=%d,qps=1,queue=0" % self._held
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
            len(value),
            value,
            len(report),
            report,
        )


class Discovery:
    """The agent of every ingress: pushes the whole list, then an empty line every 2 s."""

    def __init__(self, backends: Iterable[Backend]) -> None:
        self._backends = list(backends)
        self.address = ""
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        targets = [backend.entry() for backend in self._backends]
        return {"rev": 1, "all": True, "targets": targets}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0]
            message = json.dumps(self.listing()).encode() + b"\n"
            if b"watch=1" not in head:
                size = b"Content-Length: %d\r\n\r\n" % len(message)
                writer.write(b"HTTP/1.1 200 OK\r\n" + size + message)
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while True:
                    writer.write(b"%x\r\n%b\r\n" % (len(message), message))
                    await writer.drain()
                    await asyncio.sleep(HEARTBEAT_S)
                    message = b"\n"
        writer.close()


# Ingresses


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Ingress:
    """One ingress, started, ended and called as the platform and the staff do."""

    def __init__(self, name: str, folder: Path, ports: Reservations, record: Record) -> None:
        self.name = name
        self.folder = folder / name
        self.address = ports.address()
        self.management = ports.address()
        self.peer_address = ports.address()
        self.operator_file: Path | None = None
        self.environment: dict[str, str] = {}  # further variables
        self.pass_fds: tuple[int, ...] = ()
        self.process: subprocess.Popen[bytes] | None = None
        self._record = record
        self.folder.mkdir(parents=True)

    def configure(self, settings: dict[str, Any], number: int, discovery: Discovery) -> None:
        """Write the configuration of the platform."""
        config = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery.address,
            "management": self.management,
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings | {"MyNumber": number},
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    def start(self) -> subprocess.Popen[bytes]:
        """Start the command `run`; `$TMPDIR` is empty at each start."""
        temporary = self.folder / "tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        return self.start_beside(temporary, self.management)

    def start_beside(self, temporary: Path, management: str) -> subprocess.Popen[bytes]:
        """Start the command `run` with a given `$TMPDIR` and management address."""
        environment = os.environ | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.address,
            "NODE_MANAGEMENT": management,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(temporary),
        }
        for variable in ("DOCKTHREAD_CONFIG", "DOCKTHREAD_LOG", "NODE_DISCOVERY"):
            environment.pop(variable, None)
        environment.pop("NODE_INHERITED_FD", None)
        if self.operator_file is not None:
            environment["DOCKTHREAD_CONFIG"] = str(self.operator_file)
        environment |= self.environment
        with (self.folder / "log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=self.pass_fds,
            )
        self._record.add(f"start   {self.name}")
        self.process = process
        return process

    def kill(self) -> None:
        """Kill the process outright."""
        assert self.process is not None
        self._record.add(f"kill    {self.name}")
        self.process.kill()
        self.process.wait()

    async def call(self, method: str, path: str, body: object = None) -> tuple[int, str]:
        """Call the management endpoint; the status is 0 where there is no answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*split(self.management))
                writer.write(head.encode() + data)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, ""
        if not answer:
            return 0, ""
        status = int(answer.split()[1])
        text = answer.partition(b"\r\n\r\n")[2].decode()
        if method == "POST":
            self._record.add(f"staff   {path} {body} at {self.name}: {status} {text.strip()}")
        return status, text

    async def wait_until_ready(self) -> None:
        """Wait until the ingress answers `PING`, as the front does."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*split(self.address))
                writer.write(encode("PING"))
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"+PONG\r\n":
                    self._record.add(f"ready   {self.name}")
                    return
            await asyncio.sleep(POLL_S / 5)
        raise VoidTrialError(f"{self.name} is not ready")

    async def listing(self) -> list[dict[str, Any]]:
        """Return the unfinished maintenance as this ingress lists it."""
        status, text = await self.call("GET", "/_work")
        return list(json.loads(text)["work"]) if status == 200 else []

    async def state_of(self, target: str) -> str:
        """Return the state of a maintenance request; empty if there is none."""
        return next((str(e["state"]) for e in await self.listing() if e["target"] == target), "")


async def wait_for(condition: Callable[[], Any], seconds: float, what: str) -> None:
    """Wait until an asynchronous condition holds.

    Raises:
        VoidTrialError: It does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise VoidTrialError(f"{what}: not within {seconds:g} s")
        await asyncio.sleep(POLL_S)


# Clients


class Client:
    """Sends requests to one ingress at a steady rate, one at a time on each connection."""

    def __init__(self, ingress: Ingress, rate: float, record: Record, seed: int) -> None:
        self._ingress = ingress
        self._rate = rate
        self._record = record
        self._random = random.Random(seed)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._sending: asyncio.Task[None] | None = None
        self.served = 0
        self.sent = 0

    def start(self) -> None:
        """Begin to send."""
        self._sending = asyncio.create_task(self._send_all())

    async def stop(self) -> None:
        """Send no more, and wait for the last answers."""
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=END_TIMEOUT_S)
        for _, writer in self._idle:
            writer.close()
        self._idle = []

    async def _send_all(self) -> None:
        while True:
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(self._rate))

    async def _request(self) -> None:
        number = self._random.randrange(CUSTOMERS)
        wire_id = f"{self._random.getrandbits(64):016x}"
        is_write = self._random.random() < WRITE_SHARE
        verb, name, limit = WRITE if is_write else READ
        terms = f"c={name},t=mittel,d={limit},units=1,spread=1,first={self._ingress.name[1:]}"
        words = [verb, f"{number + 1:016x}", wire_id, terms]
        self.sent += 1
        self._record.add(f"request {wire_id} to {self._ingress.name} {verb} {terms}")
        try:
            async with asyncio.timeout(limit / 1000.0):
                answer = await self._ask(encode(*words))
        except (OSError, EOFError, TimeoutError) as error:
            answer = f"none: {type(error).__name__}".encode()
        self.served += answer.startswith(b"$")
        self._record.add(f"answer  {wire_id} {answer!r}")

    async def _ask(self, command: bytes) -> bytes:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(*split(self._ingress.address))
        try:
            writer.write(command)
            answer = await read_answer(reader)
        except BaseException:
            writer.close()
            raise
        self._idle.append((reader, writer))
        return answer


CUSTOMERS = 60
WRITE_SHARE = 0.25
READ = ("API.READ", "seat-status", 4000)
WRITE = ("API.WRITE", "seat-checkout", 12000)


def settings(ingress_count: int) -> dict[str, Any]:
    """Return the settings of the example, for a number of ingresses."""
    config = json.loads((ROOT / "example" / "config.json").read_text())
    return dict(config["settings"]) | {"ReplicasOfMe": ingress_count}


# A fleet


def write_fleet_files(ingresses: list[Ingress], addresses: dict[tuple[str, str], str]) -> None:
    """Make the folder of each member once, and write its operator's file.

    `addresses` may name another address at which a member reaches another one: that of a proxy.
    """
    for ingress in ingresses:
        directory = ingress.folder / "raft"
        command = [".venv/bin/python", "-m", "dockthread", "fleet", "init", str(directory)]
        subprocess.run(
            [*command, "--name", ingress.name], cwd=ROOT, check=True, stdout=subprocess.DEVNULL
        )
        members = ", ".join(
            f"{other.name}={addresses.get((ingress.name, other.name), other.peer_address)}"
            for other in ingresses
        )
        ingress.operator_file = ingress.folder / "operator.ini"
        ingress.operator_file.write_text(
            f"[fleet]\nlisten = {ingress.peer_address}\nmembers = {members}\n"
            f"directory = {directory}\nmost_out = 1\n"
        )


class Link:
    """The link on which one member reaches another; it goes through this proxy.

    As the protocol page has it: when a process dies, its connections are reset and new ones are
    refused.
    """

    def __init__(self, ports: Reservations, receiver: Ingress) -> None:
        self.address = ports.address()
        self._receiver = receiver
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Take connections, and pass on what comes."""
        self._server = await asyncio.start_server(self._forward, *split(self.address))

    def reset(self) -> None:
        """Refuse new connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        onward: asyncio.StreamWriter | None = None
        with suppress(OSError, asyncio.CancelledError):
            _, onward = await asyncio.open_connection(*split(self._receiver.peer_address))
            while data := await reader.read(READ_BYTES):
                onward.write(data)
                await onward.drain()
        self._writers.discard(writer)
        if onward is None:
            reset(writer)
        else:
            writer.close()
            onward.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_for_leader(ingresses: list[Ingress]) -> None:
    """Wait until all of these members know one leader."""

    async def have_leader() -> bool:
        leaders = set()
        for ingress in ingresses:
            status, text = await ingress.call("GET", "/_fleet")
            leaders.add(json.loads(text)["leader"] if status == 200 else "")
        return len(leaders) == 1 and "" not in leaders

    await wait_for(have_leader, START_TIMEOUT_S, "a leader")


# The trial


class Trial:
    """One run of a case: its folder, its record and the processes that it started."""

    def __init__(self, case: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="trial-"))
        self.ports = Reservations()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.ingresses: list[Ingress] = []
        self.clients: list[Client] = []
        self.closers: list[Callable[[], None]] = []

    def ingress(self, name: str) -> Ingress:
        """Return a new ingress, which is not started."""
        ingress = Ingress(name, self.folder, self.ports, self.record)
        self.ingresses.append(ingress)
        return ingress

    def start(self, ingress: Ingress) -> None:
        """Start an ingress, and remember its process."""
        self._processes.append(ingress.start())

    def remember(self, process: subprocess.Popen[bytes]) -> None:
        """Remember another process that has to be ended."""
        self._processes.append(process)

    async def backends(self, zones: Iterable[tuple[str, str]], work_s: float) -> list[Backend]:
        """Open backends, each given by its uid and zone."""
        backends = [Backend(uid, zone, self.record, work_s) for uid, zone in zones]
        for backend in backends:
            await backend.open()
            self.closers.append(backend.close)
        return backends

    async def discovery(self, backends: Iterable[Backend]) -> Discovery:
        """Open the agent of discovery."""
        discovery = Discovery(backends)
        await discovery.open()
        self.closers.append(discovery.close)
        return discovery

    def client(self, ingress: Ingress, rate: float) -> Client:
        """Return a client of an ingress that already sends."""
        client = Client(ingress, rate, self.record, seed=len(self.clients) + 1)
        self.clients.append(client)
        client.start()
        return client

    async def close(self) -> None:
        """End everything that was started."""
        for client in self.clients:
            await client.stop()
        for process in self._processes:
            if process.poll() is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for closer in self.closers:
            closer()
        self.ports.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Path, scenario: Callable[[Trial], Any], limit_s: float = 110.0) -> int:
    """Play a scenario, which returns a list of violations; write the record.

    Returns:
        `BROKEN`, `HELD`, or `VOID` if the case could not run.
    """

    async def run() -> int:
        trial = Trial(case)
        try:
            async with asyncio.timeout(limit_s):
                violations = await scenario(trial)
            result = BROKEN if violations else HELD
            verdict = "BROKEN" if violations else "HELD"
        except Exception as error:  # noqa: BLE001 - whatever failed, the case could not run
            violations, result, verdict = [repr(error)], VOID, "VOID"
        finally:
            await trial.close()
        trouble = "with" if trial.has_trouble else "without"
        text = "\n".join([f"{verdict}, {trouble} the disruption", *violations])
        trial.record.close(text)
        print(text)
        return result

    return asyncio.run(run())
