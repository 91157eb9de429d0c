"""The watch on discovery that keeps the destination set current."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import httptools
from loguru import logger

from dockthread.clock import Clock
from dockthread.module.backoff import Backoff
from dockthread.net.destination_set import DestinationSet, WatchError
from dockthread.observer import Observer
from dockthread.settings import Address

MOST_LINE = 4 * 1024 * 1024  # bytes of one line of a watch
SILENCE = 3_500.0  # a watch says something every 2 s; one silent for longer is dead


class WatchParser:
    """Bytes of one watch's HTTP answer in, JSON objects out; an empty line is a sign of life."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._line = bytearray()
        self._found: list[Any] = []
        self.ended = False

    def feed(self, data: bytes | memoryview) -> list[Any]:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__ or error
            raise WatchError(f"not an HTTP answer: {cause}") from error
        found, self._found = self._found, []
        return found

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            raise WatchError(f"discovery answered {status}")

    def on_body(self, body: bytes) -> None:
        *lines, rest = (bytes(self._line) + body).split(b"\n")
        self._line = bytearray(rest)
        if len(rest) > MOST_LINE:
            raise WatchError("a line does not end")
        for line in lines:
            if line.strip():
                try:
                    self._found.append(json.loads(line))
                except ValueError as error:
                    raise WatchError(f"a line is not JSON: {error}") from error

    def on_message_complete(self) -> None:
        self.ended = True


class Watch:
    """Holds a watch on discovery for as long as it runs; starts another whenever one ends or goes silent."""

    def __init__(
        self,
        address: Address,
        destinations: DestinationSet,
        clock: Clock,
        told: Callable[[Any], None],
        backoff: Backoff,
    ) -> None:
        self._backoff = backoff
        self._address, self._destinations, self._clock, self._told = address, destinations, clock, told
        self._heard = clock.now()
        self._attempt: asyncio.Task[None] | None = None
        self._moved = asyncio.Event()
        self._failures = 0
        self._stood = False  # the present watch has said something
        self._given_up = 0.0  # when one that has said nothing yet is, once it has been silent for long; 0 before
        self.observer = Observer()

    def move(self, address: Address) -> None:
        """Watch discovery at another address, and at once: the old one soon falls silent."""
        if address != self._address:
            self._address = address
            self._moved.set()
            if self._attempt is not None:
                self._attempt.cancel()

    async def _pause(self, ms: float) -> None:
        """Cut short by a move: the old address says nothing more."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._moved.wait(), ms / 1000.0)

    async def run(self) -> None:
        if self._destinations.by_worker:  # what it knows serves meanwhile
            await self._pause(self._backoff.soon())
        while True:
            self._heard, self._stood = self._clock.now(), False
            self._moved.clear()
            self.observer.event("watch", after=self._destinations.revision)
            self._attempt = asyncio.create_task(self._watch())
            (failure,) = await asyncio.gather(self._attempt, return_exceptions=True)
            if self._moved.is_set():
                continue
            waited, self._given_up = self._given_up > 0, 0.0
            self._failures += 1
            self.observer.event("watch-end", why=type(failure).__name__, text=str(failure).replace(" ", "_")[:60])
            # One line for each loss of discovery, not one for each try.
            log = logger.warning if self._failures == 1 else logger.debug
            log("watch on discovery ended: {!r}; list at revision {}", failure, self._destinations.revision)
            if not waited:
                await self._pause(self._backoff.soon() if self._stood else self._backoff.again())

    def check(self) -> None:
        """End a watch that has gone silent: its machine may have vanished, which TCP does not tell. A call
        that was never answered stays open for the pause that would follow it, and the next one goes at its
        end: a service that is down or overbooked answers it as soon as it can, and a call that was given up
        would have been work for nothing."""
        now = self._clock.now()
        if self._attempt is None or now - self._heard <= SILENCE:
            return
        if not self._stood and not self._given_up:
            self._given_up = now + self._backoff.again()
        if now >= self._given_up:
            self._attempt.cancel()

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        with self._address.new_socket() as sock:
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            path = f"/discovery/hosts?watch=1&after={self._destinations.revision}"
            head = f"GET {path} HTTP/1.1\r\nHost: {self._address}\r\nAccept: application/json\r\n\r\n"
            await loop.sock_sendall(sock, head.encode())
            parser, buffer = WatchParser(), bytearray(65536)
            while not parser.ended:
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    raise WatchError("discovery closed the connection")
                self._heard = self._clock.now()
                for message in parser.feed(memoryview(buffer)[:size]):
                    self._told(message)
                    size = len(message["targets"])
                    self.observer.event("list", all=message.get("all"), size=size, rev=message["rev"])
                    self._backoff.reset()
                    self._stood = True
                    if self._failures:
                        logger.info("watch on discovery is back at {}", self._destinations.revision)
                        self._failures = 0
