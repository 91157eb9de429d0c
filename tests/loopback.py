"""An ingress and its peers on loopback ports: backends, a discovery and a client."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import hiredis
import uvloop

from dockthread.clock import Clock
from dockthread.config.ingress_config import IngressConfig
from dockthread.config.platform_settings import read_config
from dockthread.net.ingress import Ingress

STATUS_CLASS: dict[str, Any] = {
    "Name": "status",
    "Aim": 1_500_000,
    "HardLimit": 4_000_000,
    "Effect": "pure",
    "LateShare": 0.0,
    "Points": 1.0,
    "Stream": False,
}
CHECKOUT_CLASS: dict[str, Any] = STATUS_CLASS | {
    "Name": "checkout",
    "Aim": 3_000_000,
    "HardLimit": 12_000_000,
    "Effect": "side_effect",
}
GROSS_PLAN: dict[str, Any] = {
    "CapDepth": 0.0,
    "CeilingRate": 0.0,
    "ExcessCost": 0.0,
    "MaxOut": 0,
    "Name": "gross",
    "OverWorth": 0.0,
    "PeakUnits": 1000.0,
    "Refill": 1000.0,
    "Tolerance": 0.0,
    "WorthFactor": 1.0,
}
# Policy settings with all keys that the platform's page on the wire requires.
SETTINGS: dict[str, Any] = {
    "Azs": ["hall-a", "hall-b"],
    "Classes": [STATUS_CLASS, CHECKOUT_CLASS],
    "ClientHabits": {"MarksRetry": False},
    "Costs": {},
    "Discovery": "automatic",
    "Domain": {
        "CounterPrice": 0.0,
        "CounterTimeout": 50_000,
        "Largest": 4,
        "MayCount": False,
        "Metering": 0,
        "PeerInPerS": 0.0,
        "TruedUp": False,
    },
    "Family": "gate",
    "Goal": {"Whole": 1.0, "WorstClass": 0.0, "WorstTenant": 0.0, "WorstWindow": 0.0},
    "Limits": {
        "Cancelling": True,
        "ConnIdle": 15_000_000,
        "ConnectTimeout": 250_000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 0,
        "MaxOpen": 20_000,
        "MaxRetryAfter": 500_000,
        "Multiplex": 100,
        "Peers": False,
        "Probes": False,
        "RetryAfter": False,
        "SecondCopies": True,
        "SendCap": 4,
    },
    "Models": ["type-a"],
    "MyNumber": 0,
    "Packages": [GROSS_PLAN],
    "Period": 4000,
    "ReplicasOfMe": 4,
    "Safety": {
        "AnswerSlack": 0,
        "AskWithin": 10_000_000,
        "Cold": 0,
        "ColdShare": 1.0,
        "FallMultiple": 1.0,
        "StopSendingWithin": 0,
        "TipAfter": 1_000_000,
    },
    "Stage": 0,
    "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
    "Tiers": ["backends"],
    "WeightKind": "off",
    "Zone": 0,
}
PROCESS_LIMITS: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
CUSTOMER_KEY = b"00000000b4d65521"  # The customer of a client's requests, as clients encode it.
FIRST_REQUEST_ID = 0x9B1F03AA5C7E2D41  # The id of a client's first request; ids increase by one.
SCENARIO_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.005
READ_BYTES = 65536
EMPTY_ENDPOINT_LIST: dict[str, Any] = {"rev": 1, "all": True, "targets": []}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a test's scenario in a new event loop; fail if it takes over `SCENARIO_TIMEOUT_S`."""

    async def run_with_timeout() -> None:
        await asyncio.wait_for(scenario, SCENARIO_TIMEOUT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_with_timeout())


async def until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)


def target(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
    """Return one backend in the form in which discovery lists it under the key `targets`."""
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "hall-a",
        "state": state,
        "boot_ms": boot_ms,
    }


def message(rev: int, *targets: dict[str, Any], full: bool = False) -> dict[str, Any]:
    """Return a full endpoint list, or changes to one, in the form in which discovery sends it."""
    return {"rev": rev, "all": full, "targets": list(targets)}


def raw_config(known: dict[str, Any], discovery: int, **changes: Any) -> dict[str, Any]:
    """Return the configuration of an ingress in the platform's JSON form, with `changes`."""
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
    }
    return {**raw, "limits": PROCESS_LIMITS, "known": known, "settings": SETTINGS, **changes}


