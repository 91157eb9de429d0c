"""A discovery service for large lists, which encodes each list and change once for all watches.

One process replaces the discovery agents of all machines, so its cost is that of many agents.
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

from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.plan import LOST_ZONE, RunPlan, plan_from_json, zone_name
from dockthread.lab.scale.usage import Lateness, traffic

HOST: Final = "127.0.0.1"
RESPONSE_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)
KEEPALIVE_CHUNK: Final = b"1\r\n\n\r\n"
KEEPALIVE_INTERVAL_S: Final = 2.0  # Seconds between two keepalive lines.
# Weight added to a backend with each version, exact as a float.
WEIGHT_STEP: Final = 1.0 / (1 << 20)
MAX_KEPT_CHANGES: Final = 100_000  # Number of past changes from which a watch can resume.
DRAW_ATTEMPTS: Final = 20  # Random draws in search of a listed backend.
# Backends have the addresses 127.1.0.1 and up, and one listener on all addresses serves them.
FIRST_SUBNET: Final = 1

Entry = dict[str, Any]


def backend_address(number: int) -> str:
    """Return the loopback address of a backend, which no other backend shares."""
    host_number = number + 1
    return f"127.{FIRST_SUBNET + (host_number >> 16)}.{host_number >> 8 & 255}.{host_number & 255}"


def http_chunk(line: bytes) -> bytes:
    """Encode one line of a watch as an HTTP chunk."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


