"""RESP2 as inbound clients and backends speak it: commands read, answers written, replies
understood.

Parsing is hiredis's; this module knows which messages mean what.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isfinite, nan
from typing import Any

import hiredis

from dockthread.config.ingress_config import Names
from dockthread.errors import DockthreadError
from dockthread.policy import Effect, Outcome, RequestClass

INCOMPLETE = object()  # what a reader gives while its next message is not whole
MOST_VALUE = 64 * 1024  # bytes of a value, by the protocol
MOST_PARTS = 16  # of a command
MOST_HEADER = 12  # bytes of a header: a sign, a length and the end of the line
MOST_LINE = 512  # bytes of an error line
LARGEST_KEY = 1 << 33
MOST_FIGURE = 1e6  # of a load report, or of use in percent
MOST_TIME = 1e7  # ms that a client can mean to wait

PONG, OK, BUSY = b"+PONG\r\n", b"+OK\r\n", b"-BUSY\r\n"
NOT_READY = b"-LOADING not ready to serve\r\n"
FAILED = b"-ERR failed\r\n"
PROTOCOL_ERROR = b"-ERR Protocol error\r\n"
COMMAND_TIMEOUT = b"-ERR Protocol error: half a command\r\n"
TOO_MANY_COMMANDS = b"-ERR too many commands at once\r\n"

# A load report names its fields as the site does, the settings as the simulator's wire does.
LOAD_WORDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}

ProtocolError = hiredis.ProtocolError
HEX = re.compile(rb"[0-9a-fA-F]{16}")
WHOLE = re.compile(rb"[0-9]{1,9}")
TIME = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
NUMBER = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")
ARRAY, PART = re.compile(rb"\*([0-9]{1,2})\r\n"), re.compile(rb"\$(-1|[0-9]{1,5})\r\n")
ERROR_LINE = re.compile(rb"-[ -~]+\r\n")


def new_parser() -> hiredis.Reader:
    """A parser that tells what is not whole yet from null."""
    return hiredis.Reader(notEnoughData=INCOMPLETE)


class FramingGuard:
    """Reads the headers of what is about to be fed to a reader, and lets none through that would
    have it allocate for a length that nobody means, or wait for an end that never comes.
    """

    __slots__ = ("_bare", "_errors", "_least", "_left", "_line", "_parts", "_value", "is_broken")

    def __init__(
        self, parts: range, null: bool = False, errors: bool = False, bare: bool = False
    ) -> None:
        # bare: parts, and no array round them
        self._parts, self._errors, self._bare = parts, errors, bare
        self._least = -1 if null else 0  # length of a part
        self._left = 0  # parts of the present array that are still to come
        self._value = -1  # bytes of the present part that are; -1 between parts
        self._line = b""
        self.is_broken = False

    @property
    def is_between_messages(self) -> bool:
        """Whether the last message is whole and none has begun."""
        return not (self._left or self._line or self._value >= 0)

    def count_safe_bytes(self, data: bytes) -> int:
        """How many of these bytes may be fed; fewer than all, and nothing more ever, once it is
        `broken`.
        """
        at, end = self._whole(data) if self.is_between_messages else 0, len(data)
        while at < end:
            if self._value > 0:
                step = min(self._value, end - at)
                self._value -= step
                at += step
                continue
            stop = data.find(b"\n", at) + 1
            line = self._line + data[at : stop or end]
            if not self._may_be(line, bool(stop)):
                self.is_broken = True
                return at
            self._line = b"" if stop else line
            at = stop or end
        return end

    def _whole(self, data: bytes) -> int:
        """Where the messages end that stand whole and sound at the start: nearly always that is all
        there is, and costs a fifth of what going line by line does.
        """
        at = end = 0
        while array := ARRAY.match(data, at):
            if int(array[1]) not in self._parts:
                return end
            at = array.end()
            for _ in range(int(array[1])):
                if (part := PART.match(data, at)) is None:
                    return end
                size, at = int(part[1]), part.end()
                if size >= 0:
                    at += size + 2
                if not self._least <= size <= MOST_VALUE or data[at - 2 : at] != b"\r\n":
                    return end
            end = at
        return end

    def _may_be(self, line: bytes, whole: bool) -> bool:
        """Take a header, the end of a value or an error line; a part of one only if it can become
        one.
        """
        sign = line[:1]
        if self._value == 0:
            if whole:
                self._value = -1
                self._left -= 1
            return line == b"\r\n" if whole else line == b"\r"
        if not self._left and sign == b"-" and self._errors:
            return len(line) <= MOST_LINE and (not whole or ERROR_LINE.fullmatch(line) is not None)
        part = self._bare or self._left
        if sign != (b"$" if part else b"*") or len(line) > MOST_HEADER:
            return False
        if not whole:
            return True
        digits, tail = line[1:-2], line[-2:]
        if tail != b"\r\n" or not (digits.isdigit() or digits == b"-1"):
            return False
        size = int(digits)
        if not part:
            self._left = size
            return size in self._parts
        self._left = self._left or 1
        if size < 0:
            self._left -= 1
        else:
            self._value = size
        return self._least <= size <= MOST_VALUE


def command_guard() -> FramingGuard:
    """Of clients' commands."""
    return FramingGuard(range(1, MOST_PARTS + 1))


