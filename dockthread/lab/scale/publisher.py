"""Publishes route changes to the voters at a rate, and records accepted ones for the checker."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Final

from dockthread.config.address import Address
from dockthread.control_plane import admin_client
from dockthread.control_plane.options import read_key
from dockthread.lab.scale.channel import Words, serve_commands
from dockthread.lab.scale.routes import KIND, body_of, name_of

AT_ONCE: Final = 16  # Maximum number of changes in flight while the first routes are published.
DELETES: Final = 0.05  # Share of the changes that delete a route.
TRIES: Final = 3


class Publisher:
    """The process that publishes routes.

    `accepted` lists the revision, sending time, name and version (None for a deletion) of each
    accepted change.
    """

    async def begin(self, told: Words) -> Words:
        """Store the voters' addresses, the key and the number of routes."""
        self._voters = [Address.parse(one) for one in told["voters"]]
        self._key, self._rng = read_key(told["key_file"]), random.Random(f"{told['seed']} routes")
        self._routes = int(told["routes"])
        self._versions = [0] * self._routes
        self._live = set[int]()
        self.accepted: list[list[Any]] = []
        self._late: list[float] = []  # Delays of changes against their schedule, in ms.
        self._refused: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._publishing: asyncio.Task[None] | None = None
        return {}

    async def _put(self, number: int, body: bytes | None, version: int | None) -> None:
        sent = time.monotonic()
        change = admin_client.new_request(KIND, name_of(number), body)
        for _ in range(TRIES):
            answer = await admin_client.publish(self._voters, change, self._key)
            if answer.revision > 0:
                self.accepted.append([answer.revision, sent, name_of(number), version])
                return
        self._refused.append(answer.reason)

    async def fill(self, told: Words) -> Words:
        """Publish every route once."""
        room = asyncio.Semaphore(AT_ONCE)

        async def one(number: int) -> None:
            async with room:
                await self._put(number, body_of(number, 0), 0)

        await asyncio.gather(*(one(number) for number in range(self._routes)))
        self._live = set(range(self._routes))
        return await self.state({})

    async def publish(self, told: Words) -> Words:
        """Start to publish changes at an even rate."""
        loop = asyncio.get_running_loop()
        self._publishing = loop.create_task(
            self._publish(float(told["rate"]), float(told["seconds"]))
        )
        return {}

    async def _publish(self, rate: float, seconds: float) -> None:
        begun, loop = time.monotonic(), asyncio.get_running_loop()
        for count in range(int(rate * seconds)):
            due = begun + count / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._late.append((time.monotonic() - due) * 1000.0)
            self._tasks.append(loop.create_task(self._change()))

    async def _change(self) -> None:
        """Publish a new version of a random route, or delete it.

        A route has at most one change in flight.
        """
        free = sorted(self._live)
        if not free:
            return
        number = self._rng.choice(free)
        self._live.discard(number)
        self._versions[number] += 1
        version = None if self._rng.random() < DELETES else self._versions[number]
        await self._put(number, None if version is None else body_of(number, version), version)
        if version is not None:
            self._live.add(number)

    async def published(self, told: Words) -> Words:
        """Wait until the changes started by `publish` have been answered."""
        if self._publishing is not None:
            await self._publishing
        await asyncio.gather(*self._tasks)
        return await self.state({})

    async def state(self, told: Words) -> Words:
        """Return the highest accepted revision."""
        return {"revision": max((one[0] for one in self.accepted), default=0)}

    async def log(self, told: Words) -> Words:
        """Return all accepted and refused changes, for the checker."""
        return {
            "changes": sorted(self.accepted),
            "late_starts": sorted(self._late),
            "refused": self._refused,
        }


async def play() -> None:
    """Answer the run's commands until standard input closes."""
    publisher = Publisher()
    await serve_commands(
        {
            "begin": publisher.begin,
            "fill": publisher.fill,
            "publish": publisher.publish,
            "published": publisher.published,
            "state": publisher.state,
            "log": publisher.log,
        }
    )
