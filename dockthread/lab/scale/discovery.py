"""A discovery service for large lists: sends the whole list, then changes, encoded once for all.

One process plays the discovery agents of all machines, so its own cost is the cost of many agents.
It serves two ports, and the ingresses affected by a cut watch the second one. During the cut, data
for that port is held back, and it is sent when the cut heals, as TCP would do. Every change is kept
for the checker.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from typing import Any, Final

import msgspec

from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.plan import LOST_ZONE, Plan, plan_of, zone_name
from dockthread.lab.scale.usage import Lateness, traffic

HOST: Final = "127.0.0.1"
HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BLANK: Final = b"1\r\n\n\r\n"
SIGN_OF_LIFE: Final = 2.0  # Seconds between two keepalive lines.
STEP: Final = 1.0 / (1 << 20)  # Weight added to a backend with each version, exact as a float.
REMEMBERED: Final = 100_000  # Number of past changes from which a watch can resume.
TRIES: Final = 20  # Random draws to find a backend that is in the list.
# Backends have the addresses 127.1.0.1 and up, and one listener on all addresses serves them.
FIRST_NET: Final = 1

Entry = dict[str, Any]


def address_of(number: int) -> str:
    """Return the loopback address of a backend, which no other backend shares."""
    host = number + 1
    return f"127.{FIRST_NET + (host >> 16)}.{host >> 8 & 255}.{host & 255}"


def chunk(line: bytes) -> bytes:
    """Encode one line of a watch as an HTTP chunk."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


