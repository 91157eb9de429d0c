"""The other parties of an ingress, on ephemeral loopback ports: backends, discovery and a
client.
"""

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

SETTINGS: dict[str, Any] = {
    "MyNumber": 0,
    "ReplicasOfMe": 4,
    "Classes": [
        {
            "Name": "status",
            "Aim": 1_500_000,
            "HardLimit": 4_000_000,
            "Effect": "pure",
            "Points": 1.0,
        },
        {"Name": "checkout", "Aim": 3_000_000, "HardLimit": 12_000_000, "Effect": "side_effect"},
    ],
    "Packages": [{"Name": "gross", "Refill": 1000.0, "PeakUnits": 1000.0}],
    "Azs": ["hall-a", "hall-b"],
    "Models": ["type-a"],
    "Period": 4000,
    "Domain": {"Largest": 4},
    "Limits": {
        "SendCap": 4,
        "Cancelling": True,
        "SecondCopies": True,
        "MaxRetryAfter": 500_000,
        "ConnectTimeout": 250_000,
        "ConnIdle": 15_000_000,
    },
    "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
}
KEY, FIRST_ID = b"00000000b4d65521", 0x9B1F03AA5C7E2D41
LIST: dict[str, Any] = {"rev": 1, "all": True, "targets": []}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(scenario, 30)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def target(uid: str, port: int, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "hall-a",
        "state": state,
        "boot_ms": boot_ms,
    }


def message(rev: int, *targets: dict[str, Any], full: bool = False) -> dict[str, Any]:
    return {"rev": rev, "all": full, "targets": list(targets)}


def raw_config(known: dict[str, Any], discovery: int, **changes: Any) -> dict[str, Any]:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
    }
    return {**raw, "limits": {"sockets": 1024}, "known": known, "settings": SETTINGS, **changes}


def config(known: dict[str, Any], discovery: int = 9, **changes: Any) -> IngressConfig:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(raw_config(known, discovery, **changes)))
        return read_config({"NODE_CONFIG": str(path)})


def command(*args: bytes) -> bytes:
    """A command as clients write it."""
    parts = [b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args]
    return b"*%d\r\n%b" % (len(args), b"".join(parts))


def request(
    number: int, kind: str = "status", d: int = 4000, body: bytes | None = None, key: bytes = KEY
) -> bytes:
    """A request as clients write it."""
    terms = b"c=%b,t=gross,d=%d,units=2,spread=3,first=1" % (kind.encode(), d)
    verb = b"API.READ" if kind == "status" else b"API.WRITE"
    return command(verb, key, b"%016x" % number, terms, *([body] if body is not None else []))


async def serves(args: list[bytes]) -> bytes | None:
    """What a backend does with a command: an answer, or None to break the connection."""
    return b"*3\r\n$5\r\nvalue\r\n$7\r\nused=37\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"


class Backend:
    def __init__(self, answer: Callable[[list[bytes]], Awaitable[bytes | None]] = serves) -> None:
        self.answer, self.seen, self.opened, self.closed = answer, list[list[bytes]](), 0, 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        parser = hiredis.Reader()
        answering: asyncio.Task[None] | None = None
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while args := parser.gets():
                    self.seen.append(args)
                    answering = asyncio.create_task(self._answer(args, writer))
        except ConnectionError:
            pass
        self.closed += 1
        if answering is not None:
            answering.cancel()
        writer.close()

    async def _answer(self, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        answer = await self.answer(args)
        if answer is None:
            writer.close()
        else:
            writer.write(answer)


class Discovery:
    """Keeps each watch open and says nothing of its own accord; ends so many first calls without an
    answer.
    """

    def __init__(self, refuses: int = 0) -> None:
        self.refuses = refuses
        self.paths: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.paths.append(head.split(b" ")[1])
        if len(self.paths) <= self.refuses:
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)

    def push(self, said: dict[str, Any]) -> None:
        line = json.dumps(said).encode() + b"\n"
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(line), line))


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader()
        self.asked = FIRST_ID

    @classmethod
    async def open(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *args: bytes) -> None:
        self.writer.write(command(*args))

    async def answer(self) -> Any:
        """The next answer: a value, the text of an error, or None at the end of the connection."""
        while (found := self.parser.gets()) is False:
            if not (data := await self.reader.read(65536)):
                return None
            self.parser.feed(data)
        return str(found) if isinstance(found, hiredis.ReplyError) else found

    def ask(
        self, kind: str = "status", d: int = 4000, body: bytes | None = None, key: bytes = KEY
    ) -> None:
        self.writer.write(request(self.asked, kind, d, body, key))
        self.asked += 1

    async def call(self, kind: str = "status", **more: Any) -> Any:
        self.ask(kind, **more)
        return await self.answer()


@asynccontextmanager
async def serving(
    *backends: Backend,
    clock: Clock | None = None,
    refuses: int = 0,
    wait: bool = True,
    **changes: Any,
) -> AsyncIterator[tuple[Ingress, Client, Discovery]]:
    """An ingress that serves (or has begun to, where none is to `wait` for that), a client
    connected to it, and its discovery.
    """
    discovery = Discovery(refuses)
    targets = [target(f"s-{n}", await backend.start()) for n, backend in enumerate(backends)]
    known = message(1, *targets, full=True)
    ingress = Ingress(config(known, await discovery.start(), **changes), clock or Clock())
    life = asyncio.create_task(ingress.run())
    await until(
        lambda: ingress.lifecycle.ready and (not wait or (ingress.ready and discovery.writers))
    )
    client = await Client.open(ingress.address.port)
    try:
        yield ingress, client, discovery
    finally:
        life.cancel()
        await asyncio.gather(life, return_exceptions=True)
