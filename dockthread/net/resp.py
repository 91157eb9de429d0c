"""RESP2 as inbound clients and backends speak it: commands read, answers written, replies understood.

Parsing is hiredis's; this module knows which messages mean what.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import hiredis

from dockthread import api
from dockthread.settings import Names

INCOMPLETE = object()  # what a reader gives while its next message is not whole
MOST_UNFINISHED = 160 * 1024  # bytes of a message that is not whole: a 64 KiB value and all round it, twice

PONG, OK, BUSY = b"+PONG\r\n", b"+OK\r\n", b"-BUSY\r\n"
NOT_READY = b"-LOADING not ready to serve\r\n"
FAILED = b"-ERR failed\r\n"
BAD_FRAMING = b"-ERR Protocol error\r\n"
TOO_LONG = b"-ERR Protocol error: message too long\r\n"

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


def reader() -> hiredis.Reader:
    return hiredis.Reader(notEnoughData=INCOMPLETE)


class BadCommand(Exception):
    """A command that is whole but says nothing that can be served; the text is for the client."""


@dataclass(slots=True)
class Ask:
    """A request as its client worded it, ready to be worded again for a backend."""

    args: list[bytes]
    head: bytes  # of the terms, up to the figure of `d`
    rest: bytes  # of the terms, from behind it
    request_class: int
    plan: int
    customer: int
    time_left: float
    units: float
    spread: int
    first: int

    @property
    def body_bytes(self) -> int:
        return sum(map(len, self.args[4:]))

    def onward(self, time_left: float) -> bytes:
        """The command for a backend. Only `d` may differ from the client's wording: in any other form a
        backend answers -SYNTAX."""
        verb, customer, wire_id, _, *body = self.args
        terms = b"%b%d%b" % (self.head, max(1, int(time_left)), self.rest)
        return command(verb, customer, wire_id, terms, *body)


def command(*args: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(args)]
    parts += [b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args]
    return b"".join(parts)


class Vocabulary:
    """Reads requests by the names that the settings give to classes and plans."""

    def __init__(self, names: Names, classes: tuple[api.RequestClass, ...]) -> None:
        self._classes = {name.encode(): number for number, name in enumerate(names.classes)}
        self._plans = {name.encode(): number for number, name in enumerate(names.plans)}
        safe = [c.effect is api.Effect.SAFE for c in classes]
        self._verbs = [b"API.READ" if s else b"API.WRITE" for s in safe]

    def ask(self, args: list[bytes]) -> Ask:
        if len(args) not in (4, 5):
            raise BadCommand("wrong number of arguments")
        text = args[3]
        try:
            terms = dict(term.split(b"=", 1) for term in text.split(b","))
            customer = int(args[1], 16)
            number, plan = self._classes[terms[b"c"]], self._plans[terms[b"t"]]
            left, units = float(terms[b"d"]), float(terms.get(b"units", 1))
            spread, first = int(terms.get(b"spread", 1)), int(terms.get(b"first", 0))
        except KeyError as error:
            raise BadCommand("a term is missing, or names an unknown class or plan") from error
        except ValueError as error:
            raise BadCommand("a term cannot be read") from error
        if args[0].upper() != self._verbs[number]:
            raise BadCommand("this class goes by the other command")
        # The comparisons also turn away nan, which would outlive every deadline.
        if not (0 < left < 1e9 and 0 < units < 1e6 and spread > 0 and first >= 0 and 0 <= customer < 1 << 64):
            raise BadCommand("a figure is out of range")
        at = 2 if text.startswith(b"d=") else text.index(b",d=") + 3
        end = text.find(b",", at)
        rest = text[end:] if end >= 0 else b""
        return Ask(args, text[:at], rest, number, plan, customer, left, units, spread, first)


def busy(retry_after: float) -> bytes:
    """A fail-fast: `retry_after` in milliseconds, 0 for no advice."""
    return b"-BUSY %d\r\n" % round(retry_after) if retry_after >= 0.5 else BUSY


def error(text: str) -> bytes:
    return b"-ERR %b\r\n" % text.encode()


def served(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


@dataclass(slots=True)
class Reply:
    """What a backend said of one outbound call."""

    outcome: api.Outcome
    value: bytes = b""
    used: float | None = None
    cost: float = 0.0
    load: tuple[float, ...] = ()


class ReplyReader:
    """Understands backends' replies; load reports are given in the order that the module knows."""

    def __init__(self, load_names: tuple[str, ...]) -> None:
        self._load = [LOAD_WORDS.get(name, name).encode() for name in load_names]
        self._wire = [name.encode() for name in load_names]

    def reply(self, message: Any) -> Reply:
        if isinstance(message, list) and message and isinstance(message[0], bytes):
            reply = Reply(api.Outcome.OK, message[0])
            for part in message[1:]:
                if isinstance(part, bytes):
                    self._note(reply, part)
            return reply
        if isinstance(message, hiredis.ReplyError):
            kind, *notes = str(message).split(" ")
            reply = Reply(api.Outcome.FULL if kind == "BUSY" else api.Outcome.ERROR)
            for note in notes:
                self._note(reply, note.encode())
            return reply
        return Reply(api.Outcome.ERROR)  # nothing that a backend says of a request it served

    def _note(self, reply: Reply, text: bytes) -> None:
        """Figures on use, or a load report; what cannot be read is passed over."""
        try:
            fields = {name: float(figure) for name, figure in (f.split(b"=", 1) for f in text.split(b","))}
        except ValueError:
            return
        if b"used" in fields:
            reply.used = fields[b"used"] / 100.0
        reply.cost = fields.get(b"cost", reply.cost)
        load = [fields.get(name, fields.get(wire)) for name, wire in zip(self._load, self._wire, strict=True)]
        if load and None not in load:
            reply.load = tuple(figure for figure in load if figure is not None)
