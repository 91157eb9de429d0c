"""Sends frames to one other member from a bounded queue, and large snapshots in chunks.

The core sends a snapshot to a member that is too far behind, and repeats it at each heartbeat until
the member responds. A snapshot of 90,000 resources has tens of megabytes: in one frame it would
delay all heartbeats queued after it, and a queue of such frames would exhaust the memory. A large
snapshot is therefore split into chunks, which are sent one at a time and only while the queue is
empty. While a snapshot is being sent, and for `SNAPSHOT_RETRY_S` after that, each repetition is
replaced with an empty `AppendEntries` that starts after the snapshot's last entry. The receiver
responds to it as usual, so both members still exchange heartbeats; the response reports success
once the snapshot has arrived.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterator
from typing import Final

from loguru import logger

from dockthread.config.address import Address
from dockthread.framing import MessageCounts
from dockthread.raft import messages

MAX_QUEUED_FRAMES: Final = 256  # maximum number of frames queued for one member
RECONNECT_DELAY_MS: Final = 200.0  # pause before a reconnect, randomized by plus or minus half
SNAPSHOT_RETRY_S: Final = 5.0  # minimum time before the same snapshot is sent again
CONNECT_TIMEOUT_S: Final = 2.0
DRAIN_TIMEOUT_S: Final = 5.0


class PeerTransport:
    """A connection to one other member, opened when a message is queued.

    Attributes:
        task: sends queued frames until it is cancelled.
    """

    def __init__(
        self, address: Address, rng: random.Random, key: bytes, counts: MessageCounts
    ) -> None:
        """Start the sending task, which counts sent frames in `counts`."""
        self._address = address
        self._rng = rng
        self._key = key
        self._counts = counts
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self._chunks: Iterator[bytes] | None = None  # remaining chunks of the current snapshot
        self._snapshot_id = (0, 0)  # term and last index of the latest snapshot
        self._snapshot_sent_at = -SNAPSHOT_RETRY_S  # time when the last chunk was written
        self._has_queued_frames = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: messages.Message) -> None:
        """Queue a message; if the queue is full, the oldest message is dropped."""
        if (
            isinstance(message, messages.InstallSnapshot)
            and len(message.snapshot) > messages.CHUNK_BYTES
        ):
            self._send_snapshot(message)
        else:
            self._queue.append(messages.pack(message, self._key))
        self._has_queued_frames.set()

    def _send_snapshot(self, message: messages.InstallSnapshot) -> None:
        """Start sending a snapshot in chunks, or send a heartbeat if it was sent recently."""
        snapshot_id = (message.term, message.last_index)
        was_sent_recently = time.monotonic() - self._snapshot_sent_at < SNAPSHOT_RETRY_S
        if self._chunks is not None or (snapshot_id == self._snapshot_id and was_sent_recently):
            heartbeat = messages.AppendEntries(
                term=message.term,
                sender=message.sender,
                previous_index=message.last_index,
                previous_term=message.last_term,
                entries=(),
                commit_index=0,
                heartbeat_round=message.heartbeat_round,
            )
            self._queue.append(messages.pack(heartbeat, self._key))
        else:
            self._snapshot_id = snapshot_id
            self._chunks = messages.split_snapshot(message, self._key)

    async def _run(self) -> None:
        """Connect when a frame is queued, and connect again whenever the connection has ended."""
        while True:
            await self._has_queued_frames.wait()
            try:
                await self._send_until_broken()
            except OSError:  # a connection time-out is one too
                pass
            except Exception:  # noqa: BLE001 - nothing may end this task while the member runs
                logger.exception("fleet: unexpected error on the connection to {}", self._address)
            self._discard_queue()
            await asyncio.sleep(RECONNECT_DELAY_MS * self._rng.uniform(0.5, 1.5) / 1000.0)

    async def _send_until_broken(self) -> None:
        """Connect, and write what is queued for as long as the connection stands.

        Raises:
            OSError: the connection could not be opened, or it broke.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(self._address.host, self._address.port)
        try:
            while True:
                await self._has_queued_frames.wait()
                self._has_queued_frames.clear()
                await self._write_queued(writer)
        finally:
            writer.close()

    def _discard_queue(self) -> None:
        """Drop all frames: they would be outdated after a reconnect."""
        self._queue.clear()
        self._chunks = None
        self._snapshot_id = (0, 0)

    async def _write_queued(self, writer: asyncio.StreamWriter) -> None:
        """Write the queue, then one chunk of a snapshot at a time while the queue is empty.

        Raises:
            OSError: the connection has ended.
        """
        while self._queue or self._chunks is not None:
            while self._queue:
                self._write(writer, self._queue.popleft())
            if self._chunks is not None:
                self._write_chunk(writer, self._chunks)
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await writer.drain()

    def _write_chunk(self, writer: asyncio.StreamWriter, chunks: Iterator[bytes]) -> None:
        chunk = next(chunks, None)
        if chunk is None:
            self._chunks = None
            self._snapshot_sent_at = time.monotonic()
        else:
            self._write(writer, chunk)

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        # A reset closes the transport between two writes; writing to it is then an error of its own
        # in some event loops, and without effect in others.
        if writer.is_closing():
            raise ConnectionResetError(f"the connection to {self._address} has ended")
        writer.write(frame)
        self._counts.sent += 1
