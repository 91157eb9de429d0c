"""Encode and parse the commands PUTVAL and PUTNOTIF of collectd's unixsock plugin.

Source: collectd-unixsock(5). Each command is a line. The reply is a line `STATUS TEXT`. A negative
status is an error; any other status is the number of lines that follow.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass

from dockthread.telemetry.catalogue import Point
from dockthread.telemetry.collectd import CollectdItem, Severity, series_name

REPLY_PATTERN = re.compile(rb"(-?[0-9]{1,9}) [^\n]*\n")
SEVERITY_NAMES = {
    Severity.FAILURE: "failure",
    Severity.WARNING: "warning",
    Severity.OKAY: "okay",
}
SEVERITIES_BY_NAME = {name: severity for severity, name in SEVERITY_NAMES.items()}
# Maximum number of bytes in a line, which is a command or a reply.
MAX_LINE_BYTES = 64 * 1024
# Interval in seconds of a value whose command does not give one: collectd's default.
DEFAULT_INTERVAL_SECONDS = 10.0
# Maximum number of characters of an unknown command that the reply quotes.
MAX_QUOTED_COMMAND_LENGTH = 32
# A PUTVAL has at least three words: the command, an identifier and a value.
MIN_PUTVAL_WORDS = 3


def _identifier(host: str, plugin: str, point: Point) -> str:
    name = series_name(point.path)
    plugin_name = f"{plugin}-{name.plugin_instance}" if name.plugin_instance else plugin
    return f"{host}/{plugin_name}/{point.kind}-{name.type_instance}"


def encode_putval(
    host: str, plugin: str, point: Point, unix_seconds: float, interval_seconds: float
) -> bytes:
    """Return the PUTVAL command for a point with a timestamp in Unix seconds."""
    identifier = _identifier(host, plugin, point)
    value = f"{unix_seconds:.3f}:{point.value_text}"
    return f'PUTVAL "{identifier}" interval={interval_seconds:g} {value}\n'.encode()


def encode_putnotif(host: str, plugin: str, text: str, severity: int, unix_seconds: float) -> bytes:
    """Return the PUTNOTIF command for a notification with a timestamp in Unix seconds."""
    severity_name = SEVERITY_NAMES[Severity(severity)]
    options = f"severity={severity_name} time={unix_seconds:.3f} host={host} plugin={plugin}"
    return f'PUTNOTIF message="{text}" {options}\n'.encode()


@dataclass(slots=True)
class ReplyCounter:
    """Counts the replies in a stream of bytes from collectd.

    Attributes:
        incomplete: The received part of a reply that is not complete yet.
        received: Number of replies received.
        rejected: Number of those replies that are errors.
    """

    incomplete: bytes = b""
    received: int = 0
    rejected: int = 0

    def feed(self, data: bytes) -> None:
        """Count the replies that are completed by the next bytes.

        Raises:
            ValueError: if a line is not a valid reply or is too long.
        """
        self.incomplete += data
        while (end := self.incomplete.find(b"\n")) >= 0:
            line = self.incomplete[: end + 1]
            self.incomplete = self.incomplete[end + 1 :]
            reply = REPLY_PATTERN.fullmatch(line)
            if reply is None:
                raise ValueError("invalid reply from collectd")
            self.received += 1
            self.rejected += int(reply[1]) < 0
        if len(self.incomplete) > MAX_LINE_BYTES:
            raise ValueError("a reply line exceeds the maximum length")


def parse_command(line: str) -> list[CollectdItem]:
    """Return the values or the notification of one command.

    Raises:
        ValueError: if the command is invalid; the error text can be sent as the reply.
    """
    words = shlex.split(line)
    command = words[0].upper() if words else ""
    if command == "PUTNOTIF":
        return [_parse_putnotif(words[1:])]
    if command == "PUTVAL":
        return _parse_putval(words)
    raise ValueError(f"Unknown command: {command[:MAX_QUOTED_COMMAND_LENGTH]}")


def _parse_putnotif(words: list[str]) -> CollectdItem:
    options = dict(word.split("=", 1) for word in words)
    severity = SEVERITIES_BY_NAME.get(options.get("severity", ""))
    if severity is None or "message" not in options:
        raise ValueError("a notification needs a severity and a message")
    return CollectdItem(
        host=options.get("host", ""),
        plugin=options.get("plugin", ""),
        unix_seconds=float(options.get("time", "0")),
        message=options["message"],
        severity=severity,
    )


def _parse_putval(words: list[str]) -> list[CollectdItem]:
    if len(words) < MIN_PUTVAL_WORDS or words[1].count("/") != 2:
        raise ValueError("Cannot parse identifier")
    host, plugin_name, type_name = words[1].split("/")
    plugin, _, plugin_instance = plugin_name.partition("-")
    type_, _, type_instance = type_name.partition("-")
    interval = DEFAULT_INTERVAL_SECONDS
    items = []
    for word in words[2:]:
        if "=" in word:
            key, _, text = word.partition("=")
            interval = float(text) if key == "interval" else interval
            continue
        unix_seconds, _, value = word.partition(":")
        if not value:
            raise ValueError("No values")
        item = CollectdItem(
            host=host,
            plugin=plugin,
            plugin_instance=plugin_instance,
            type=type_,
            type_instance=type_instance,
            unix_seconds=float(unix_seconds),
            interval=interval,
            kind=type_,
            value=float(value),
        )
        items.append(item)
    return items
