"""The watch on discovery that keeps the destination set current.

Theory of operation. Whatever a call met, a change counts as told `BOUND` after discovery had it and
could be reached, and a watch that has fallen silent is broken `BOUND` after its last word. So no
pause and no silent call lasts longer than `WINDOW`, which leaves `ANSWER` for the call that brings
the change, and pauses are drawn from all of it. A call that was never answered stays open through
the pause that would follow it, and the next one goes at its end: giving it up early would be work
for nothing, and a service that answers in turn would answer nobody once that takes longer than all
callers wait.

Where lists are asked for, discovery is one service for all ingresses: there the pauses grow with
the fleet, up to the window (module/backoff.py). One that takes connections and has served nothing
for `OVERBOOKED` works on calls that were given up: as long as all come back within the window it
would serve nobody, ever, so from then on the pauses grow with the fleet beyond it. One that cannot
be reached is asked within the window: that costs nobody anything.

Where lists are pushed, an agent on this machine answers each call at once and at no cost with what
it has been sent, and what it has counts as told to this ingress, watch or not, from the first
moment of a process. So no pause there is longer than half of a drain's grace: the first call goes
at the start, and until it is answered, or that time is over, nothing is sent by the old list that
lay in the configuration.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator
from math import inf
from typing import Any

import httptools
import ijson
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.platform_settings import Address
from dockthread.net.endpoint_list import DestinationSet, WatchError
from dockthread.observer import Observer
from dockthread.policy import EndpointsListed, PolicySettings
from dockthread.policy.backoff import Backoff

# in one list: twice the longest planned; a backend takes 178 bytes of it
MOST_BACKENDS, ENTRY_BYTES = 50_000, 400
# bytes of one object of a watch, entries of a list among them
MOST_OBJECT = MOST_BACKENDS * ENTRY_BYTES
# bytes of one object in which no entry ended; parsed they may take ten times as much
MOST_UNREAD = 4 * 1024 * 1024
# after discovery had a change and could be reached, or a watch fell silent, it counts as told
BOUND = 6_000.0
# of it, for the call that brings the change: found due in a round of housekeeping, made, answered
ANSWER = 1_000.0
WINDOW = BOUND - ANSWER  # for a pause, or a call without an answer
SILENCE = 3_500.0  # a watch says something every 2 s; one silent for longer is dead
HALF = 4_000.0  # for an object that has begun to be whole, or for one more entry of a long list
# for the first word of a call, where lists are asked for: it may wait behind those of the fleet
PATIENCE = 4_500.0
SOON = WINDOW - HALF  # for the pause after a watch that was given up, at the most
LEAST_PAUSE = 100.0  # between calls on an agent that refuses them
# for which a service that can be reached serves nothing: it has more callers than it can serve
OVERBOOKED = 20_000.0


class WatchParser:
    """Bytes of one watch's HTTP answer in, JSON objects out, however they are laid out and cut;
    what is blank between them is a sign of life.

    `read` takes the entries of an object's `targets` while the object still comes in, each in the
    place of its members: of a long list these never stand in memory together, and to read them
    holds the loop for no longer than one piece of it.
    """

    def __init__(self, read: Callable[[Any], Any] | None = None) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._found = ijson.sendable_list()
        self._json = ijson.items_coro(
            self._found, "", multiple_values=True, use_float=True, map_type=self._new_members
        )
        self._read = read
        # the present object's members, as far as they have come
        self._outer: dict[str, Any] | None = None
        self._wholes = 0  # objects found when it began
        self._entries = 0  # of its targets that are read
        self.entries_read = 0  # of all objects
        self._size = 0  # bytes of the present object, and a little more
        self._unread = 0  # of these, since an entry was read
        self._failure: WatchError | None = None
        self.half = False  # an object has begun and is not whole
        self.stood = False  # the answer is a watch, and has said something
        self.ended = False

    def feed(self, data: bytes | memoryview) -> Iterator[Any]:
        """The objects that are whole now; then raises WatchError where the rest cannot be one."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._failure = self._failure or WatchError(
                f"not an HTTP answer: {error.__context__ or error}"
            )
        found = list(self._found)
        self._found.clear()
        yield from found
        if self._failure is not None:
            raise self._failure

    def _new_members(self) -> dict[str, Any]:
        """For the parser: the members of an object that begins, an outermost one or one within."""
        members: dict[str, Any] = {}
        if self._outer is None or len(self._found) > self._wholes:
            self._outer, self._wholes, self._entries = members, len(self._found), 0
        return members

    def _read_entries(self) -> None:
        """Those that are whole: all but the last, which may not be."""
        targets = self._outer.get("targets") if self._outer is not None else None
        if self._read is None or not isinstance(targets, list) or len(targets) <= self._entries + 1:
            return
        whole = len(targets) - 1
        targets[self._entries : whole] = map(self._read, targets[self._entries : whole])
        self.entries_read += whole - self._entries
        self._entries, self._unread = whole, 0

    def on_headers_complete(self) -> None:
        """From httptools: the head is whole."""
        if (status := self._parser.get_status_code()) != 200:
            self._failure = WatchError(f"discovery answered {status}")

    def on_body(self, body: bytes) -> None:
        """From httptools: a part of the body came."""
        if self._failure is not None:
            return
        self.stood, before = True, len(self._found)
        self._unread += len(body)
        try:
            self._json.send(body)
            self._read_entries()
        except WatchError as error:
            self._failure = error
            return
        except (ijson.JSONError, UnicodeDecodeError, RecursionError) as error:
            self._failure = WatchError(f"not JSON: {' '.join(str(error).split())[:100]}")
            return
        said = body.rstrip()
        if len(self._found) > before:
            self._size, self._unread, self.half = 0, 0, not said.endswith(b"}")
            self._outer = None if not self.half else self._outer
        elif said:
            self._size, self.half = self._size + len(body), True
        if self._size > MOST_OBJECT or self._unread > MOST_UNREAD:
            self._failure = WatchError("an object does not end")

    def on_message_complete(self) -> None:
        """From httptools: the answer has ended."""
        self.ended = True


