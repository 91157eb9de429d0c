"""Decode packets and enforce a security level, as collectd's network plugin does."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from dockthread.telemetry.catalogue import DERIVE, GAUGE
from dockthread.telemetry.collectd import security
from dockthread.telemetry.collectd.parts import (
    NUMBER_BYTES,
    PART_HEADER,
    TIME_UNITS_PER_SECOND,
    VALUE_BYTES,
    VALUE_COUNT_BYTES,
    VALUE_KIND_BYTES,
    PacketError,
    PartType,
    ValueKind,
)


@dataclass(frozen=True, slots=True)
class CollectdItem:
    """One value or one notification, with its identifier.

    Attributes:
        unix_seconds: The time of the value or notification in Unix seconds.
        interval: Seconds between two values of the series.
        kind: The kind of a value, such as `gauge` or `derive`; empty for a notification.
        message: The text of a notification; empty for a value.
        severity: The severity of a notification.
    """

    host: str = ""
    plugin: str = ""
    plugin_instance: str = ""
    type: str = ""
    type_instance: str = ""
    unix_seconds: float = 0.0
    interval: float = 0.0
    kind: str = ""
    value: float = 0.0
    message: str = ""
    severity: int = 0

    @property
    def name(self) -> str:
        """The identifier without its host: `plugin-instance/type-instance`."""
        plugin = f"{self.plugin}-{self.plugin_instance}" if self.plugin_instance else self.plugin
        type_name = f"{self.type}-{self.type_instance}" if self.type_instance else self.type
        return f"{plugin}/{type_name}"


@dataclass(slots=True)
class PacketDecoder:
    """Decodes packets, and rejects those below the required security level.

    Attributes:
        security: The required security level: `none`, `sign` or `encrypt`.
        passwords: The password of each user.
    """

    security: str = "none"
    passwords: dict[str, bytes] = field(default_factory=dict)

    def decode_packet(self, packet: bytes) -> list[CollectdItem]:
        """Return all values and notifications of a packet.

        Raises:
            PacketError: if any part of the packet is invalid or not protected as required.
        """
        return list(_decode(self._remove_protection(packet)))

    def _remove_protection(self, packet: bytes) -> bytes:
        part_type = None
        if len(packet) >= PART_HEADER.size:
            part_type = PART_HEADER.unpack_from(packet)[0]
        if part_type == PartType.ENCRYPTION:
            return security.decrypt(packet, self.passwords)
        if self.security == "encrypt":
            raise PacketError("not encrypted")
        if part_type == PartType.SIGNATURE:
            return security.verify(packet, self.passwords, is_required=self.security != "none")
        if self.security == "sign":
            raise PacketError("not signed")
        return packet


def _decode(packet: bytes) -> Iterator[CollectdItem]:
    # Identifiers, times and severities apply to all values and messages that follow them.
    current = CollectdItem()
    for part_type, payload in _split_parts(packet):
        if part_type == PartType.MESSAGE:
            yield replace(current, message=_decode_string(payload))
        elif part_type == PartType.VALUES:
            for kind, value in _decode_values(payload):
                yield replace(current, kind=kind, value=value)
        else:
            current = _apply_part(current, part_type, payload)


def _split_parts(packet: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the type and the payload of each part."""
    start = 0
    while start < len(packet):
        if start + PART_HEADER.size > len(packet):
            raise PacketError("a part that is cut short")
        part_type, length = PART_HEADER.unpack_from(packet, start)
        if length < PART_HEADER.size or start + length > len(packet):
            raise PacketError("a part that is cut short")
        yield part_type, packet[start + PART_HEADER.size : start + length]
        start += length


def _apply_part(  # noqa: C901, PLR0911 - one case for each type of part
    current: CollectdItem, part_type: int, payload: bytes
) -> CollectdItem:
    """Return the item with the field of a part replaced; parts of unknown types are ignored."""
    match part_type:
        case PartType.HOST:
            return replace(current, host=_decode_string(payload))
        case PartType.PLUGIN:
            return replace(current, plugin=_decode_string(payload))
        case PartType.PLUGIN_INSTANCE:
            return replace(current, plugin_instance=_decode_string(payload))
        case PartType.TYPE:
            return replace(current, type=_decode_string(payload))
        case PartType.TYPE_INSTANCE:
            return replace(current, type_instance=_decode_string(payload))
        case PartType.TIME:
            return replace(current, unix_seconds=float(_decode_number(payload)))
        case PartType.TIME_HIGH_RESOLUTION:
            return replace(current, unix_seconds=_decode_number(payload) / TIME_UNITS_PER_SECOND)
        case PartType.INTERVAL:
            return replace(current, interval=float(_decode_number(payload)))
        case PartType.INTERVAL_HIGH_RESOLUTION:
            return replace(current, interval=_decode_number(payload) / TIME_UNITS_PER_SECOND)
        case PartType.SEVERITY:
            return replace(current, severity=_decode_number(payload))
        case _:
            return current


def _decode_string(payload: bytes) -> str:
    if payload[-1:] != b"\0":
        raise PacketError("a string without its end")
    return payload[:-1].decode("utf-8", "replace")


def _decode_number(payload: bytes) -> int:
    if len(payload) != NUMBER_BYTES:
        raise PacketError("a number of a wrong size")
    return int.from_bytes(payload, "big")


def _decode_values(payload: bytes) -> Iterator[tuple[str, float]]:
    """Yield the kind and the number of each value.

    The payload consists of a count, the codes of all kinds, and all numbers, in this order.
    """
    count = int.from_bytes(payload[:VALUE_COUNT_BYTES], "big")
    if len(payload) != VALUE_COUNT_BYTES + (VALUE_KIND_BYTES + VALUE_BYTES) * count:
        raise PacketError("values of a wrong size")
    values_start = VALUE_COUNT_BYTES + VALUE_KIND_BYTES * count
    for index in range(count):
        start = values_start + VALUE_BYTES * index
        yield _decode_value(payload[VALUE_COUNT_BYTES + index], payload[start:][:VALUE_BYTES])


def _decode_value(kind: int, data: bytes) -> tuple[str, float]:
    match kind:
        case ValueKind.GAUGE:
            return GAUGE, struct.unpack("<d", data)[0]
        case ValueKind.DERIVE:
            return DERIVE, int.from_bytes(data, "big", signed=True)
        case ValueKind.COUNTER:
            return "counter", int.from_bytes(data, "big")
        case ValueKind.ABSOLUTE:
            return "absolute", int.from_bytes(data, "big")
        case _:
            raise PacketError("a value of an unknown kind")
