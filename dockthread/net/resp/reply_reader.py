"""Reads the reply of a backend, whole if it is short; the value of a long one is left to others.

A reply is an error line or an array of the value and two reports. `ReplyReader` recognizes a value
that is too long to be held in a message. The caller then takes the bytes of the value itself, and
`LongReplyTail` reads what follows them.
"""

from __future__ import annotations

import re

from dockthread.net.resp.framing import (
    INCOMPLETE,
    FramingGuard,
    ProtocolError,
    new_parser,
    reply_guard,
)
from dockthread.net.resp.limits import MAX_VALUE_BYTES, MAX_WHOLE_VALUE_BYTES
from dockthread.net.resp.replies import BackendReply, ReplyParser
from dockthread.policy import Outcome

LINE_END = b"\r\n"
REPORTS = 2  # Elements of a reply after its value.
_HEAD = re.compile(rb"\*3\r\n\$([0-9]{1,7})\r\n")
_PARTIAL_HEAD = re.compile(rb"\*?|\*3\r?|\*3\r\n\$?|\*3\r\n\$[0-9]{1,7}\r?")


def _malformed() -> BackendReply:
    """Return the result of a malformed reply: an error, because the request has run."""
    return BackendReply(Outcome.ERROR, is_well_formed=False)


class _ReplyMessage:
    """Reads one message of a reply within a guard.

    Attributes:
        message: The message once it is complete, else `INCOMPLETE`.
        is_malformed: Whether the input is not such a message.
    """

    __slots__ = ("_guard", "_parser", "is_malformed", "message")

    def __init__(self, guard: FramingGuard) -> None:
        self._guard = guard
        self._parser = new_parser()
        self.message: object = INCOMPLETE
        self.is_malformed = False

    @property
    def has_extra_bytes(self) -> bool:
        """Whether something followed the message."""
        guard = self._guard
        return guard.is_broken or not guard.is_between_messages or bool(self._parser.has_data())

    def feed(self, data: bytes) -> None:
        """Read a part of the message."""
        self._parser.feed(data[: self._guard.count_safe_bytes(data)])
        try:
            self.message = self._parser.gets()
        except (ProtocolError, UnicodeDecodeError):
            self.is_malformed = True
        else:
            self.is_malformed = self.message is INCOMPLETE and self._guard.is_broken


class ReplyReader:
    """Reads one reply.

    Attributes:
        reply: The reply once it is complete or malformed; never set for a long one.
        is_reusable: Whether the connection may be used for another attempt after the reply. If more
            bytes follow it, the next reply could not be matched to its request.
        long_value_bytes: The size of a value that is too long for a message; None for others.
        value_start: The first bytes of a long value that were read with its head.
    """

    __slots__ = (
        "_head",
        "_message",
        "_parser",
        "is_reusable",
        "long_value_bytes",
        "reply",
        "value_start",
    )

    def __init__(self, parser: ReplyParser) -> None:
        self._parser = parser
        self._head: bytes | None = b""  # input that may be the head of a long reply
        self._message = _ReplyMessage(reply_guard())
        self.reply: BackendReply | None = None
        self.is_reusable = False
        self.long_value_bytes: int | None = None
        self.value_start = b""

    def feed(self, data: bytes) -> None:
        """Read a part of the reply."""
        if self._head is not None:
            data = self._head + data
            head = _HEAD.match(data)
            if head is not None and MAX_WHOLE_VALUE_BYTES < int(head[1]) <= MAX_VALUE_BYTES:
                self.long_value_bytes = int(head[1])
                self.value_start = data[head.end() :]
                return
            is_partial = head is None and _PARTIAL_HEAD.fullmatch(data) is not None
            self._head = data if is_partial else None
            if is_partial:
                return
        self._message.feed(data)
        if self._message.is_malformed:
            self.reply = _malformed()
        elif self._message.message is not INCOMPLETE:
            self.reply = self._parser.parse(self._message.message)
            self.is_reusable = self.reply.is_well_formed and not self._message.has_extra_bytes


class LongReplyTail:
    """Reads what follows a long value: its line end and two reports.

    Attributes:
        is_value_confirmed: Whether the line end of the value has arrived, so that the value is as
            long as its head said.
        reply: The reply without its value, once it is complete or malformed.
        is_reusable: Whether the connection may be used for another attempt after the reply.
    """

    __slots__ = (
        "_line_end",
        "_message",
        "_parser",
        "is_reusable",
        "is_value_confirmed",
        "reply",
    )

    def __init__(self, parser: ReplyParser) -> None:
        self._parser = parser
        self._line_end = b""
        self._message = _ReplyMessage(reply_guard(REPORTS))
        self._message.feed(b"*%d\r\n" % REPORTS)
        self.is_value_confirmed = False
        self.reply: BackendReply | None = None
        self.is_reusable = False

    def feed(self, data: bytes) -> None:
        """Read a part of the tail."""
        if not self.is_value_confirmed:
            missing = len(LINE_END) - len(self._line_end)
            self._line_end += data[:missing]
            data = data[missing:]
            if not LINE_END.startswith(self._line_end):
                self.reply = _malformed()
                return
            self.is_value_confirmed = self._line_end == LINE_END
        if not data:
            return
        self._message.feed(data)
        reports = self._message.message
        if self._message.is_malformed:
            self.reply = _malformed()
        elif isinstance(reports, list):
            self.reply = self._parser.parse([b"", *reports])
            self.is_reusable = self.reply.is_well_formed and not self._message.has_extra_bytes
