"""Collectd's binary network protocol, both ways: packets of parts, signed or encrypted.

Source: collectd's wiki, "Binary protocol", and types.db. A packet is a row of parts: type u16,
length u16 with its own four bytes, payload; all big-endian but gauges, which are little-endian
doubles. Strings end with NUL. Times are in 2^-30 s. A packet stands for itself: each begins with
host and time.

Signed: part 0x0200 holds HMAC-SHA-256 over user and all that follows, then the user. Encrypted:
part 0x0210 holds the user's length, the user and the IV in the clear, then by AES-256 in OFB mode,
with SHA-256 of the password as key, SHA-1 of the parts and the parts.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from dockthread.errors import DockthreadError
from dockthread.telemetry.catalogue import DERIVE, GAUGE, Point

PACKET = 1452  # bytes at most, collectd's default
HOST, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES = 0, 2, 3, 4, 5, 6
TIME_HR, INTERVAL_HR, MESSAGE, SEVERITY = 0x08, 0x09, 0x100, 0x101
TIME, INTERVAL = 0x01, 0x07
SIGNATURE, ENCRYPTION = 0x200, 0x210
COUNTER_KIND, GAUGE_KIND, DERIVE_KIND, ABSOLUTE_KIND = range(4)
FAILURE, WARNING, OKAY = 1, 2, 4
MOST_NAME = 63  # characters: the limit of collectd before version 5.5, and of many a reader
HEAD = struct.Struct("!HH")
NUMBER = struct.Struct("!HHQ")
HASH, SUM, IV = 32, 20, 16


class PacketError(DockthreadError):
    """Bytes that are no sound packet, or are not signed or encrypted as they should be."""


def _string(kind: int, text: str) -> bytes:
    data = text.encode()[:127]
    return HEAD.pack(kind, 5 + len(data)) + data + b"\0"


def _number(kind: int, value: int) -> bytes:
    return NUMBER.pack(kind, 12, value)


def _value(kind: str, value: float) -> bytes:
    if kind == GAUGE:
        return struct.pack("!HHHB", VALUES, 15, 1, GAUGE_KIND) + struct.pack("<d", value)
    return struct.pack("!HHHBq", VALUES, 15, 1, DERIVE_KIND, int(value))


def high(seconds: float) -> int:
    """A time or an interval in 2^-30 s."""
    return round(seconds * (1 << 30))


def name_of(path: tuple[str, ...]) -> tuple[str, str]:
    """Plugin instance and type instance of a path; a long one ends in a mark that keeps it
    apart.
    """
    first, rest = (path[0], ".".join(path[1:])) if len(path) > 1 else ("", path[0])
    if len(rest) > MOST_NAME:
        rest = (
            f"{rest[: MOST_NAME - 9]}-{hashlib.blake2s(rest.encode(), digest_size=4).hexdigest()}"
        )
    return first, rest


class Wording:
    """Words reports and notifications as sealed packets."""

    def __init__(
        self, host: str, plugin: str, interval: float, seal: Callable[[bytes], bytes], room: int
    ) -> None:
        """`interval` in seconds; `room`: bytes of a packet that `seal` leaves to parts."""
        self._host, self._plugin, self._interval = host, plugin, interval
        self._seal, self._room = seal, room

    def packets(self, points: list[Point], seconds: float) -> Iterator[bytes]:
        head = (
            _string(HOST, self._host)
            + _number(TIME_HR, high(seconds))
            + _number(INTERVAL_HR, high(self._interval))
            + _string(PLUGIN, self._plugin)
        )
        out, last, last_kind = bytearray(head), "", ""
        for point in points:
            first, rest = name_of(point.path)
            body = _string(TYPE_INSTANCE, rest) + _value(point.kind, point.value)
            change = (_string(PLUGIN_INSTANCE, first) if first != last else b"") + (
                _string(TYPE, point.kind) if point.kind != last_kind else b""
            )
            if len(out) + len(change) + len(body) > self._room:
                yield self._seal(bytes(out))
                out = bytearray(head)
                change = _string(PLUGIN_INSTANCE, first) + _string(TYPE, point.kind)
            out += change + body
            last, last_kind = first, point.kind
        if len(out) > len(head):
            yield self._seal(bytes(out))

    def notification(self, text: str, severity: int, seconds: float) -> bytes:
        parts = (
            _number(TIME_HR, high(seconds))
            + _number(SEVERITY, severity)
            + _string(HOST, self._host)
        )
        return self._seal(parts + _string(PLUGIN, self._plugin) + _string(MESSAGE, text))


def sealing(security: str, user: str, password: bytes) -> tuple[Callable[[bytes], bytes], int]:
    """How packets are sealed, and how many bytes of one that leaves. Encryption needs the
    `collectd` extra.
    """
    name = user.encode()
    if security == "sign":
        return lambda parts: signed(parts, name, password), PACKET - 4 - HASH - len(name)
    if security == "encrypt":
        cipher = _cipher()
        return lambda parts: encrypted(parts, name, password, cipher), PACKET - 6 - len(
            name
        ) - IV - SUM
    return lambda parts: parts, PACKET


def signed(parts: bytes, user: bytes, password: bytes) -> bytes:
    digest = hmac.new(password, user + parts, hashlib.sha256).digest()
    return HEAD.pack(SIGNATURE, 4 + HASH + len(user)) + digest + user + parts


def encrypted(parts: bytes, user: bytes, password: bytes, cipher: Callable[..., Any]) -> bytes:
    iv = os.urandom(IV)
    box = cipher(hashlib.sha256(password).digest(), iv).encryptor()
    hidden: bytes = box.update(hashlib.sha1(parts).digest() + parts) + box.finalize()
    length = 6 + len(user) + IV + len(hidden)
    return struct.pack("!HHH", ENCRYPTION, length, len(user)) + user + iv + hidden


def _cipher() -> Callable[..., Any]:
    """AES-256 in OFB mode by the `cryptography` package. Raises ImportError without the extra."""
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:  # older releases have it where it was
        from cryptography.hazmat.primitives.ciphers.modes import OFB

    return lambda key, iv: Cipher(algorithms.AES(key), OFB(iv))


@dataclass(slots=True)
class Told:
    """One value or notification that a packet tells. `seconds` is Unix time."""

    host: str = ""
    plugin: str = ""
    plugin_instance: str = ""
    type: str = ""
    type_instance: str = ""
    seconds: float = 0.0
    interval: float = 0.0
    kind: str = ""
    value: float = 0.0
    message: str = ""
    severity: int = 0

    @property
    def name(self) -> str:
        """`plugin-instance/type-instance`, as collectd's tools write an identifier behind its
        host.
        """
        plugin = f"{self.plugin}-{self.plugin_instance}" if self.plugin_instance else self.plugin
        return (
            f"{plugin}/{self.type}-{self.type_instance}"
            if self.type_instance
            else f"{plugin}/{self.type}"
        )


@dataclass(slots=True)
class Opener:
    """Decodes packets at one security level: what comes at a lower one is refused, as collectd
    does.
    """

    security: str = "none"
    passwords: dict[str, bytes] = field(default_factory=dict)

    def read(self, packet: bytes) -> list[Told]:
        """All that a packet tells. Raises PacketError, and then nothing of the packet counts."""
        return list(_tell(self._open(packet)))

    def _open(self, packet: bytes) -> bytes:
        kind = HEAD.unpack_from(packet)[0] if len(packet) >= 4 else -1
        if kind == ENCRYPTION:
            return self._decrypt(packet)
        if self.security == "encrypt":
            raise PacketError("not encrypted")
        if kind == SIGNATURE:
            return self._verify(packet)
        if self.security == "sign":
            raise PacketError("not signed")
        return packet

    def _password(self, user: bytes) -> bytes:
        password = self.passwords.get(user.decode("utf-8", "replace"))
        if password is None:
            raise PacketError("an unknown user")
        return password

    def _verify(self, packet: bytes) -> bytes:
        length = HEAD.unpack_from(packet)[1]
        if not 4 + HASH < length <= len(packet):
            raise PacketError("a signature that is cut short")
        digest, user, parts = packet[4 : 4 + HASH], packet[4 + HASH : length], packet[length:]
        if self.security == "none" and not self.passwords:
            return parts  # collectd takes a signed packet that it cannot check where it needs none
        expected = hmac.new(self._password(user), user + parts, hashlib.sha256).digest()
        if not hmac.compare_digest(digest, expected):
            raise PacketError("a wrong signature")
        return parts

    def _decrypt(self, packet: bytes) -> bytes:
        if len(packet) < 6:
            raise PacketError("an encrypted part that is cut short")
        _, length, size = struct.unpack_from("!HHH", packet)
        if length != len(packet) or 6 + size + IV + SUM > length:
            raise PacketError("an encrypted part that is cut short")
        user, iv, hidden = (
            packet[6 : 6 + size],
            packet[6 + size : 6 + size + IV],
            packet[6 + size + IV :],
        )
        box = _cipher()(hashlib.sha256(self._password(user)).digest(), iv).decryptor()
        clear: bytes = box.update(hidden) + box.finalize()
        if hashlib.sha1(clear[SUM:]).digest() != clear[:SUM]:
            raise PacketError("a wrong password, or spoilt bytes")
        return clear[SUM:]


STRINGS = {HOST: "host", PLUGIN: "plugin", PLUGIN_INSTANCE: "plugin_instance", TYPE: "type",
           TYPE_INSTANCE: "type_instance"}  # fmt: skip


def _tell(parts: bytes) -> Iterator[Told]:
    state: dict[str, Any] = {}
    at = 0
    while at < len(parts):
        if at + 4 > len(parts):
            raise PacketError("a part that is cut short")
        kind, length = HEAD.unpack_from(parts, at)
        payload = parts[at + 4 : at + length]
        if length < 4 or at + length > len(parts):
            raise PacketError("a part that is cut short")
        at += length
        if kind in STRINGS or kind == MESSAGE:
            if payload[-1:] != b"\0":
                raise PacketError("a string without its end")
            text = payload[:-1].decode("utf-8", "replace")
            if kind == MESSAGE:
                yield Told(**state, message=text)
            else:
                state[STRINGS[kind]] = text
        elif kind in (TIME, TIME_HR, INTERVAL, INTERVAL_HR, SEVERITY):
            if len(payload) != 8:
                raise PacketError("a number of a wrong size")
            number = int.from_bytes(payload, "big")
            if kind == SEVERITY:
                state["severity"] = number
            else:
                word = "seconds" if kind in (TIME, TIME_HR) else "interval"
                state[word] = (
                    number / (1 << 30) if kind in (TIME_HR, INTERVAL_HR) else float(number)
                )
        elif kind == VALUES:
            for name, value in _values(payload):
                yield Told(**state, kind=name, value=value)


def _values(payload: bytes) -> Iterator[tuple[str, float]]:
    many = int.from_bytes(payload[:2], "big")
    if len(payload) != 2 + 9 * many:
        raise PacketError("values of a wrong size")
    for n in range(many):
        data, kind = payload[2 + many + 8 * n :][:8], payload[2 + n]
        if kind == GAUGE_KIND:
            yield GAUGE, struct.unpack("<d", data)[0]
        elif kind in (COUNTER_KIND, DERIVE_KIND, ABSOLUTE_KIND):
            name = {COUNTER_KIND: "counter", DERIVE_KIND: DERIVE, ABSOLUTE_KIND: "absolute"}[kind]
            yield name, int.from_bytes(data, "big", signed=kind == DERIVE_KIND)
        else:
            raise PacketError("a value of an unknown kind")
