"""Runs telemetry beside an ingress: a report each interval, the receivers' tasks, the last words of
a life.

It counts only while there is a receiver. A life begins with the first one, at the start or by a
reload, and with explicit zeros. The last report is made after the last answer, and has `farewell`
to go out.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from math import floor
from typing import TYPE_CHECKING

from loguru import logger

from dockthread.observer import Observer
from dockthread.telemetry.metrics_reader import MetricsReader
from dockthread.telemetry.options import CollectdOptions, GraphiteOptions, TelemetryOptions
from dockthread.telemetry.receivers import Receiver
from dockthread.telemetry.tally import Tally
from dockthread.telemetry.timestamps import TimestampSource

if TYPE_CHECKING:
    from dockthread.config.ini_reader import OperatorConfig
    from dockthread.net.ingress import Ingress

SAMPLE = 0.1  # s between looks at the loop's delay and at the counter's mute
MEMORY_PART = 64  # of the ingress's memory, one part for a receiver's queue
LEAST_ROOM = 64 * 1024

Options = GraphiteOptions | CollectdOptions


class Exporter:
    """All of it is used from the ingress's loop."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._loop = asyncio.get_running_loop()
        self._options = TelemetryOptions()
        self.receivers: dict[str, Receiver] = {}
        self._leaving: set[asyncio.Task[None]] = set()
        self._tally: Tally | None = None
        self._reader: MetricsReader | None = None
        self._timestamps: TimestampSource | None = None
        self._reported = 0.0  # when, on the ingress's clock
        self._round = 0  # of the timers: those of an earlier round no longer count
        self._task: asyncio.Task[None] | None = None
        self._sampler: asyncio.TimerHandle | None = None

    @property
    def tally(self) -> Tally | None:
        return self._tally

    def apply(self, read: OperatorConfig) -> None:
        """Take over the file's receivers and figures. Raises SettingsError, and then all stays as
        it was.
        """
        options: TelemetryOptions = read.section("telemetry")
        named: Mapping[str, Options] = {
            **read.named_sections("graphite"),
            **read.named_sections("collectd"),
        }
        fresh = self._changed_receivers(named, options)
        gone = [r for name, r in self.receivers.items() if name not in named or name in fresh]
        self.receivers = {name: fresh.get(name) or self.receivers[name] for name in named}
        self._options = options
        for receiver in gone:
            self._let_go(receiver)
        for receiver in fresh.values():
            receiver.start()
        if not self.receivers:
            self._end_life()
        elif self._tally is None:
            self._begin_life()
        elif fresh:
            self._round += 1
            self._report()
            self._schedule()

    def _changed_receivers(
        self, named: Mapping[str, Options], options: TelemetryOptions
    ) -> dict[str, Receiver]:
        """Return a new receiver for each that is new or has other options than before."""
        config = self._ingress.config
        queue_bytes = options.queue or max(LEAST_ROOM, config.memory_mb * (1 << 20) // MEMORY_PART)
        return {
            name: Receiver(
                name,
                receiver_options,
                config.name,
                options.interval,
                int(queue_bytes),
                config.seed + number,
            )
            for number, (name, receiver_options) in enumerate(named.items())
            if name not in self.receivers
            or self.receivers[name].options != receiver_options
            or self._options.interval != options.interval
        }

    def _begin_life(self) -> None:
        ingress, options = self._ingress, self._options
        module, names = ingress.config.policy_settings, ingress.config.names
        self._tally = tally = Tally(module.classes, len(names.plans), options.firms)
        now = ingress.clock.now()
        unix = now + ingress.clock.unix_offset
        self._timestamps = TimestampSource(unix / 1000.0, now / 1000.0)
        self._reader = MetricsReader(ingress, tally, unix, options.nodes, options.firms)
        self._reported = now
        tally.on_phase = self._phase
        ingress.observe(tally)
        logger.info(
            "telemetry to {}",
            ", ".join(f"{n} at {r.options.address}" for n, r in self.receivers.items()),
        )
        self._report()  # the zeros of this life
        self._schedule()
        self._sample(time.monotonic() + SAMPLE)

    def _end_life(self) -> None:
        self._round += 1
        self._tally = None
        if self._sampler is not None:
            self._sampler.cancel()
        self._ingress.observe(Observer())

    def _let_go(self, receiver: Receiver) -> None:
        task = self._loop.create_task(self._bounded_leave([receiver]))
        self._leaving.add(task)
        task.add_done_callback(self._leaving.discard)

    async def _bounded_leave(self, receivers: list[Receiver]) -> None:
        leaves = [self._loop.create_task(receiver.leave()) for receiver in receivers]
        if leaves:
            await asyncio.wait(leaves, timeout=self._options.farewell / 1000.0)
        for leave in leaves:
            leave.cancel()
        for receiver in receivers:
            receiver.stop()

    # Reports

    def _schedule(self) -> None:
        """The next report is due at a multiple of the interval in Unix time: so all ingresses'
        points fall on the same seconds, and Graphite can add them up.
        """
        self._round += 1
        clock, interval = self._ingress.clock, self._options.interval
        unix = clock.now() + clock.unix_offset
        due = (floor(unix / interval) + 1) * interval - clock.unix_offset
        self._ingress.call_at(due, self._due, self._round)

    def _due(self, number: int) -> None:
        if number == self._round:
            self._schedule()
            self._report()

    def _report(self) -> None:
        """Read now, word later. One report at a time: a loop that is so late skips one."""
        if self._task is not None and not self._task.done():
            return
        reader, tally, timestamps = self._reader, self._tally, self._timestamps
        if reader is None or tally is None or timestamps is None:
            return
        now = self._ingress.clock.now()
        points = reader.points(
            now - self._reported, [(n, r.sender) for n, r in self.receivers.items()]
        )
        tally.begin_interval()
        self._reported = now
        stamp, second = timestamps.next(*self._times())
        receivers = list(self.receivers.values())

        async def word() -> None:
            for receiver in receivers:
                await receiver.report(points, stamp, second)

        self._task = self._loop.create_task(word())

    def _times(self) -> tuple[float, float]:
        clock = self._ingress.clock
        return clock.unix() / 1000.0, clock.now() / 1000.0

    def _phase(self, name: str) -> None:
        if self._timestamps is None:
            return
        stamp, _ = self._timestamps.next(*self._times())
        for receiver in self.receivers.values():
            receiver.note(f"{self._ingress.config.name} is {name}", stamp)

    def _sample(self, due: float) -> None:
        """How late the loop is, by how late this is."""
        tally, now = self._tally, time.monotonic()
        if tally is None:
            return
        if now >= due:
            tally.event_loop_lags.add((now - due) * 1000.0)
            if self._ingress.engine.counter.circuit_open_until > self._ingress.clock.now() / 1000.0:
                tally.circuit_open_ms += SAMPLE * 1000.0
            due = now + SAMPLE
        self._sampler = self._loop.call_later(max(0.0, due - now), self._sample, due)

    async def farewell(self) -> None:
        """The last values, after the last answer, within `farewell` in all."""
        if self._tally is None:
            return
        try:
            async with asyncio.timeout(self._options.farewell / 1000.0):
                if self._task is not None:
                    await self._task
                self._report()
                if self._task is not None:
                    await self._task
        except TimeoutError:
            pass
        await self._bounded_leave(list(self.receivers.values()))
        self._end_life()