class Book:
    """The published list of backends with its versions and changes. Does no I/O."""

    def __init__(self, plan: Plan, port: int) -> None:
        self._plan, self._rng = plan, random.Random(f"{plan.seed} changes")
        self.entries = [self._entry(n, port) for n in range(plan.backends)]
        self._encoded = [msgspec.json.encode(one) for one in self.entries]
        self._versions = [0] * plan.backends
        self.revision = 1
        # Revision, publication time and entries of each change. The first change holds the whole
        # list.
        self.changes: list[tuple[int, float, list[Entry]]] = []
        self._chunks: dict[int, bytes] = {}
        self._whole = b""
        self._absent: set[int] = set()
        self.opened = False  # The list is empty until it is opened.

    def _entry(self, number: int, port: int) -> Entry:
        service = number % self._plan.services
        return {
            "uid": f"service-{service:04d}-{number:05d}",
            "endpoint": f"{address_of(number)}:{port}",
            "az": zone_name(number // self._plan.services + number),
            "model": "type-a",
            "pod_group": service,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def open(self) -> bytes:
        """Publish the whole list."""
        self.opened, self.revision, self._whole = True, self.revision + 1, b""
        self.changes.append((self.revision, time.monotonic(), [dict(one) for one in self.entries]))
        return self.whole()

    def whole(self) -> bytes:
        """Return the current whole list, encoded once for each revision."""
        if not self._whole:
            held = (
                [one for n, one in enumerate(self._encoded) if n not in self._absent]
                if self.opened
                else []
            )
            self._whole = chunk(
                b'{"rev":%d,"all":true,"targets":[%b]}' % (self.revision, b",".join(held))
            )
        return self._whole

    def since(self, revision: int) -> list[bytes] | None:
        """Return the changes after a revision in order, or None if some are no longer kept."""
        wanted = range(revision + 1, self.revision + 1)
        if not all(number in self._chunks for number in wanted):
            return None
        return [self._chunks[number] for number in wanted]

    def change(self, number: int, **fields: Any) -> bytes:
        """Publish a new version of one backend."""
        self._versions[number] += 1
        entry = {
            **self.entries[number],
            "capacity_hint": 1.0 + self._versions[number] * STEP,
            **fields,
        }
        self.entries[number], self._encoded[number] = entry, msgspec.json.encode(entry)
        (self._absent.add if entry["state"] == "left" else self._absent.discard)(number)
        self.revision, self._whole = self.revision + 1, b""
        self.changes.append((self.revision, time.monotonic(), [entry]))
        said = chunk(
            b'{"rev":%d,"all":false,"targets":[%b]}' % (self.revision, self._encoded[number])
        )
        self._chunks[self.revision] = said
        self._chunks.pop(self.revision - REMEMBERED, None)
        return said

    def drawn(self) -> bytes:
        """Publish a random change.

        A backend starts to leave, returns as a new instance, or gets another weight.
        """
        number = self._rng.choice([n for n in self._some() if n not in self._absent] or [0])
        if self.entries[number]["state"] != "active":
            return self.change(number, state="active", boot_ms=round(time.time() * 1000))
        if self._rng.random() < 0.5:
            return self.change(number, state="leaving")
        return self.change(number)

    def _some(self) -> list[int]:
        return [self._rng.randrange(self._plan.backends) for _ in range(TRIES)]

    def zone_leaves(self) -> Iterator[bytes]:
        """Remove every backend of the lost zone, one change each."""
        for number in self._of_zone():
            yield self.change(number, state="left")

    def zone_returns(self) -> Iterator[bytes]:
        """List every backend of the lost zone again, one change each."""
        for number in self._of_zone():
            yield self.change(number, state="active", boot_ms=round(time.time() * 1000))

    def _of_zone(self) -> list[int]:
        return [n for n, one in enumerate(self.entries) if one["az"] == zone_name(LOST_ZONE)]


class Watched(asyncio.Protocol):
    """The connection of one watch."""

    def __init__(self, serving: Discovery, cuttable: bool) -> None:
        self._serving, self._cuttable, self._head = serving, cuttable, b""
        self.transport: asyncio.Transport | None = None
        self._held: list[bytes] = []  # Data held back during a cut.
        self.stands = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport  # type: ignore[assignment]  # uvloop has its own transport class

    def data_received(self, data: bytes) -> None:
        """Collect the request, and open the watch once it is complete."""
        self._head += data
        if not self.stands and b"\r\n\r\n" in self._head:
            self.stands = True
            _, _, after = self._head.split(b" ", 2)[1].partition(b"after=")
            self._serving.begun(self, int(after or 0))

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the closed watch."""
        self._serving.watches.discard(self)

    def say(self, data: bytes) -> None:
        """Write to the watch, or hold the data back while the watch is cut off."""
        if self._cuttable and self._serving.cut:
            self._held.append(data)
        elif self.transport is not None and not self.transport.is_closing():
            self._serving.messages += 1
            self.transport.write(data)

    def heal(self) -> None:
        """Write the held data after the cut."""
        held, self._held = self._held, []
        for data in held:
            self.say(data)


class Discovery:
    """The discovery process: the published list and the watches that receive it."""

    def __init__(self) -> None:
        self.watches: set[Watched] = set()
        self.cut, self.messages = False, 0
        self.book: Book | None = None
        self._ports: list[int] = []
        self._lateness = Lateness()
        self._late_starts: list[float] = []  # Delays of publications against their schedule, in ms.
        self._tasks: list[asyncio.Task[None]] = []
        self._plan: Plan | None = None
        self._publishing: asyncio.Task[None] | None = None

    async def begin(self, told: Words) -> Words:
        """Open both ports and return them."""
        self._plan = plan_of(told["plan"])
        self.book = Book(self._plan, told["backend_port"])
        loop = asyncio.get_running_loop()
        for cuttable in (False, True):
            server = await loop.create_server(self._factory(cuttable), HOST, 0, backlog=4096)
            self._ports.append(server.sockets[0].getsockname()[1])
        self._tasks = [loop.create_task(self._blank()), loop.create_task(self._lateness.watch())]
        return {"ports": self._ports}

    def _factory(self, cuttable: bool) -> Callable[[], Watched]:
        return lambda: Watched(self, cuttable)

    def begun(self, watch: Watched, after: int) -> None:
        """Register a watch that has seen all revisions up to `after`, and send it the later ones."""
        assert self.book is not None, "a watch can arrive only after the ports are open"
        self.watches.add(watch)
        changes = self.book.since(after) if after else None
        watch.say(HEAD)
        for data in [self.book.whole()] if changes is None else changes:
            watch.say(data)

    async def _blank(self) -> None:
        while True:
            await asyncio.sleep(SIGN_OF_LIFE)
            self._push(BLANK)

    def _push(self, data: bytes) -> None:
        for watch in self.watches:
            watch.say(data)

    # Commands

    async def open(self, told: Words) -> Words:
        """Publish the whole list, which was empty until now."""
        assert self.book is not None
        self._push(self.book.open())
        return {"revision": self.book.revision}

    async def publish(self, told: Words) -> Words:
        """Start to publish changes at an even rate, whether or not the watches keep up."""
        loop = asyncio.get_running_loop()
        self._publishing = loop.create_task(
            self._publish(float(told["rate"]), float(told["seconds"]))
        )
        return {}

    async def published(self, told: Words) -> Words:
        """Wait until the changes started by `publish` have been published."""
        assert self.book is not None
        if self._publishing is not None:
            await self._publishing
        return {"revision": self.book.revision}

    async def _publish(self, rate: float, seconds: float) -> None:
        assert self.book is not None
        begun = time.monotonic()
        for number in range(int(rate * seconds)):
            due = begun + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._late_starts.append((time.monotonic() - due) * 1000.0)
            self._push(self.book.drawn())

    async def fault(self, told: Words) -> Words:
        """Begin or end the fault, if it concerns discovery."""
        assert self.book is not None and self._plan is not None
        begin = bool(told["begin"])
        if self._plan.fault == "zone":
            for said in self.book.zone_leaves() if begin else self.book.zone_returns():
                self._push(said)
        elif self._plan.fault == "cut":
            self.cut = begin
            for watch in [] if begin else list(self.watches):
                watch.heal()
        return {"revision": self.book.revision, "at": time.monotonic()}

    async def state(self, told: Words) -> Words:
        """Return the readings that the run takes at both ends of a window."""
        assert self.book is not None
        return {
            "watches": len(self.watches),
            "revision": self.book.revision,
            "messages_out": self.messages,
            "traffic": traffic(self._ports, local=True),
            "late": self._lateness.taken(),
        }

    async def log(self, told: Words) -> Words:
        """Return everything that was published, for the checker."""
        assert self.book is not None
        return {
            "changes": self.book.changes,
            "late_starts": sorted(self._late_starts),
        }


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    discovery = Discovery()
    await serve_commands(
        {
            "begin": discovery.begin,
            "open": discovery.open,
            "publish": discovery.publish,
            "published": discovery.published,
            "fault": discovery.fault,
            "state": discovery.state,
            "log": discovery.log,
        }
    )