class PublishedList:
    """The published list of backends with its versions and changes. Does no I/O."""

    def __init__(self, plan: RunPlan, port: int) -> None:
        self._plan = plan
        self._rng = random.Random(f"{plan.seed} changes")
        self.entries = [self._entry(number, port) for number in range(plan.backends)]
        self._encoded_entries = [msgspec.json.encode(entry) for entry in self.entries]
        self._versions = [0] * plan.backends
        self.revision = 1
        # Revision, publication time and entries of each change. The first change holds the whole
        # list.
        self.changes: list[tuple[int, float, list[Entry]]] = []
        self._chunk_by_revision: dict[int, bytes] = {}
        self._whole_list = b""
        self._absent_numbers: set[int] = set()
        self.is_open = False  # The list is empty until it is opened.

    def _entry(self, number: int, port: int) -> Entry:
        service = number % self._plan.services
        return {
            "uid": f"service-{service:04d}-{number:05d}",
            "endpoint": f"{backend_address(number)}:{port}",
            "az": zone_name(number // self._plan.services + number),
            "model": "type-a",
            "pod_group": service,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def open(self) -> bytes:
        """Publish the whole list."""
        self.is_open = True
        self.revision = self.revision + 1
        self._whole_list = b""
        self.changes.append(
            (self.revision, time.monotonic(), [dict(entry) for entry in self.entries])
        )
        return self.whole_list()

    def whole_list(self) -> bytes:
        """Return the current whole list, encoded once for each revision."""
        if not self._whole_list:
            present = (
                [
                    encoded
                    for number, encoded in enumerate(self._encoded_entries)
                    if number not in self._absent_numbers
                ]
                if self.is_open
                else []
            )
            self._whole_list = http_chunk(
                b'{"rev":%d,"all":true,"targets":[%b]}' % (self.revision, b",".join(present))
            )
        return self._whole_list

    def changes_since(self, revision: int) -> list[bytes] | None:
        """Return the changes after a revision in order, or None if some are no longer kept."""
        missing_revisions = range(revision + 1, self.revision + 1)
        if not all(
            revision_number in self._chunk_by_revision for revision_number in missing_revisions
        ):
            return None
        return [self._chunk_by_revision[revision_number] for revision_number in missing_revisions]

    def publish_change(self, number: int, **fields: Any) -> bytes:
        """Publish a new version of one backend."""
        self._versions[number] += 1
        entry = {
            **self.entries[number],
            "capacity_hint": 1.0 + self._versions[number] * WEIGHT_STEP,
            **fields,
        }
        self.entries[number] = entry
        self._encoded_entries[number] = msgspec.json.encode(entry)
        (self._absent_numbers.add if entry["state"] == "left" else self._absent_numbers.discard)(
            number
        )
        self.revision = self.revision + 1
        self._whole_list = b""
        self.changes.append((self.revision, time.monotonic(), [entry]))
        encoded_change = http_chunk(
            b'{"rev":%d,"all":false,"targets":[%b]}'
            % (self.revision, self._encoded_entries[number])
        )
        self._chunk_by_revision[self.revision] = encoded_change
        self._chunk_by_revision.pop(self.revision - MAX_KEPT_CHANGES, None)
        return encoded_change

    def publish_random_change(self) -> bytes:
        """Publish a random change.

        A backend starts to leave, returns as a new instance, or gets another weight.
        """
        number = self._rng.choice(
            [
                drawn_number
                for drawn_number in self._random_numbers()
                if drawn_number not in self._absent_numbers
            ]
            or [0]
        )
        if self.entries[number]["state"] != "active":
            return self.publish_change(number, state="active", boot_ms=round(time.time() * 1000))
        if self._rng.random() < 0.5:
            return self.publish_change(number, state="leaving")
        return self.publish_change(number)

    def _random_numbers(self) -> list[int]:
        return [self._rng.randrange(self._plan.backends) for _ in range(DRAW_ATTEMPTS)]

    def remove_zone(self) -> Iterator[bytes]:
        """Remove every backend of the lost zone, one change each."""
        for number in self._zone_numbers():
            yield self.publish_change(number, state="left")

    def restore_zone(self) -> Iterator[bytes]:
        """List every backend of the lost zone again, one change each."""
        for number in self._zone_numbers():
            yield self.publish_change(number, state="active", boot_ms=round(time.time() * 1000))

    def _zone_numbers(self) -> list[int]:
        return [
            number
            for number, entry in enumerate(self.entries)
            if entry["az"] == zone_name(LOST_ZONE)
        ]


class WatchConnection(asyncio.Protocol):
    """The connection of one watch."""

    def __init__(self, discovery: Discovery, affected_by_cut: bool) -> None:
        self._discovery = discovery
        self._affected_by_cut = affected_by_cut
        self._head = b""
        self.transport: asyncio.Transport | None = None
        self._held: list[bytes] = []  # Data held back during a cut.
        self.request_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport  # type: ignore[assignment]  # uvloop has its own transport class

    def data_received(self, data: bytes) -> None:
        """Collect the request, and open the watch once it is complete."""
        self._head += data
        if not self.request_complete and b"\r\n\r\n" in self._head:
            self.request_complete = True
            _, _, revision = self._head.split(b" ", 2)[1].partition(b"after=")
            self._discovery.open_watch(self, int(revision or 0))

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the closed watch."""
        self._discovery.watches.discard(self)

    def send(self, data: bytes) -> None:
        """Write to the watch, or hold the data back while the watch is cut off."""
        if self._affected_by_cut and self._discovery.is_cut:
            self._held.append(data)
        elif self.transport is not None and not self.transport.is_closing():
            self._discovery.messages_sent += 1
            self.transport.write(data)

    def send_held_data(self) -> None:
        """Send the data that was held back during the cut."""
        held_data = self._held
        self._held = []
        for data in held_data:
            self.send(data)


class Discovery:
    """The discovery process: the published list and the watches that receive it."""

    def __init__(self) -> None:
        self.watches: set[WatchConnection] = set()
        self.is_cut = False
        self.messages_sent = 0
        self.published_list: PublishedList | None = None
        self._ports: list[int] = []
        self._lateness = Lateness()
        # Delays of publications against their schedule, in ms.
        self._publication_delays_ms: list[float] = []
        self._background_tasks: list[asyncio.Task[None]] = []
        self._plan: RunPlan | None = None
        self._publishing_task: asyncio.Task[None] | None = None

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Open both ports and return them."""
        self._plan = plan_from_json(arguments["plan"])
        self.published_list = PublishedList(self._plan, arguments["backend_port"])
        loop = asyncio.get_running_loop()
        for affected_by_cut in (False, True):
            server = await loop.create_server(
                self._connection_factory(affected_by_cut), HOST, 0, backlog=4096
            )
            self._ports.append(server.sockets[0].getsockname()[1])
        self._background_tasks = [
            loop.create_task(self._send_keepalives()),
            loop.create_task(self._lateness.measure()),
        ]
        return {"ports": self._ports}

    def _connection_factory(self, affected_by_cut: bool) -> Callable[[], WatchConnection]:
        return lambda: WatchConnection(self, affected_by_cut)

    def open_watch(self, watch: WatchConnection, after: int) -> None:
        """Register a watch that has seen all revisions up to `after`, and send it the later ones."""
        assert self.published_list is not None, "a watch can arrive only after the ports are open"
        self.watches.add(watch)
        changes = self.published_list.changes_since(after) if after else None
        watch.send(RESPONSE_HEAD)
        for data in [self.published_list.whole_list()] if changes is None else changes:
            watch.send(data)

    async def _send_keepalives(self) -> None:
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            self._broadcast(KEEPALIVE_CHUNK)

    def _broadcast(self, data: bytes) -> None:
        for watch in self.watches:
            watch.send(data)

    # Commands

    async def open(self, arguments: JsonObject) -> JsonObject:
        """Publish the whole list, which was empty until now."""
        assert self.published_list is not None
        self._broadcast(self.published_list.open())
        return {"revision": self.published_list.revision}

    async def publish(self, arguments: JsonObject) -> JsonObject:
        """Start to publish changes at an even rate, whether or not the watches keep up."""
        loop = asyncio.get_running_loop()
        self._publishing_task = loop.create_task(
            self._publish_at_rate(float(arguments["rate"]), float(arguments["seconds"]))
        )
        return {}

    async def wait_published(self, arguments: JsonObject) -> JsonObject:
        """Wait until the changes started by `publish` have been published."""
        assert self.published_list is not None
        if self._publishing_task is not None:
            await self._publishing_task
        return {"revision": self.published_list.revision}

    async def _publish_at_rate(self, rate: float, seconds: float) -> None:
        assert self.published_list is not None
        started = time.monotonic()
        for number in range(int(rate * seconds)):
            due = started + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._publication_delays_ms.append((time.monotonic() - due) * 1000.0)
            self._broadcast(self.published_list.publish_random_change())

    async def fault(self, arguments: JsonObject) -> JsonObject:
        """Begin or end the fault `zone` or `cut`. Other faults do not affect discovery."""
        assert self.published_list is not None and self._plan is not None
        begin = bool(arguments["begin"])
        if self._plan.fault == "zone":
            for encoded_change in (
                self.published_list.remove_zone() if begin else self.published_list.restore_zone()
            ):
                self._broadcast(encoded_change)
        elif self._plan.fault == "cut":
            self.is_cut = begin
            for watch in [] if begin else list(self.watches):
                watch.send_held_data()
        return {"revision": self.published_list.revision, "at": time.monotonic()}

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return this process's current counts and measurements."""
        assert self.published_list is not None
        return {
            "watches": len(self.watches),
            "revision": self.published_list.revision,
            "messages_out": self.messages_sent,
            "traffic": traffic(self._ports, local=True),
            "late": self._lateness.take_summary(),
        }

    async def log(self, arguments: JsonObject) -> JsonObject:
        """Return everything that was published, for the checker."""
        assert self.published_list is not None
        return {
            "changes": self.published_list.changes,
            "late_starts": sorted(self._publication_delays_ms),
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    discovery = Discovery()
    await serve_commands(
        {
            "begin": discovery.begin,
            "open": discovery.open,
            "publish": discovery.publish,
            "published": discovery.wait_published,
            "fault": discovery.fault,
            "state": discovery.state,
            "log": discovery.log,
        }
    )
