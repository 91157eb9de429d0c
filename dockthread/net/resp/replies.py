"""Encodes replies to clients, and interprets the replies of backends."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

import hiredis

from dockthread.net.resp.limits import MAX_WHOLE_VALUE_BYTES
from dockthread.policy import Outcome

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
BUSY = b"-BUSY\r\n"
NOT_READY = b"-LOADING not ready to serve\r\n"
FAILED = b"-ERR failed\r\n"
PROTOCOL_ERROR = b"-ERR Protocol error\r\n"
COMMAND_TIMEOUT = b"-ERR Protocol error: half a command\r\n"
TOO_MANY_COMMANDS = b"-ERR too many commands at once\r\n"

MIN_RETRY_AFTER_MS = 0.5  # Smaller values round to 0, and the reply then has no retry delay.
MAX_REPORTED_NUMBER = 1e6  # Upper bound (exclusive) of each number in a usage or load report.

# Maps field names of load reports in the settings (as in the simulator) to the names that backends
# send.
FIELD_BY_SETTING = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}


def encode_busy(retry_after_ms: float) -> bytes:
    """Return a rejection with the delay after which to retry; 0 sends no delay."""
    if retry_after_ms >= MIN_RETRY_AFTER_MS:
        return b"-BUSY %d\r\n" % round(retry_after_ms)
    return BUSY


def encode_error(text: str) -> bytes:
    """Return an error reply."""
    return b"-ERR %b\r\n" % text.encode()


def encode_value(value: bytes) -> bytes:
    """Return the reply that carries a value to the client."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


@dataclass(slots=True)
class BackendReply:
    """The reply of a backend to one attempt, or the outcome of an attempt without a reply."""

    outcome: Outcome
    value: bytes = b""
    utilization: float | None = None  # 1.0 means fully utilized
    cost: float = 0.0
    load_report: tuple[float, ...] = ()  # in the order of the settings' fields; empty for none
    is_well_formed: bool = True  # it follows the protocol, so the connection may be reused


class ReplyParser:
    """Interprets the replies of backends.

    `load_report_fields` names the fields of a load report as in the settings. The numbers of a
    parsed report are returned in this order.
    """

    def __init__(self, load_report_fields: tuple[str, ...]) -> None:
        self._field_names = [
            (FIELD_BY_SETTING.get(setting, setting).encode(), setting.encode())
            for setting in load_report_fields
        ]

    def parse(self, message: object) -> BackendReply:
        """Interpret a complete reply, as returned by the hiredis parser."""
        if isinstance(message, list) and len(message) == 3 and type(message[0]) is bytes:
            value, usage, load_report = message
            if len(value) <= MAX_WHOLE_VALUE_BYTES and all(
                report is None or type(report) is bytes for report in (usage, load_report)
            ):
                reply = BackendReply(Outcome.OK, value)
                for report in (usage, load_report):
                    if report:
                        self._apply_report(reply, report)
                return reply
        if isinstance(message, hiredis.ReplyError):
            return self._parse_error(str(message))
        # No valid reply has any other form.
        return BackendReply(Outcome.ERROR, is_well_formed=False)

    def _parse_error(self, text: str) -> BackendReply:
        kind, *details = text.split(" ")
        reply = BackendReply(Outcome.AT_CAPACITY if kind == "BUSY" else Outcome.ERROR)
        reply.is_well_formed = kind == "BUSY" or (kind == "ERR" and details[:1] == ["failed"])
        for detail in details:
            self._apply_report(reply, detail.encode())
        return reply

    def _apply_report(self, reply: BackendReply, report: bytes) -> None:
        """Copy the numbers of a usage or load report into `reply`.

        A report with an invalid or implausible number is ignored: a single NaN would remain in
        every moving average permanently.
        """
        try:
            fields = {
                name: float(number)
                for name, number in (field.split(b"=", 1) for field in report.split(b","))
            }
        except ValueError:
            return
        if not all(
            isfinite(number) and 0 <= number < MAX_REPORTED_NUMBER for number in fields.values()
        ):
            return
        if b"used" in fields:
            reply.utilization = fields[b"used"] / 100.0
        reply.cost = fields.get(b"cost", reply.cost)
        load_report = [
            fields.get(wire_name, fields.get(setting)) for wire_name, setting in self._field_names
        ]
        if load_report and None not in load_report:
            reply.load_report = tuple(number for number in load_report if number is not None)
