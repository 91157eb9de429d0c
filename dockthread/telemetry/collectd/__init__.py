"""Collectd's binary network protocol, both ways: packets of parts, signed or encrypted.

Sources: collectd's wiki, "Binary protocol", and its types.db. A packet is a sequence of parts. A
part has a type (u16), a length (u16, which counts these four bytes too) and a payload. All numbers
are big-endian but gauges, which are little-endian doubles. Strings end with NUL. Times are in
2^-30 s. Each packet can be read by itself, because each begins with host and time.
"""

from dockthread.telemetry.collectd.packet_decoder import CollectdItem, Opener
from dockthread.telemetry.collectd.packet_encoder import PacketEncoder, SeriesName, series_name
from dockthread.telemetry.collectd.parts import MAX_PACKET_BYTES, PacketError, Severity
from dockthread.telemetry.collectd.security import PacketSealer, packet_sealer

__all__ = [
    "MAX_PACKET_BYTES",
    "CollectdItem",
    "Opener",
    "PacketEncoder",
    "PacketError",
    "PacketSealer",
    "SeriesName",
    "Severity",
    "packet_sealer",
    "series_name",
]
