"""Replies to clients, and what the replies of backends mean."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

import hiredis

from dockthread.net.resp.limits import MAX_VALUE_BYTES
from dockthread.policy import Outcome

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
BUSY = b"-BUSY\r\n"
NOT_READY = b"-LOADING not ready to serve\r\n"
FAILED = b"-ERR failed\r\n"
PROTOCOL_ERROR = b"-ERR Protocol error\r\n"
COMMAND_TIMEOUT = b"-ERR Protocol error: half a command\r\n"
TOO_MANY_COMMANDS = b"-ERR too many commands at once\r\n"

MIN_RETRY_AFTER_MS = 0.5  # less rounds to 0, which is sent as no advice
MAX_LOAD_FIGURE = 1e6  # of a field of a load report, or of the utilization in percent

# Backends and the settings (in the simulator's terms) name the fields of a load report differently.
FIELD_BY_SETTING = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


def encode_busy(retry_after_ms: float) -> bytes:
    """Return a rejection that advises when to retry; 0 for no advice."""
    if retry_after_ms >= MIN_RETRY_AFTER_MS:
        return b"-BUSY %d\r\n" % round(retry_after_ms)
    return BUSY


def encode_error(text: str) -> bytes:
    """Return an error line."""
    return b"-ERR %b\r\n" % text.encode()


def encode_value(value: bytes) -> bytes:
    """Return the reply that carries a value to the client."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


@dataclass(slots=True)
class BackendReply:
    """The reply of a backend to one attempt, or the outcome of an attempt without a reply."""

    outcome: Outcome
    value: bytes = b""
    utilization: float | None = None  # 1.0 for full
    cost: float = 0.0
    load_report: tuple[float, ...] = ()  # in the order of the policy's fields; empty for none
    is_well_formed: bool = True  # valid by the protocol: the connection may be used again


class ReplyParser:
    """Interprets the replies of backends.

    Load reports are returned in the order of `load_report_fields`, named as in the settings.
    """

    def __init__(self, load_report_fields: tuple[str, ...]) -> None:
        self._field_names = [
            (FIELD_BY_SETTING.get(setting, setting).encode(), setting.encode())
            for setting in load_report_fields
        ]

    def parse(self, message: object) -> BackendReply:
        """Interpret a complete reply, as the hiredis parser returned it."""
        if isinstance(message, list) and len(message) == 3 and type(message[0]) is bytes:
            value, usage, load_report = message
            if len(value) <= MAX_VALUE_BYTES and all(
                note is None or type(note) is bytes for note in (usage, load_report)
            ):
                reply = BackendReply(Outcome.OK, value)
                for note in (usage, load_report):
                    if note:
                        self._apply_note(reply, note)
                return reply
        if isinstance(message, hiredis.ReplyError):
            return self._parse_error(str(message))
        # A backend that served the request replies in neither form.
        return BackendReply(Outcome.ERROR, is_well_formed=False)

    def _parse_error(self, text: str) -> BackendReply:
        kind, *notes = text.split(" ")
        reply = BackendReply(Outcome.AT_CAPACITY if kind == "BUSY" else Outcome.ERROR)
        reply.is_well_formed = kind == "BUSY" or (kind == "ERR" and notes[:1] == ["failed"])
        for note in notes:
            self._apply_note(reply, note.encode())
        return reply

    def _apply_note(self, reply: BackendReply, note: bytes) -> None:
        """Copy the figures of a note on usage or load into `reply`.

        A note with a figure that cannot be read or cannot be true is ignored: a single nan would
        stay in each smoothed figure for good.
        """
        try:
            fields = {
                name: float(figure)
                for name, figure in (field.split(b"=", 1) for field in note.split(b","))
            }
        except ValueError:
            return
        if not all(
            isfinite(figure) and 0 <= figure < MAX_LOAD_FIGURE for figure in fields.values()
        ):
            return
        if b"used" in fields:
            reply.utilization = fields[b"used"] / 100.0
        reply.cost = fields.get(b"cost", reply.cost)
        load_report = [
            fields.get(wire_name, fields.get(setting)) for wire_name, setting in self._field_names
        ]
        if load_report and None not in load_report:
            reply.load_report = tuple(figure for figure in load_report if figure is not None)
