"""Reads frames from other members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from dockthread.framing import MessageCounts
from dockthread.raft import messages


class FrameReceiver:
    """Reads messages from connections that other members opened.

    Attributes:
        rejected: number of frames and messages that were rejected since the start.
    """

    def __init__(
        self, key: bytes, counts: MessageCounts, on_message: Callable[[messages.Message], None]
    ) -> None:
        """Pass every complete message to `on_message`, and count received frames in `counts`."""
        self._key = key
        self._counts = counts
        self._on_message = on_message
        self.rejected = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one connection until it ends; a malformed frame closes it."""
        try:
            await self._read_messages(reader)
        except messages.MalformedFrameError as error:
            self.rejected += 1
            logger.debug("fleet: rejected a frame: {}", error)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _read_messages(self, reader: asyncio.StreamReader) -> None:
        assembler = messages.SnapshotAssembler()
        while True:
            header = await reader.readexactly(messages.FRAME_HEADER.size)
            body = await reader.readexactly(messages.message_size(header))
            self._counts.received += 1
            try:
                message = messages.unpack(header, body, self._key)
            except messages.UnknownMessageError as error:
                self.rejected += 1
                logger.debug("fleet: rejected a message: {}", error)
                continue
            if isinstance(message, messages.SnapshotChunk):
                complete = assembler.add(message)
                if complete is not None:
                    self._on_message(complete)
            else:
                self._on_message(message)