class Watch:
    """Holds a watch on discovery for as long as it runs; starts another whenever one ends or goes
    silent.
    """

    def __init__(
        self,
        address: Address,
        destinations: DestinationSet,
        clock: Clock,
        told: Callable[[EndpointsListed], None],
        settings: PolicySettings,
        seed: int,
    ) -> None:
        self._pushed = not settings.must_poll_endpoints
        self._hurry = settings.safety.drain_grace * 1000.0 / 2
        self._patience = SILENCE if self._pushed else PATIENCE
        longest = min(WINDOW, max(self._hurry, LEAST_PAUSE)) if self._pushed else inf
        self._backoff = Backoff(
            random.Random(seed), settings.ingress_count, min(self._hurry, SOON), longest
        )
        # the old list, while a newer one may come at once
        self._cached: EndpointsListed | None = None
        self._address, self._destinations, self._clock, self._told = (
            address,
            destinations,
            clock,
            told,
        )
        # When the present call began; it last said something; and it left nothing half said.
        self._began = self._heard = self._whole = clock.now()
        self._attempt: asyncio.Task[None] | None = None
        self._at: Callable[..., None] = lambda due, then: None
        self._moved = False  # since the present call began
        self._pause_over = asyncio.Event()
        self._failures = 0
        self._failing_since = clock.now()  # nothing was served
        self._connected = False  # the present call, or the last one
        self._stood = False  # the present watch has said something
        # when one that has said nothing yet is, once it has been silent for long; 0 before
        self._given_up = 0.0
        self.observer = Observer()

    def begin(self, known: Any, at: Callable[..., None]) -> None:
        """Start from the list that lay in the configuration; `at` times what comes later. Raises
        WatchError where the list is malformed.
        """
        self._at = at
        self._cached = self._destinations.apply(known, cached=True)
        if self._pushed and self._hurry:
            at(self._clock.now() + self._hurry, self._use_cached)
        else:
            self._use_cached()

    @property
    def informed(self) -> bool:
        """Whether there is a list to serve by."""
        return (
            self._cached is None
            and bool(self._destinations.by_worker)
            and not self._destinations.partial
        )

    def _use_cached(self) -> None:
        cached, self._cached = self._cached, None
        if cached is not None:
            self._told(cached)

    def move(self, address: Address) -> None:
        """Watch discovery at another address, and at once: the old one soon falls silent."""
        if address != self._address:
            self._address, self._moved = address, True
            self._pause_over.set()
            if self._attempt is not None:
                self._attempt.cancel()

    async def _pause(self, ms: float) -> None:
        """Cut short by a move: the old address says nothing more."""
        over = self._pause_over = asyncio.Event()
        self._at(self._clock.now() + ms, over.set)
        await over.wait()

    async def run(self) -> None:
        """Hold a watch, one after another, for as long as it runs."""
        if self._destinations.by_worker and not self._pushed:  # what it knows serves meanwhile
            await self._pause(self._backoff.initial_delay())
        while True:
            self._began = self._heard = self._whole = self._clock.now()
            self._stood = self._moved = self._connected = False
            self.observer.event("watch", after=self._destinations.revision)
            self._attempt = asyncio.create_task(self._watch())
            (failure,) = await asyncio.gather(self._attempt, return_exceptions=True)
            if self._moved:
                self._given_up, self._failing_since = 0.0, self._clock.now()
                continue
            waited, self._given_up = self._given_up > 0, 0.0
            self._failures += 1
            self.observer.event(
                "watch-end", why=type(failure).__name__, text=str(failure).replace(" ", "_")[:60]
            )
            # One line for each loss of discovery, not one for each try.
            log = logger.warning if self._failures == 1 else logger.debug
            log(
                "watch on discovery ended: {!r}; list at revision {}",
                failure,
                self._destinations.revision,
            )
            if not waited:
                await self._pause(
                    self._backoff.initial_delay() if self._stood else self._again(WINDOW)
                )

    def check(self) -> None:
        """End a watch that has gone silent, or does not come to the end of an object: its machine
        may have vanished, which TCP does not tell. A call that was never answered stays open for
        the pause that would follow it, and the next one goes at its end.
        """
        now = self._clock.now()
        if self._stood:
            silent = now - self._heard > SILENCE or now - self._whole > HALF
        else:  # a head without a list is no answer
            silent = now - self._began > self._patience
        if self._attempt is None or not silent:
            return
        if not self._stood and not self._given_up:
            self._given_up = now + self._again(self._began + WINDOW - now)
        if now >= self._given_up:
            self._attempt.cancel()

    def _again(self, most: float) -> float:
        """The pause after one more call that failed, `most` at the most where discovery may be free
        to serve.
        """
        overbooked = self._connected and self._clock.now() - self._failing_since > OVERBOOKED
        return self._backoff.retry_delay(inf if overbooked else most)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        with self._address.new_socket() as sock:
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            self._connected = True
            path = f"/discovery/hosts?watch=1&after={self._destinations.revision}"
            head = (
                f"GET {path} HTTP/1.1\r\nHost: {self._address}\r\nAccept: application/json\r\n\r\n"
            )
            await loop.sock_sendall(sock, head.encode())
            parser, buffer, entries_read = WatchParser(self._destinations.read), bytearray(65536), 0
            while not parser.ended:
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    raise WatchError("discovery closed the connection")
                self._heard = self._clock.now()
                if parser.stood:
                    self._failing_since = self._heard
                for message in parser.feed(memoryview(buffer)[:size]):
                    for listed in self._destinations.parts(message):
                        self._use_cached()
                        self._told(listed)
                        # a long list comes in parts, and requests are answered between them
                        await asyncio.sleep(0)
                        self._heard = self._whole = self._clock.now()  # and they may take a while
                    size = len(message["targets"])
                    self.observer.event(
                        "list", all=message.get("all"), size=size, rev=message["rev"]
                    )
                    if self._failures:
                        logger.info("watch on discovery is back at {}", self._destinations.revision)
                        self._failures = 0
                if parser.stood and not self._stood:
                    self._stood, self._given_up = True, 0.0
                    self._backoff.reset()
                if not parser.half or parser.entries_read > entries_read:
                    self._whole, entries_read = self._heard, parser.entries_read
                if parser.half:
                    await asyncio.sleep(0)  # the rest of a long list may be here already
