"""Delivers reports to the receivers of the operator's file; each receiver has its own task.

The sender decides what is sent and when, and this module performs its actions. No request ever
waits for a receiver.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass

from loguru import logger

from dockthread.telemetry.catalogue import Point
from dockthread.telemetry.collectd import Severity
from dockthread.telemetry.connections import create_connection
from dockthread.telemetry.delivery_queue import DeliveryQueue, Report
from dockthread.telemetry.report_encoders import ReceiverOptions, create_report_encoder
from dockthread.telemetry.sender import Action, ActionKind, Event, Sender, SenderState
from dockthread.telemetry.timestamps import Timestamp

# Maximum number of points encoded in one iteration of the event loop.
POINTS_PER_LOOP_ITERATION = 64
# Timeout in seconds for connecting to a receiver, and for sending a report.
IO_TIMEOUT_SECONDS = 10.0

NO_ACTION = Action(ActionKind.NOTHING)


@dataclass(frozen=True, slots=True)
class ReceiverSettings:
    """Settings from which a receiver is created.

    Attributes:
        name: The name in the receiver's section head.
        options: The options in the receiver's section.
        ingress: The name of this ingress.
        interval_ms: The interval between two reports.
        queue_bytes: The size limit of the receiver's queue.
        seed: Seed of the random jitter in the backoff between connection attempts.
    """

    name: str
    options: ReceiverOptions
    ingress: str
    interval_ms: float
    queue_bytes: int
    seed: int


class Receiver:
    """One receiver, whose task runs from `start` until it is drained or stopped.

    Attributes:
        name: The name in the receiver's section head.
        options: The options in the receiver's section.
        sender: The state machine that decides what is sent, and when.
    """

    def __init__(self, settings: ReceiverSettings) -> None:
        """Create the receiver without starting its task.

        Raises:
            SettingsError: if the password cannot be read or a package is missing.
        """
        self.name = settings.name
        self.options = settings.options
        self._encoder = create_report_encoder(
            settings.options, settings.ingress, settings.interval_ms
        )
        self._connection = create_connection(settings.options)
        queue = DeliveryQueue(settings.queue_bytes)
        self.sender = Sender(queue, random.Random(settings.seed))
        self._wake_event = asyncio.Event()
        self._next_action = NO_ACTION
        self._task: asyncio.Task[None] | None = None
        self._failure_was_logged = False

    def start(self) -> None:
        """Start the task that delivers reports."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def report(self, points: list[Point], timestamp: Timestamp) -> None:
        """Encode a report in slices, yielding to the event loop after each, and queue it."""
        chunks: list[bytes] = []
        for start in range(0, len(points), POINTS_PER_LOOP_ITERATION):
            chunks += self._encoder.encode(
                points[start : start + POINTS_PER_LOOP_ITERATION], timestamp
            )
            await asyncio.sleep(0)
        self._enqueue(Report(timestamp.unix_seconds, tuple(chunks)))

    def notify(self, text: str, unix_seconds: float, severity: Severity = Severity.OKAY) -> None:
        """Queue a notification if the receiver supports them."""
        if self._encoder.supports_notifications:
            chunk = self._encoder.encode_notification(text, severity, unix_seconds)
            self._enqueue(Report(unix_seconds, (chunk,)))

    def _enqueue(self, report: Report) -> None:
        self._set_next_action(self.sender.enqueue(report))

    def _set_next_action(self, action: Action) -> None:
        if action.kind is not ActionKind.NOTHING:
            self._next_action = action
            self._wake_event.set()

    async def drain(self) -> None:
        """Send all queued reports and end the task; the caller sets a time limit."""
        self._set_next_action(self.sender.drain())
        if self._task is not None and self.sender.state is not SenderState.ENDED:
            await asyncio.wait([self._task])

    def stop(self) -> None:
        """Cancel the task and close the connection immediately."""
        if self._task is not None:
            self._task.cancel()
        self._connection.close()

    async def _run(self) -> None:
        while self.sender.state is not SenderState.ENDED:
            await self._wake_event.wait()
            action = self._take_action()
            while action.kind is not ActionKind.NOTHING:
                action = await self._perform_action(action)

    def _take_action(self) -> Action:
        self._wake_event.clear()
        action = self._next_action
        self._next_action = NO_ACTION
        return action

    async def _perform_action(self, action: Action) -> Action:
        """Perform an action and return the one that follows."""
        if action.kind is ActionKind.BACK_OFF:
            return await self._back_off(action.backoff_ms)
        try:
            async with asyncio.timeout(IO_TIMEOUT_SECONDS):
                event = await self._perform_io(action)
        except OSError as error:
            self._connection.close()
            self._log_failure(error)
            return self.sender.handle(Event.FAILED)
        if event is Event.DELIVERED and self._failure_was_logged:
            self._failure_was_logged = False
            logger.bind(receiver=self.name).info("receiver {} accepts reports again", self.name)
        return self.sender.handle(event)

    async def _back_off(self, backoff_ms: float) -> Action:
        with suppress(TimeoutError):
            await asyncio.wait_for(self._wake_event.wait(), backoff_ms / 1000.0)
        # Only a drain produces an action during a backoff; the action is performed at once.
        if self._wake_event.is_set():
            return self._take_action()
        return self.sender.handle(Event.BACKOFF_ELAPSED)

    async def _perform_io(self, action: Action) -> Event:
        """Do the I/O of an action and return the resulting event.

        Raises:
            OSError: if the receiver cannot be reached, closed the connection or does not read.
        """
        if action.kind is ActionKind.CONNECT:
            await self._connection.open()
            return Event.CONNECTED
        if action.kind is ActionKind.CLOSE:
            await self._connection.finish()
            self._connection.close()
            return Event.CLOSED
        assert action.report is not None, "SEND must have a report"
        await self._connection.send(action.report.chunks)
        self.sender.delivery_queue.mark_delivered(action.report)
        return Event.DELIVERED

    def _log_failure(self, error: OSError) -> None:
        """Log the first failure as a warning, and later ones at debug level until a delivery."""
        bound_logger = logger.bind(receiver=self.name)
        log_failure = bound_logger.debug if self._failure_was_logged else bound_logger.warning
        self._failure_was_logged = True
        log_failure(
            "connection to receiver {} failed: {}; reports are queued",
            self.name,
            error or type(error).__name__,
        )
