"""One receiver of the operator's file: how reports are worded for it, its sender, and the task that
runs both.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Sequence
from contextlib import suppress

from loguru import logger

from dockthread.config.address import host_port
from dockthread.errors import SettingsError
from dockthread.telemetry import collectd, graphite, putval
from dockthread.telemetry.catalogue import Point, path_part
from dockthread.telemetry.collectd import OKAY
from dockthread.telemetry.connections import Datagrams, Link, Stream, UnixCommands
from dockthread.telemetry.delivery_queue import DeliveryQueue, Report
from dockthread.telemetry.options import CollectdOptions, GraphiteOptions
from dockthread.telemetry.sender import Action, ActionKind, Event, Sender, SenderState

SLICE = 64  # points worded in one turn of the loop
STALLED = 10.0  # s in which a receiver has to take a report, or a connection to come up


class Words:
    """How points become chunks of bytes; one slice of points a call."""

    notifies = False

    def chunks(self, points: Sequence[Point], stamp: float, second: int) -> Iterator[bytes]:
        raise NotImplementedError

    def note(self, text: str, severity: int, stamp: float) -> bytes:
        raise NotImplementedError


class GraphiteWords(Words):
    def __init__(self, options: GraphiteOptions, ingress: str) -> None:
        self._options, self._ingress = options, path_part(ingress)
        self._write = graphite.pickled if options.protocol == "pickle" else graphite.plaintext

    def chunks(self, points: Sequence[Point], stamp: float, second: int) -> Iterator[bytes]:
        o = self._options
        named = [(graphite.series(o.prefix, self._ingress, p.path, o.tags), p) for p in points]
        yield self._write(named, second)


class PacketWords(Words):
    notifies = True

    def __init__(self, options: CollectdOptions, ingress: str, interval: float) -> None:
        try:
            seal, room = collectd.sealing(options.security, options.user, options.password())
        except OSError as error:
            reason = f"{options.password_file} cannot be read: {error.strerror}"
            raise SettingsError(reason, section="collectd", key="password_file") from error
        except ImportError as error:
            raise SettingsError(
                "encrypt needs the `cryptography` package",
                section="collectd",
                key="security",
                remedy="install the extra `collectd`, or write sign",
            ) from error
        self._wording = collectd.Wording(
            path_part(ingress), options.plugin, interval / 1000.0, seal, room
        )

    def chunks(self, points: Sequence[Point], stamp: float, second: int) -> Iterator[bytes]:
        return self._wording.packets(list(points), stamp)

    def note(self, text: str, severity: int, stamp: float) -> bytes:
        return self._wording.notification(text, severity, stamp)


class LineWords(Words):
    notifies = True

    def __init__(self, options: CollectdOptions, ingress: str, interval: float) -> None:
        self._host, self._plugin, self._interval = (
            path_part(ingress),
            options.plugin,
            interval / 1000.0,
        )

    def chunks(self, points: Sequence[Point], stamp: float, second: int) -> Iterator[bytes]:
        yield b"".join(
            putval.putval(self._host, self._plugin, p, stamp, self._interval) for p in points
        )

    def note(self, text: str, severity: int, stamp: float) -> bytes:
        return putval.putnotif(self._host, self._plugin, text, severity, stamp)


def words_of(options: GraphiteOptions | CollectdOptions, ingress: str, interval: float) -> Words:
    """Raises SettingsError where a password cannot be read or a package is missing."""
    if isinstance(options, GraphiteOptions):
        return GraphiteWords(options, ingress)
    return (
        LineWords(options, ingress, interval)
        if options.path
        else PacketWords(options, ingress, interval)
    )


def link_of(options: GraphiteOptions | CollectdOptions) -> Link:
    if isinstance(options, CollectdOptions) and options.path:
        return UnixCommands(options.path)
    address = host_port(options.address)
    assert address is not None, "checked when the file was read"
    return Stream(*address) if isinstance(options, GraphiteOptions) else Datagrams(*address)


class Receiver:
    """Runs from `start` until it is left or stopped. Nothing that it waits for is waited for by a
    request.
    """

    def __init__(
        self,
        name: str,
        options: GraphiteOptions | CollectdOptions,
        ingress: str,
        interval: float,
        room: int,
        seed: int,
    ) -> None:
        self.name, self.options = name, options
        self._words = words_of(options, ingress, interval)
        self._link = link_of(options)
        self.sender = Sender(DeliveryQueue(room), random.Random(seed))
        self._wake = asyncio.Event()
        self._next = Action(ActionKind.NOTHING)
        self._task: asyncio.Task[None] | None = None
        self._told = False  # that it is lost; once for each loss

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def report(self, points: list[Point], stamp: float, second: int) -> None:
        """Word a report, a slice a turn, and queue it."""
        chunks: list[bytes] = []
        for at in range(0, len(points), SLICE):
            chunks += self._words.chunks(points[at : at + SLICE], stamp, second)
            await asyncio.sleep(0)
        self._queue(Report(stamp, tuple(chunks)))

    def note(self, text: str, stamp: float, severity: int = OKAY) -> None:
        """A notification, for receivers that know them."""
        if self._words.notifies:
            self._queue(Report(stamp, (self._words.note(text, severity, stamp),)))

    def _queue(self, report: Report) -> None:
        self._act(self.sender.enqueue(report))

    def _act(self, action: Action) -> None:
        if action.kind is not ActionKind.NOTHING:
            self._next = action
            self._wake.set()

    async def leave(self) -> None:
        """Send what waits, and end. The caller bounds the time."""
        self._act(self.sender.drain())
        if self._task is not None and self.sender.state is not SenderState.ENDED:
            await asyncio.wait([self._task])

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._link.close()

    async def _run(self) -> None:
        while self.sender.state is not SenderState.ENDED:
            await self._wake.wait()
            action = self._take()
            while action.kind is not ActionKind.NOTHING:
                action = await self._carry_out(action)

    def _take(self) -> Action:
        self._wake.clear()
        action, self._next = self._next, Action(ActionKind.NOTHING)
        return action

    async def _carry_out(self, action: Action) -> Action:
        sender = self.sender
        if action.kind is ActionKind.BACK_OFF:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), action.backoff_ms / 1000.0)
            # In a pause the sender has another action only where it is to leave, and then at once.
            return self._take() if self._wake.is_set() else sender.handle(Event.BACKOFF_ELAPSED)
        try:
            async with asyncio.timeout(STALLED):
                event = await self._do(action)
        except OSError as error:
            self._link.close()
            self._say_lost(error)
            return sender.handle(Event.FAILED)
        if event is Event.DELIVERED and self._told:
            self._told = False
            logger.bind(receiver=self.name).info("receiver {} takes reports again", self.name)
        return sender.handle(event)

    async def _do(self, action: Action) -> Event:
        if action.kind is ActionKind.CONNECT:
            await self._link.open()
            return Event.CONNECTED
        if action.kind is ActionKind.CLOSE:
            await self._link.finish()
            self._link.close()
            return Event.CLOSED
        assert action.report is not None
        await self._link.send(action.report.chunks)
        self.sender.delivery_queue.mark_delivered(action.report)
        return Event.DELIVERED

    def _say_lost(self, error: OSError) -> None:
        """One line for each loss, not one for each try."""
        bound = logger.bind(receiver=self.name)
        log = bound.debug if self._told else bound.warning
        self._told = True
        log("receiver {} is lost: {}; reports wait", self.name, error or type(error).__name__)
