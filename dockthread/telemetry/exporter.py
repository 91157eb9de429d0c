"""Run telemetry for an ingress: one report per interval, and a final report at shutdown.

Events are counted only while a receiver is configured. A telemetry incarnation begins when the
first receiver is configured, at the start of the ingress or by a reload. Its first report contains
explicit zeros. The final report is made after the last response; the setting `farewell` in the
operator's file bounds the time for its delivery.
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
from dockthread.telemetry.options import TelemetryOptions
from dockthread.telemetry.report_delivery import Receiver, ReceiverSettings
from dockthread.telemetry.report_encoders import ReceiverOptions
from dockthread.telemetry.tally import Tally
from dockthread.telemetry.timestamps import Timestamp, TimestampSource

if TYPE_CHECKING:
    from dockthread.config.ini_reader import OperatorConfig
    from dockthread.net.ingress import Ingress

# Seconds between two samples of the event loop's lag and of the quota counter's circuit breaker.
SAMPLE_SECONDS = 0.1
# By default the size limit of a receiver's queue is the ingress's memory divided by this number.
QUEUE_MEMORY_DIVISOR = 64
# Lower bound in bytes of the default size limit of a receiver's queue.
MIN_QUEUE_BYTES = 64 * 1024
BYTES_PER_MEBIBYTE = 1 << 20


class Exporter:
    """Counts the events of an ingress and reports the counts to all receivers.

    All methods must be called from the ingress's event loop.

    Attributes:
        receivers: The receivers configured in the operator's file, by name.
    """

    def __init__(self, ingress: Ingress) -> None:
        self.receivers: dict[str, Receiver] = {}
        self._ingress = ingress
        self._loop = asyncio.get_running_loop()
        self._options = TelemetryOptions()
        self._drain_tasks: set[asyncio.Task[None]] = set()
        self._tally: Tally | None = None
        self._reader: MetricsReader | None = None
        self._timestamps: TimestampSource | None = None
        self._last_report_ms = 0.0  # time of the last report, by the ingress's clock
        self._timer_id = 0  # identifies the current timer; older timers are ignored
        self._report_task: asyncio.Task[None] | None = None
        self._sample_timer: asyncio.TimerHandle | None = None

    @property
    def tally(self) -> Tally | None:
        """The counts of the current incarnation, or None while no receiver is configured."""
        return self._tally

    def apply(self, operator_config: OperatorConfig) -> None:
        """Apply the receivers and options of the operator's file.

        Raises:
            SettingsError: if a receiver cannot be created; then nothing is changed.
        """
        options: TelemetryOptions = operator_config.section("telemetry")
        options_by_name: Mapping[str, ReceiverOptions] = {
            **operator_config.named_sections("graphite"),
            **operator_config.named_sections("collectd"),
        }
        changed = self._changed_receivers(options_by_name, options)
        removed = [
            receiver
            for name, receiver in self.receivers.items()
            if name not in options_by_name or name in changed
        ]
        self.receivers = {
            name: changed.get(name) or self.receivers[name] for name in options_by_name
        }
        self._options = options
        for receiver in removed:
            self._drain_in_background(receiver)
        for receiver in changed.values():
            receiver.start()
        if not self.receivers:
            self._end_incarnation()
        elif self._tally is None:
            self._begin_incarnation()
        elif changed:
            self._timer_id += 1
            self._report()
            self._schedule_report()

    def _changed_receivers(
        self, options_by_name: Mapping[str, ReceiverOptions], options: TelemetryOptions
    ) -> dict[str, Receiver]:
        """Create a receiver for each section that is new or whose options changed."""
        config = self._ingress.config
        memory_share = config.memory_mb * BYTES_PER_MEBIBYTE // QUEUE_MEMORY_DIVISOR
        queue_bytes = int(options.queue or max(MIN_QUEUE_BYTES, memory_share))
        interval_changed = self._options.interval != options.interval
        changed = {}
        for number, (name, receiver_options) in enumerate(options_by_name.items()):
            current = self.receivers.get(name)
            if current and current.options == receiver_options and not interval_changed:
                continue
            settings = ReceiverSettings(
                name=name,
                options=receiver_options,
                ingress=config.name,
                interval_ms=options.interval,
                queue_bytes=queue_bytes,
                seed=config.seed + number,
            )
            changed[name] = Receiver(settings)
        return changed

    def _begin_incarnation(self) -> None:
        ingress = self._ingress
        options = self._options
        names = ingress.config.names
        self._tally = Tally(len(names.classes), len(names.plans), options.firms)
        now_ms = ingress.clock.now()
        unix_ms = now_ms + ingress.clock.unix_offset
        self._timestamps = TimestampSource(unix_ms / 1000.0, now_ms / 1000.0)
        self._reader = MetricsReader(ingress, self._tally, unix_ms, options.nodes, options.firms)
        self._last_report_ms = now_ms
        self._tally.on_phase = self._notify_phase
        ingress.observe(self._tally)
        logger.info(
            "reporting telemetry to {}",
            ", ".join(
                f"{name} at {receiver.options.address}" for name, receiver in self.receivers.items()
            ),
        )
        self._report()  # reports the explicit zeros of this incarnation
        self._schedule_report()
        self._sample(time.monotonic() + SAMPLE_SECONDS)

    def _end_incarnation(self) -> None:
        self._timer_id += 1
        self._tally = None
        if self._sample_timer is not None:
            self._sample_timer.cancel()
        self._ingress.observe(Observer())

    def _drain_in_background(self, receiver: Receiver) -> None:
        task = self._loop.create_task(self._drain([receiver]))
        self._drain_tasks.add(task)
        task.add_done_callback(self._drain_tasks.discard)

    async def _drain(self, receivers: list[Receiver]) -> None:
        """Drain receivers for at most the time `farewell`, then stop them."""
        drain_tasks = [self._loop.create_task(receiver.drain()) for receiver in receivers]
        if drain_tasks:
            await asyncio.wait(drain_tasks, timeout=self._options.farewell / 1000.0)
        for task in drain_tasks:
            task.cancel()
        for receiver in receivers:
            receiver.stop()

    def _schedule_report(self) -> None:
        """Schedule the next report at a multiple of the interval in Unix time.

        All ingresses then report at the same seconds, which lets Graphite add up their values.
        """
        self._timer_id += 1
        clock = self._ingress.clock
        interval_ms = self._options.interval
        unix_ms = clock.now() + clock.unix_offset
        due_unix_ms = (floor(unix_ms / interval_ms) + 1) * interval_ms
        self._ingress.call_at(due_unix_ms - clock.unix_offset, self._on_report_due, self._timer_id)

    def _on_report_due(self, timer_id: int) -> None:
        if timer_id == self._timer_id:
            self._schedule_report()
            self._report()

    def _report(self) -> None:
        """Read the points now, and encode them in a task.

        If the previous report is still being encoded, this one is skipped.
        """
        if self._report_task is not None and not self._report_task.done():
            return
        if self._reader is None or self._tally is None or self._timestamps is None:
            return
        now_ms = self._ingress.clock.now()
        senders = [(name, receiver.sender) for name, receiver in self.receivers.items()]
        points = self._reader.points(now_ms - self._last_report_ms, senders)
        self._tally.begin_interval()
        self._last_report_ms = now_ms
        timestamp = self._next_timestamp(self._timestamps)
        receivers = list(self.receivers.values())

        async def encode() -> None:
            for receiver in receivers:
                await receiver.report(points, timestamp)

        self._report_task = self._loop.create_task(encode())

    def _next_timestamp(self, timestamps: TimestampSource) -> Timestamp:
        clock = self._ingress.clock
        return timestamps.next(clock.unix() / 1000.0, clock.now() / 1000.0)

    def _notify_phase(self, name: str) -> None:
        if self._timestamps is None:
            return
        timestamp = self._next_timestamp(self._timestamps)
        for receiver in self.receivers.values():
            receiver.notify(f"{self._ingress.config.name} is {name}", timestamp.unix_seconds)

    def _sample(self, due: float) -> None:
        """Sample the event loop's lag and whether the quota counter's circuit breaker is open.

        The lag is the time by which this call is late.

        Args:
            due: The time at which the sample is due, in seconds of the monotonic clock.
        """
        tally = self._tally
        if tally is None:
            return
        now = time.monotonic()
        if now >= due:
            tally.event_loop_lags.add((now - due) * 1000.0)
            open_until = self._ingress.engine.counter.circuit_open_until
            if open_until > self._ingress.clock.now() / 1000.0:
                tally.circuit_open_ms += SAMPLE_SECONDS * 1000.0
            due = now + SAMPLE_SECONDS
        self._sample_timer = self._loop.call_later(max(0.0, due - now), self._sample, due)

    async def shutdown(self) -> None:
        """Make the final report after the last response, and drain the receivers.

        Encoding the report and draining the receivers may each take up to the time `farewell`.
        """
        if self._tally is None:
            return
        try:
            async with asyncio.timeout(self._options.farewell / 1000.0):
                if self._report_task is not None:
                    await self._report_task
                self._report()
                if self._report_task is not None:
                    await self._report_task
        except TimeoutError:
            pass
        except Exception:  # noqa: BLE001 - reports that are queued already must be sent
            logger.exception("cannot make the last telemetry report")
        await self._drain(list(self.receivers.values()))
        self._end_incarnation()
