"""Collectd's plain text protocol, as its unixsock plugin speaks it: PUTVAL and PUTNOTIF.

Source: collectd-unixsock(5). Each command is a line, and is answered by `STATUS TEXT`, where a
status below 0 is an error and any other the number of lines that follow.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass

from dockthread.telemetry.catalogue import Point
from dockthread.telemetry.collectd import Told, name_of
from dockthread.telemetry.graphite import figure

STATUS = re.compile(rb"(-?[0-9]{1,9}) [^\n]*\n")
SEVERITIES = {1: "failure", 2: "warning", 4: "okay"}
MOST_LINE = 64 * 1024


def identifier(host: str, plugin: str, point: Point) -> str:
    first, rest = name_of(point.path)
    return f"{host}/{plugin}{'-' + first if first else ''}/{point.kind}-{rest}"


def putval(host: str, plugin: str, point: Point, seconds: float, interval: float) -> bytes:
    name = identifier(host, plugin, point)
    return f'PUTVAL "{name}" interval={interval:g} {seconds:.3f}:{figure(point.value)}\n'.encode()


def putnotif(host: str, plugin: str, text: str, severity: int, seconds: float) -> bytes:
    words = f"severity={SEVERITIES[severity]} time={seconds:.3f} host={host} plugin={plugin}"
    return f'PUTNOTIF message="{text}" {words}\n'.encode()


@dataclass(slots=True)
class Answers:
    """Counts the answers in what a collectd says; `refused` are those below 0."""

    rest: bytes = b""
    seen: int = 0
    refused: int = 0

    def feed(self, data: bytes) -> None:
        """Raises ValueError for what is no answer."""
        self.rest += data
        while (end := self.rest.find(b"\n")) >= 0:
            line, self.rest = self.rest[: end + 1], self.rest[end + 1 :]
            if (found := STATUS.fullmatch(line)) is None:
                raise ValueError("not an answer of collectd's")
            self.seen += 1
            self.refused += int(found[1]) < 0
        if len(self.rest) > MOST_LINE:
            raise ValueError("a line does not end")


def parse(line: str) -> list[Told]:
    """What one command tells. Raises ValueError with a text fit for the answer."""
    words = shlex.split(line)
    verb = words[0].upper() if words else ""
    if verb == "PUTNOTIF":
        pairs = dict(word.split("=", 1) for word in words[1:])
        severity = {name: n for n, name in SEVERITIES.items()}.get(pairs.get("severity", ""), 0)
        if not severity or "message" not in pairs:
            raise ValueError("a notification needs a severity and a message")
        time = float(pairs.get("time", "0"))
        return [
            Told(
                host=pairs.get("host", ""),
                plugin=pairs.get("plugin", ""),
                seconds=time,
                message=pairs["message"],
                severity=severity,
            )
        ]
    if verb != "PUTVAL":
        raise ValueError(f"Unknown command: {verb[:32]}")
    if len(words) < 3 or words[1].count("/") != 2:
        raise ValueError("Cannot parse identifier")
    host, plugin, kind = words[1].split("/")
    plugin, _, instance = plugin.partition("-")
    kind, _, rest = kind.partition("-")
    found, interval = [], 10.0
    for word in words[2:]:
        if "=" in word:
            key, _, text = word.partition("=")
            interval = float(text) if key == "interval" else interval
            continue
        moment, _, value = word.partition(":")
        if not value:
            raise ValueError("No values")
        found.append(
            Told(host, plugin, instance, kind, rest, float(moment), interval, kind, float(value))
        )
    return found
