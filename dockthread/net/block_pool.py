"""Blocks of memory for the bodies of requests and the values of replies.

All connections and both directions share one pool, whose size bounds what they hold together.
Blocks are reserved before they are filled: a body reserves all of its blocks at once, so that two
half-read bodies never wait for each other. Reservations are granted in the order in which they were
requested; until then the connection is not read, and the system's flow control slows its peer down.

A block is a mapping of its own, so that the system gets it back when it is dropped, however the
allocator's heap is divided.
"""

from __future__ import annotations

import asyncio
import mmap
from collections import deque
from dataclasses import dataclass

from dockthread.net.memory import BLOCK_BYTES


def blocks_for(size: int) -> int:
    """Return the number of blocks that `size` bytes need."""
    return -(-size // BLOCK_BYTES)


@dataclass(slots=True, eq=False)
class _Waiter:
    """A reservation that has not been granted."""

    blocks: int
    granted: asyncio.Future[bool]


class BlockPool:
    """Blocks of `BLOCK_BYTES`, at most `max_blocks` at a time.

    At most `max_waiting` reservations wait: each occupies a connection that others could use.
    """

    def __init__(self, max_blocks: int, max_waiting: int) -> None:
        self.max_blocks = max_blocks
        self._max_waiting = max_waiting
        self._is_paused = False
        self.reserved = 0
        self._waiters: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """The number of reservations that wait."""
        return len(self._waiters)

    def pause(self, is_paused: bool) -> None:
        """Reserve no further blocks, or reserve them again."""
        self._is_paused = is_paused
        self._grant()

    def try_reserve(self, blocks: int) -> bool:
        """Reserve blocks if they are free and no earlier reservation waits."""
        if self._is_paused or self._waiters or self.reserved + blocks > self.max_blocks:
            return False
        self.reserved += blocks
        return True

    async def reserve(self, blocks: int, timeout_s: float) -> bool:
        """Reserve blocks; return False if they were not free within `timeout_s`."""
        if self.try_reserve(blocks):
            return True
        has_place = len(self._waiters) < self._max_waiting
        if blocks > self.max_blocks or not has_place or timeout_s <= 0:
            return False
        loop = asyncio.get_running_loop()
        waiter = _Waiter(blocks, loop.create_future())
        self._waiters.append(waiter)
        timer = loop.call_later(timeout_s, self._expire, waiter)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled() and waiter.granted.result():
                self.unreserve(blocks)
            raise
        finally:
            timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                self._grant()

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.granted.done():
            waiter.granted.set_result(False)

    def _grant(self) -> None:
        while self._waiters:
            waiter = self._waiters[0]
            if not waiter.granted.done():
                if self._is_paused or self.reserved + waiter.blocks > self.max_blocks:
                    return
                self.reserved += waiter.blocks
                waiter.granted.set_result(True)
            self._waiters.popleft()

    def unreserve(self, blocks: int) -> None:
        """Return reserved blocks, whose memory the caller no longer refers to."""
        self.reserved -= blocks
        self._grant()


class BlockBuffer:
    """Up to `size` bytes in reserved blocks; `release` returns the blocks to the pool."""

    __slots__ = ("_blocks", "_pool", "_reserved", "filled", "size")

    def __init__(self, pool: BlockPool, size: int) -> None:
        """Create an empty buffer; the caller has reserved `blocks_for(size)` blocks."""
        self._pool = pool
        self._reserved = blocks_for(size)
        self._blocks: list[mmap.mmap] = []
        self.size = size
        self.filled = 0

    @property
    def is_full(self) -> bool:
        """Whether all bytes have arrived."""
        return self.filled == self.size

    def free_space(self) -> memoryview:
        """Return the rest of the block that is being filled, for the next bytes."""
        offset = self.filled % BLOCK_BYTES
        if not offset and len(self._blocks) * BLOCK_BYTES == self.filled:
            self._blocks.append(mmap.mmap(-1, BLOCK_BYTES))
        length = min(BLOCK_BYTES - offset, self.size - self.filled)
        return memoryview(self._blocks[-1])[offset : offset + length]

    def append(self, data: bytes) -> None:
        """Add bytes, which must not be more than the buffer still has space for."""
        position = 0
        while position < len(data):
            space = self.free_space()
            length = min(len(space), len(data) - position)
            space[:length] = data[position : position + length]
            self.filled += length
            position += length

    def pieces(self) -> list[memoryview]:
        """Return the bytes that have arrived, by block."""
        return [
            memoryview(block)[: min(BLOCK_BYTES, self.filled - start)]
            for block, start in zip(self._blocks, range(0, self.filled, BLOCK_BYTES), strict=False)
        ]

    def release(self) -> None:
        """Return the blocks to the pool; may be called again."""
        reserved, self._reserved = self._reserved, 0
        self._blocks.clear()
        self.filled = self.size = 0
        if reserved:
            self._pool.unreserve(reserved)
