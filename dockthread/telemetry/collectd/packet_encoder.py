"""Encode points and notifications as packets."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterator
from typing import NamedTuple

from dockthread.telemetry.catalogue import GAUGE, Point
from dockthread.telemetry.collectd.parts import (
    NUMBER_PART,
    PART_HEADER,
    TIME_UNITS_PER_SECOND,
    PartType,
    ValueKind,
)
from dockthread.telemetry.collectd.security import PacketSealer

# Maximum number of characters in a type instance: the limit of collectd before version 5.5 and of
# many programs that read its data.
MAX_TYPE_INSTANCE_LENGTH = 63
# Bytes of the hash, written in hexadecimal, that is appended to a shortened name.
NAME_HASH_BYTES = 4
# Characters of the appended hash, including the dash before it.
NAME_SUFFIX_LENGTH = 1 + 2 * NAME_HASH_BYTES
# Maximum number of bytes in a string; collectd's limit of 128 includes the NUL.
MAX_STRING_BYTES = 127
# The fields that precede a single value: part type, length, number of values and kind of value.
SINGLE_VALUE_HEADER = struct.Struct("!HHHB")
# Size in bytes of a part with a single value.
SINGLE_VALUE_BYTES = SINGLE_VALUE_HEADER.size + 8


class SeriesName(NamedTuple):
    """The two components of collectd's identifier that are made from the path of a point."""

    plugin_instance: str
    type_instance: str


def series_name(path: tuple[str, ...]) -> SeriesName:
    """Return the name of the series for a path.

    A type instance that is too long is shortened and a hash is appended, so that different paths
    have different names.
    """
    if len(path) > 1:
        plugin_instance = path[0]
        type_instance = ".".join(path[1:])
    else:
        plugin_instance = ""
        type_instance = path[0]
    if len(type_instance) > MAX_TYPE_INSTANCE_LENGTH:
        digest = hashlib.blake2s(type_instance.encode(), digest_size=NAME_HASH_BYTES).hexdigest()
        type_instance = f"{type_instance[: MAX_TYPE_INSTANCE_LENGTH - NAME_SUFFIX_LENGTH]}-{digest}"
    return SeriesName(plugin_instance, type_instance)


class PacketEncoder:
    """Encodes the reports and notifications of one host."""

    def __init__(
        self, host: str, plugin: str, interval_seconds: float, sealer: PacketSealer
    ) -> None:
        self._host = host
        self._plugin = plugin
        self._interval_seconds = interval_seconds
        self._sealer = sealer

    def packets(self, points: list[Point], unix_seconds: float) -> Iterator[bytes]:
        """Yield packets that contain all points, with a timestamp in Unix seconds."""
        header = self._report_header(unix_seconds)
        packet = bytearray(header)
        plugin_instance = ""
        kind = ""
        for point in points:
            name = series_name(point.path)
            value = _string_part(PartType.TYPE_INSTANCE, name.type_instance) + _value_part(point)
            # The plugin instance and the type apply until they change, or until the packet ends.
            changed_parts = b""
            if name.plugin_instance != plugin_instance:
                changed_parts += _string_part(PartType.PLUGIN_INSTANCE, name.plugin_instance)
            if point.kind != kind:
                changed_parts += _string_part(PartType.TYPE, point.kind)
            if len(packet) + len(changed_parts) + len(value) > self._sealer.capacity:
                yield self._sealer.seal(bytes(packet))
                packet = bytearray(header)
                changed_parts = _string_part(PartType.PLUGIN_INSTANCE, name.plugin_instance)
                changed_parts += _string_part(PartType.TYPE, point.kind)
            packet += changed_parts + value
            plugin_instance = name.plugin_instance
            kind = point.kind
        if len(packet) > len(header):
            yield self._sealer.seal(bytes(packet))

    def _report_header(self, unix_seconds: float) -> bytes:
        return (
            _string_part(PartType.HOST, self._host)
            + _time_part(PartType.TIME_HIGH_RESOLUTION, unix_seconds)
            + _time_part(PartType.INTERVAL_HIGH_RESOLUTION, self._interval_seconds)
            + _string_part(PartType.PLUGIN, self._plugin)
        )

    def notification(self, text: str, severity: int, unix_seconds: float) -> bytes:
        """Return the packet for a notification with a timestamp in Unix seconds."""
        return self._sealer.seal(
            _time_part(PartType.TIME_HIGH_RESOLUTION, unix_seconds)
            + _number_part(PartType.SEVERITY, severity)
            + _string_part(PartType.HOST, self._host)
            + _string_part(PartType.PLUGIN, self._plugin)
            + _string_part(PartType.MESSAGE, text)
        )


def _string_part(part_type: int, text: str) -> bytes:
    payload = text.encode()[:MAX_STRING_BYTES] + b"\0"
    return PART_HEADER.pack(part_type, PART_HEADER.size + len(payload)) + payload


def _number_part(part_type: int, number: int) -> bytes:
    return NUMBER_PART.pack(part_type, NUMBER_PART.size, number)


def _time_part(part_type: int, unix_seconds: float) -> bytes:
    return _number_part(part_type, round(unix_seconds * TIME_UNITS_PER_SECOND))


def _value_part(point: Point) -> bytes:
    if point.kind == GAUGE:
        kind = ValueKind.GAUGE
        value = struct.pack("<d", point.value)
    else:
        kind = ValueKind.DERIVE
        value = struct.pack("!q", int(point.value))
    return SINGLE_VALUE_HEADER.pack(PartType.VALUES, SINGLE_VALUE_BYTES, 1, kind) + value
