"""Frames to one other member: a bounded queue, and beside it a state in parts.

Theory of operation. The agreement sends the whole state to a member that is too far behind, anew at
each beat until it is answered. A state of 90,000 resources has tens of megabytes: in one frame it
would hold up every sign of life behind it, and a queue of such frames would fill the memory. So a
state is cut into parts, sent only while no other frame waits and one at a time; while it is under
way, and for `REPEAT` after it, a beat that would send it again sends an empty `Append` behind the
state's last entry instead. The receiver answers that one like any other, so that both know of each
other meanwhile; it is answered with yes once the state has arrived.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterator

from dockthread.config.platform_settings import Address
from dockthread.framing import MessageCounts
from dockthread.raft import messages

MOST_WAITING = 256  # frames to one member
PAUSE = 200.0  # ms before a broken connection is opened again, give or take half
REPEAT = 5.0  # s after a state was sent before the same one is sent again
CONNECTING, DRAINING = 2.0, 5.0  # s


class PeerTransport:
    """Frames to one other member. `counts`: where they are counted."""

    def __init__(self, to: Address, rng: random.Random, key: bytes, counts: MessageCounts) -> None:
        self._to, self._rng, self._key, self._counts = to, rng, key, counts
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._parts: Iterator[bytes] | None = None  # of the state that is under way
        self._state: tuple[int, int] = (0, 0)  # term and last entry of the state that was sent last
        self._sent = -REPEAT  # when its last part was written
        self._some = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: messages.Message) -> None:
        """Queue a message; the oldest are dropped where too many wait."""
        if (
            isinstance(message, messages.InstallSnapshot)
            and len(message.snapshot) > messages.CHUNK_BYTES
        ):
            self._send_state(message)
        else:
            self._waiting.append(messages.pack(message, self._key))
        self._some.set()

    def _send_state(self, m: messages.InstallSnapshot) -> None:
        same = (m.term, m.last_index) == self._state and time.monotonic() - self._sent < REPEAT
        if self._parts is not None or same:
            beat = messages.AppendEntries(
                m.term, m.sender, m.last_index, m.last_term, (), 0, m.heartbeat_round
            )
            self._waiting.append(messages.pack(beat, self._key))
        else:
            self._state = m.term, m.last_index
            self._parts = messages.split_snapshot(m, self._key)

    async def _run(self) -> None:
        while True:
            await self._some.wait()
            writer = None
            try:
                async with asyncio.timeout(CONNECTING):
                    _, writer = await asyncio.open_connection(self._to.host, self._to.port)
                while True:
                    await self._some.wait()
                    self._some.clear()
                    await self._write(writer)
            except (OSError, TimeoutError):
                self._waiting.clear()  # old by the time it could be sent
                self._parts, self._state = None, (0, 0)
                await asyncio.sleep(PAUSE * self._rng.uniform(0.5, 1.5) / 1000.0)
            finally:
                if writer is not None:
                    writer.close()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        """All that waits, then parts of a state as long as nothing else waits."""
        while self._waiting or self._parts is not None:
            while self._waiting:
                writer.write(self._waiting.popleft())
                self._counts.sent += 1
            if self._parts is not None:
                if (part := next(self._parts, None)) is None:
                    self._parts, self._sent = None, time.monotonic()
                else:
                    writer.write(part)
                    self._counts.sent += 1
            async with asyncio.timeout(DRAINING):
                await writer.drain()