def reply_guard() -> FramingGuard:
    """Of backends' replies."""
    return FramingGuard(range(3, 4), null=True, errors=True)


def counter_reply_guard() -> FramingGuard:
    """Of the counter's replies."""
    return FramingGuard(range(0), errors=True, bare=True)


class CommandError(DockthreadError):
    """A command that is whole but says nothing that can be served; the text is for the client."""


@dataclass(slots=True)
class RequestCommand:
    """A request as its client worded it, ready to be worded again for a backend."""

    arguments: list[bytes]
    terms_before_deadline: bytes  # of the terms, up to the figure of `d`
    terms_after_deadline: bytes  # of the terms, from behind it
    request_class: int
    plan: int
    customer: int
    time_left_ms: float
    units: float
    spread: int
    first: int
    is_retry: bool = False  # the client marked it as one

    @property
    def wire_id(self) -> bytes:
        """The request's id, as the client wrote it."""
        return self.arguments[2]

    @property
    def body_bytes(self) -> int:
        """Bytes of the body."""
        return sum(map(len, self.arguments[4:]))

    def encode_for_backend(self, time_left: float) -> bytes:
        """The command for a backend. Only `d` may differ from the client's wording: in any other
        form a backend answers -SYNTAX.
        """
        verb, customer, wire_id, _, *body = self.arguments
        terms = b"%b%d%b" % (
            self.terms_before_deadline,
            max(1, int(time_left)),
            self.terms_after_deadline,
        )
        return encode_command(verb, customer, wire_id, terms, *body)


def encode_command(*args: bytes) -> bytes:
    """A command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(args)]
    parts += [b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args]
    return b"".join(parts)


class RequestParser:
    """Reads requests by the names that the settings give to classes and plans."""

    def __init__(
        self,
        names: Names,
        classes: tuple[RequestClass, ...],
        gateways: int,
        most_units: int,
        offered: frozenset[str] | None = None,
    ) -> None:
        """`offered`: the classes that clients may ask for, where not all that the module knows."""
        self._classes = {
            name.encode(): number
            for number, name in enumerate(names.classes)
            if offered is None or name in offered
        }
        self._plans = {name.encode(): number for number, name in enumerate(names.plans)}
        safe = [c.effect is Effect.SAFE for c in classes]
        self._verbs = [b"API.READ" if s else b"API.WRITE" for s in safe]
        self._gateways, self._most_units = gateways, most_units

    def parse(self, args: list[bytes]) -> RequestCommand:
        """A command's request. Raises BadCommand."""
        if len(args) not in (4, 5):
            raise CommandError("wrong number of arguments")
        if not HEX.fullmatch(args[1]) or not HEX.fullmatch(args[2]):
            raise CommandError("a customer or an id is not 16 hex digits")
        customer, text = int(args[1], 16), args[3]
        pairs = text.split(b",")
        try:
            terms = dict(pair.split(b"=", 1) for pair in pairs)
            number, plan, time = self._classes[terms[b"c"]], self._plans[terms[b"t"]], terms[b"d"]
        except KeyError as error:
            raise CommandError("a term is missing, or names an unknown class or plan") from error
        except ValueError as error:
            raise CommandError("a term cannot be read") from error
        if len(terms) < len(pairs):
            raise CommandError("a term stands twice")
        if args[0].upper() != self._verbs[number]:
            raise CommandError("this class goes by the other command")
        units, spread = self._whole(terms, b"units", b"1"), self._whole(terms, b"spread", b"1")
        first, left = (
            self._whole(terms, b"first", b"0"),
            float(time) if TIME.fullmatch(time) else 0.0,
        )
        if not (
            0 < left <= MOST_TIME
            and 1 <= units <= self._most_units
            and 1 <= spread <= self._gateways
            and first < self._gateways
            and customer < LARGEST_KEY
        ):
            raise CommandError("a figure is out of range")
        at = 2 if text.startswith(b"d=") else text.index(b",d=") + 3
        end = text.find(b",", at)
        rest = text[end:] if end >= 0 else b""
        again = terms.get(b"r") == b"1"
        return RequestCommand(
            args, text[:at], rest, number, plan, customer, left, units, spread, first, again
        )

    @staticmethod
    def _whole(terms: dict[bytes, bytes], name: bytes, default: bytes) -> int:
        if not WHOLE.fullmatch(text := terms.get(name, default)):
            raise CommandError("a figure is not a whole number")
        return int(text)


