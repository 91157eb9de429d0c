"""The types and sizes of a packet's parts, used by the encoder and the decoder."""

from __future__ import annotations

import struct
from enum import IntEnum

from dockthread.errors import DockthreadError

# Maximum size of a packet in bytes: collectd's default.
MAX_PACKET_BYTES = 1452
# Units per second of high-resolution times and intervals.
TIME_UNITS_PER_SECOND = 1 << 30

# The header of each part: its type and its length.
PART_HEADER = struct.Struct("!HH")
# A part whose payload is a number.
NUMBER_PART = struct.Struct("!HHQ")
# Payload size in bytes of a part with a number.
NUMBER_BYTES = 8
# Size in bytes of a value.
VALUE_BYTES = 8
# Size in bytes of the code for the kind of a value; all codes precede the values.
VALUE_KIND_BYTES = 1
# Size in bytes of the number of values, the first field in the payload of a part with values.
VALUE_COUNT_BYTES = 2

# Size in bytes of a signature: HMAC-SHA-256.
SIGNATURE_BYTES = 32
# Size in bytes of the checksum in an encrypted part: SHA-1.
CHECKSUM_BYTES = 20
# Size in bytes of the initialization vector of AES in OFB mode.
IV_BYTES = 16
# The header of an encrypted part: its type, its length and the length of the user name.
ENCRYPTION_HEADER = struct.Struct("!HHH")


class PartType:
    """The types of parts that are encoded or decoded; the decoder ignores other types.

    They are plain integers because the encoder looks up several of them for each point on the event
    loop, and looking up the members of an enum takes several times as long.
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
    """The codes for kinds of values; plain integers for the same reason as in `PartType`."""

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
    """Raised for a packet that is invalid, or is not signed or encrypted as required."""
