"""Encode and decode collectd's binary network protocol, with signed and encrypted packets.

Sources: collectd's wiki, "Binary protocol", and its types.db. A packet is a sequence of parts. A
part has a type (u16), a length (u16, which includes these four bytes) and a payload. All numbers
are big-endian except gauges, which are little-endian doubles. Strings end with NUL. High-resolution
times are in units of 2^-30 s. Each encoded packet can be decoded by itself, because it contains the
host and the time.
"""

from dockthread.telemetry.collectd.packet_decoder import CollectdItem, PacketDecoder
from dockthread.telemetry.collectd.packet_encoder import PacketEncoder, SeriesName, series_name
from dockthread.telemetry.collectd.parts import MAX_PACKET_BYTES, PacketError, Severity
from dockthread.telemetry.collectd.security import PacketSealer, packet_sealer

__all__ = [
    "MAX_PACKET_BYTES",
    "CollectdItem",
    "PacketDecoder",
    "PacketEncoder",
    "PacketError",
    "PacketSealer",
    "SeriesName",
    "Severity",
    "packet_sealer",
    "series_name",
]