def encode_busy(retry_after: float) -> bytes:
    """A fail-fast: `retry_after` in milliseconds, 0 for no advice."""
    return b"-BUSY %d\r\n" % round(retry_after) if retry_after >= 0.5 else BUSY


def encode_error(text: str) -> bytes:
    """An error line."""
    return b"-ERR %b\r\n" % text.encode()


def encode_value(value: bytes) -> bytes:
    """The answer that hands a value to the client."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


@dataclass(slots=True)
class BackendReply:
    """What a backend said of one outbound call."""

    outcome: Outcome
    value: bytes = b""
    utilization: float | None = None
    cost: float = 0.0
    load_report: tuple[float, ...] = ()
    is_well_formed: bool = (
        True  # its form is the protocol's, so the connection may carry another call
    )


class ReplyParser:
    """Understands backends' replies; load reports are given in the order that the module knows."""

    def __init__(self, load_names: tuple[str, ...]) -> None:
        self._load = [LOAD_WORDS.get(name, name).encode() for name in load_names]
        self._wire = [name.encode() for name in load_names]

    def parse(self, message: Any) -> BackendReply:
        """What a whole reply says."""
        if isinstance(message, list) and len(message) == 3 and type(message[0]) is bytes:
            value, use, load = message
            if len(value) <= MOST_VALUE and all(n is None or type(n) is bytes for n in (use, load)):
                reply = BackendReply(Outcome.OK, value)
                for note in (use, load):
                    if note:
                        self._note(reply, note)
                return reply
        if isinstance(message, hiredis.ReplyError):
            kind, *notes = str(message).split(" ")
            reply = BackendReply(Outcome.AT_CAPACITY if kind == "BUSY" else Outcome.ERROR)
            reply.is_well_formed = kind == "BUSY" or (kind == "ERR" and notes[:1] == ["failed"])
            for note in notes:
                self._note(reply, note.encode())
            return reply
        # nothing that a backend says of a request it served
        return BackendReply(Outcome.ERROR, is_well_formed=False)

    def _note(self, reply: BackendReply, text: bytes) -> None:
        """Figures on use, or a load report. What cannot be read, or cannot be true, is passed over:
        one nan would stay in every smoothed figure for good.
        """
        try:
            fields = {
                name: float(figure) for name, figure in (f.split(b"=", 1) for f in text.split(b","))
            }
        except ValueError:
            return
        if not all(isfinite(figure) and 0 <= figure < MOST_FIGURE for figure in fields.values()):
            return
        if b"used" in fields:
            reply.utilization = fields[b"used"] / 100.0
        reply.cost = fields.get(b"cost", reply.cost)
        load = [
            fields.get(name, fields.get(wire))
            for name, wire in zip(self._load, self._wire, strict=True)
        ]
        if load and None not in load:
            reply.load_report = tuple(figure for figure in load if figure is not None)


def encode_counter_addition(name: int, amount: float, life: float) -> bytes:
    """A call to the counter; `life` in milliseconds."""
    return encode_command(b"CNT.ADD", b"%x" % name, b"%.6g" % amount, b"%d" % max(1, round(life)))


def parse_counter_reply(message: Any) -> tuple[Outcome, float]:
    """What the counter says of a call, and the total. What cannot be read was added all the
    same.
    """
    if isinstance(message, hiredis.ReplyError):
        kind = str(message).split(" ")[0]
        known = {"BUSY": Outcome.AT_CAPACITY, "ERR": Outcome.NOT_SENT}
        return known.get(kind, Outcome.ERROR), 0.0
    try:
        total = float(message) if type(message) is bytes and NUMBER.fullmatch(message) else nan
    except ValueError:
        total = nan
    return (Outcome.OK, total) if isfinite(total) else (Outcome.ERROR, 0.0)
