"""Publishes route changes to the voters at a rate, and records accepted ones for the checker."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Final

from dockthread.config.address import Address
from dockthread.control_plane import admin_client
from dockthread.control_plane.options import read_key
from dockthread.lab.scale.channel import JsonObject, serve_commands
from dockthread.lab.scale.routes import KIND, route_body, route_name

# Maximum number of changes in flight while the first routes are published.
MAX_IN_FLIGHT: Final = 16
DELETE_SHARE: Final = 0.05  # Share of the changes that delete a route.
PUBLISH_ATTEMPTS: Final = 3


class Publisher:
    """The process that publishes routes.

    `accepted` lists the revision, sending time, name and version (None for a deletion) of each
    accepted change.
    """

    async def begin(self, arguments: JsonObject) -> JsonObject:
        """Store the voters' addresses, the key and the number of routes."""
        self._voters = [Address.parse(address) for address in arguments["voters"]]
        self._key = read_key(arguments["key_file"])
        self._rng = random.Random(f"{arguments['seed']} routes")
        self._route_count = int(arguments["routes"])
        self._versions = [0] * self._route_count
        self._free_routes = set[int]()
        self.accepted: list[list[Any]] = []
        # Delays of changes against their schedule, in ms.
        self._publication_delays_ms: list[float] = []
        self._refusal_reasons: list[str] = []
        self._change_tasks: list[asyncio.Task[None]] = []
        self._publishing_task: asyncio.Task[None] | None = None
        return {}

    async def _publish_version(self, number: int, body: bytes | None, version: int | None) -> None:
        sent = time.monotonic()
        change = admin_client.new_request(KIND, route_name(number), body)
        for _ in range(PUBLISH_ATTEMPTS):
            answer = await admin_client.publish(self._voters, change, self._key)
            if answer.revision > 0:
                self.accepted.append([answer.revision, sent, route_name(number), version])
                return
        self._refusal_reasons.append(answer.reason)

    async def publish_all_routes(self, arguments: JsonObject) -> JsonObject:
        """Publish every route once."""
        slots = asyncio.Semaphore(MAX_IN_FLIGHT)

        async def publish_route(number: int) -> None:
            async with slots:
                await self._publish_version(number, route_body(number, 0), 0)

        await asyncio.gather(*(publish_route(number) for number in range(self._route_count)))
        self._free_routes = set(range(self._route_count))
        return await self.state({})

    async def publish(self, arguments: JsonObject) -> JsonObject:
        """Start to publish changes at an even rate."""
        loop = asyncio.get_running_loop()
        self._publishing_task = loop.create_task(
            self._publish_at_rate(float(arguments["rate"]), float(arguments["seconds"]))
        )
        return {}

    async def _publish_at_rate(self, rate: float, seconds: float) -> None:
        started = time.monotonic()
        loop = asyncio.get_running_loop()
        for count in range(int(rate * seconds)):
            due = started + count / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._publication_delays_ms.append((time.monotonic() - due) * 1000.0)
            self._change_tasks.append(loop.create_task(self._change_random_route()))

    async def _change_random_route(self) -> None:
        """Publish a new version of a random route, or delete it.

        A route has at most one change in flight.
        """
        free_routes = sorted(self._free_routes)
        if not free_routes:
            return
        number = self._rng.choice(free_routes)
        self._free_routes.discard(number)
        self._versions[number] += 1
        version = None if self._rng.random() < DELETE_SHARE else self._versions[number]
        await self._publish_version(
            number, None if version is None else route_body(number, version), version
        )
        if version is not None:
            self._free_routes.add(number)

    async def wait_published(self, arguments: JsonObject) -> JsonObject:
        """Wait until the changes started by `publish` have been answered."""
        if self._publishing_task is not None:
            await self._publishing_task
        await asyncio.gather(*self._change_tasks)
        return await self.state({})

    async def state(self, arguments: JsonObject) -> JsonObject:
        """Return the highest accepted revision."""
        return {"revision": max((change[0] for change in self.accepted), default=0)}

    async def log(self, arguments: JsonObject) -> JsonObject:
        """Return all accepted and refused changes, for the checker."""
        return {
            "changes": sorted(self.accepted),
            "late_starts": sorted(self._publication_delays_ms),
            "refused": self._refusal_reasons,
        }


async def serve() -> None:
    """Answer the run's commands until standard input closes."""
    publisher = Publisher()
    await serve_commands(
        {
            "begin": publisher.begin,
            "fill": publisher.publish_all_routes,
            "publish": publisher.publish,
            "published": publisher.wait_published,
            "state": publisher.state,
            "log": publisher.log,
        }
    )
