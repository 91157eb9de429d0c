"""The parts of a packet: their types and their sizes, for writing and reading."""

from __future__ import annotations

import struct
from enum import IntEnum

from dockthread.errors import DockthreadError

# Bytes of the longest packet; collectd's default.
MAX_PACKET_BYTES = 1452
# Units of times and intervals in a second.
TIME_UNITS_PER_SECOND = 1 << 30

# Type and length, which begin each part.
PART_HEADER = struct.Struct("!HH")
# A part with a number.
NUMBER_PART = struct.Struct("!HHQ")
# Bytes of the payload of such a part.
NUMBER_BYTES = 8
# Bytes of a value, and of the code of its kind; a part of values has the codes first.
VALUE_BYTES = 8
VALUE_KIND_BYTES = 1
# Bytes of the number of values, which begins the payload of a part of values.
VALUE_COUNT_BYTES = 2

# Bytes of a signature: HMAC-SHA-256.
SIGNATURE_BYTES = 32
# Bytes of the checksum in the encrypted part: SHA-1.
CHECKSUM_BYTES = 20
# Bytes of the initialization vector of AES in OFB mode.
IV_BYTES = 16
# Type, length and the length of the user's name, which begin the encrypted part.
ENCRYPTION_HEADER = struct.Struct("!HHH")


class PartType:
    """The types of parts that are read or written; others are skipped.

    They are plain integers and not an enum, because an encoder looks up several of them for each
    point on the event loop, and an enum's members cost several times as much.
    """

    HOST = 0x0000
    TIME = 0x0001
    PLUGIN = 0x0002
    PLUGIN_INSTANCE = 0x0003
    TYPE = 0x0004
    TYPE_INSTANCE = 0x0005
    VALUES = 0x0006
    INTERVAL = 0x0007
    TIME_HIGH_RESOLUTION = 0x0008
    INTERVAL_HIGH_RESOLUTION = 0x0009
    MESSAGE = 0x0100
    SEVERITY = 0x0101
    SIGNATURE = 0x0200
    ENCRYPTION = 0x0210


class ValueKind:
    """The codes of the kinds of values; plain integers, like `PartType`."""

    COUNTER = 0
    GAUGE = 1
    DERIVE = 2
    ABSOLUTE = 3


class Severity(IntEnum):
    """The severities of notifications."""

    FAILURE = 1
    WARNING = 2
    OKAY = 4


class PacketError(DockthreadError):
    """Bytes that are not a valid packet, or are not signed or encrypted as required."""