def config(known: dict[str, Any], discovery: int = 9, **changes: Any) -> IngressConfig:
    """Return the configuration of an ingress, read from a file as an ingress does when it starts."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(raw_config(known, discovery, **changes)))
        return read_config({"NODE_CONFIG": str(path)})


def command(*args: bytes) -> bytes:
    """Return a command as clients encode it."""
    encoded_args = [b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args]
    return b"*%d\r\n%b" % (len(args), b"".join(encoded_args))


def request(
    number: int,
    kind: str = "status",
    d: int = 4000,
    body: bytes | None = None,
    key: bytes = CUSTOMER_KEY,
) -> bytes:
    """Return a request as clients encode it; `d` is its deadline in milliseconds."""
    request_terms = b"c=%b,t=gross,d=%d,units=2,spread=3,first=1" % (kind.encode(), d)
    verb = b"API.READ" if kind == "status" else b"API.WRITE"
    return command(
        verb, key, b"%016x" % number, request_terms, *([body] if body is not None else [])
    )


async def reply_served(args: list[bytes]) -> bytes | None:
    """Reply to any command as a backend that serves it.

    It is the default of `Backend.answer`, which may also return None to close the connection.
    """
    return b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class Backend:
    """A backend that replies with the result of `answer`, and stores received commands in `received_commands`."""

    def __init__(
        self, answer: Callable[[list[bytes]], Awaitable[bytes | None]] = reply_served
    ) -> None:
        self.answer = answer
        self.received_commands: list[list[bytes]] = []
        self.opened = 0  # Number of connections that were opened.
        self.closed = 0  # Number of connections that were closed.
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        parser = hiredis.Reader()
        answer_task: asyncio.Task[None] | None = None
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while args := parser.gets():
                    self.received_commands.append(args)
                    answer_task = asyncio.create_task(self._answer(args, writer))
        except ConnectionError:
            pass
        self.closed += 1
        if answer_task is not None:
            answer_task.cancel()
        writer.close()

    async def _answer(self, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        answer = await self.answer(args)
        if answer is None:
            writer.close()
        else:
            writer.write(answer)


class Discovery:
    """A discovery that keeps each watch open and sends the events that a test pushes.

    It closes the first `refused_watches` calls without a response.
    """

    def __init__(self, refused_watches: int = 0) -> None:
        self.refused_watches = refused_watches
        self.paths: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_head = await reader.readuntil(b"\r\n\r\n")
        self.paths.append(request_head.split(b" ")[1])
        if len(self.paths) <= self.refused_watches:
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)

    def push(self, event: dict[str, Any]) -> None:
        """Send a watch event on the latest watch."""
        line = json.dumps(event).encode() + b"\n"
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(line), line))


class Client:
    """A client on one connection; `next_request_id` is the id of its next request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader()
        self.next_request_id = FIRST_REQUEST_ID

    @classmethod
    async def open(cls, port: int) -> Client:
        """Connect to an ingress at this port."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *args: bytes) -> None:
        """Send a command."""
        self.writer.write(command(*args))

    async def answer(self) -> Any:
        """Return the next response: a value, an error's text, or None if the connection closed."""
        while (response := self.parser.gets()) is False:
            data = await self.reader.read(READ_BYTES)
            if not data:
                return None
            self.parser.feed(data)
        return str(response) if isinstance(response, hiredis.ReplyError) else response

    def send_request(
        self,
        kind: str = "status",
        d: int = 4000,
        body: bytes | None = None,
        key: bytes = CUSTOMER_KEY,
    ) -> None:
        """Send a request; `d` is its deadline in milliseconds."""
        self.writer.write(request(self.next_request_id, kind, d, body, key))
        self.next_request_id += 1

    async def call(self, kind: str = "status", **more: Any) -> Any:
        """Send a request and return its response."""
        self.send_request(kind, **more)
        return await self.answer()


@asynccontextmanager
async def running_ingress(
    *backends: Backend,
    clock: Clock | None = None,
    refused_watches: int = 0,
    wait: bool = True,
    **changes: Any,
) -> AsyncIterator[tuple[Ingress, Client, Discovery]]:
    """Run an ingress with these backends; yield it, a client connected to it, and its discovery.

    With `wait=False` the ingress listens, but may not have an endpoint list yet.
    """
    discovery = Discovery(refused_watches)
    targets = [target(f"s-{n}", await backend.start()) for n, backend in enumerate(backends)]
    known = message(1, *targets, full=True)
    ingress = Ingress(config(known, await discovery.start(), **changes), clock or Clock())
    ingress_task = asyncio.create_task(ingress.run())
    await until(
        lambda: ingress.lifecycle.ready and (not wait or (ingress.ready and discovery.writers))
    )
    client = await Client.open(ingress.address.port)
    try:
        yield ingress, client, discovery
    finally:
        ingress_task.cancel()
        await asyncio.gather(ingress_task, return_exceptions=True)
