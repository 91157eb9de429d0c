"""Encoders of points and notifications, one for each kind of receiver.

Each call encodes a slice of a report, so that a long report does not block the event loop.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from dockthread.errors import SettingsError
from dockthread.telemetry import collectd, graphite, putval
from dockthread.telemetry.catalogue import Point, path_part
from dockthread.telemetry.options import CollectdOptions, GraphiteOptions
from dockthread.telemetry.timestamps import Timestamp

ReceiverOptions = GraphiteOptions | CollectdOptions


class ReportEncoder(Protocol):
    """Encodes points and notifications for one receiver.

    Attributes:
        supports_notifications: Whether the receiver accepts notifications.
    """

    supports_notifications: bool

    def encode(self, points: Sequence[Point], timestamp: Timestamp) -> Iterator[bytes]:
        """Encode a slice of a report, and yield it in chunks."""

    def encode_notification(self, text: str, severity: int, unix_seconds: float) -> bytes:
        """Encode a notification with a timestamp in Unix seconds."""


class GraphiteEncoder:
    """Encodes points for Graphite, which does not support notifications."""

    supports_notifications = False

    def __init__(self, options: GraphiteOptions, ingress: str) -> None:
        self._options = options
        self._ingress = path_part(ingress)
        is_pickle = options.protocol == "pickle"
        self._encode_points = graphite.encode_pickles if is_pickle else graphite.encode_plaintext

    def encode(self, points: Sequence[Point], timestamp: Timestamp) -> Iterator[bytes]:
        """Yield one chunk with all points, using the timestamp in whole seconds."""
        prefix = self._options.prefix
        tags = self._options.tags
        named_points = [
            (graphite.series_name(prefix, self._ingress, point.path, tags), point)
            for point in points
        ]
        yield self._encode_points(named_points, timestamp.whole_second)

    def encode_notification(self, text: str, severity: int, unix_seconds: float) -> bytes:
        """Raise NotImplementedError; see `supports_notifications`."""
        raise NotImplementedError


class CollectdPacketEncoder:
    """Encodes points and notifications as packets for collectd's network plugin."""

    supports_notifications = True

    def __init__(self, options: CollectdOptions, ingress: str, interval_ms: float) -> None:
        """Create the encoder, reading the password if one is needed.

        Raises:
            SettingsError: if the password cannot be read or a package is missing.
        """
        try:
            sealer = collectd.packet_sealer(options.security, options.user, options.password())
        except OSError as error:
            reason = f"{options.password_file} cannot be read: {error.strerror}"
            raise SettingsError(reason, section="collectd", key="password_file") from error
        except ImportError as error:
            raise SettingsError(
                "encrypt needs the `cryptography` package",
                section="collectd",
                key="security",
                remedy="install the extra `collectd`, or write sign",
            ) from error
        self._packet_encoder = collectd.PacketEncoder(
            path_part(ingress), options.plugin, interval_ms / 1000.0, sealer
        )

    def encode(self, points: Sequence[Point], timestamp: Timestamp) -> Iterator[bytes]:
        """Yield packets; each packet is one chunk."""
        return self._packet_encoder.packets(list(points), timestamp.unix_seconds)

    def encode_notification(self, text: str, severity: int, unix_seconds: float) -> bytes:
        """Return the notification as one packet."""
        return self._packet_encoder.notification(text, severity, unix_seconds)


class PutvalEncoder:
    """Encodes points and notifications as commands for collectd's unixsock plugin."""

    supports_notifications = True

    def __init__(self, options: CollectdOptions, ingress: str, interval_ms: float) -> None:
        self._host = path_part(ingress)
        self._plugin = options.plugin
        self._interval_seconds = interval_ms / 1000.0

    def encode(self, points: Sequence[Point], timestamp: Timestamp) -> Iterator[bytes]:
        """Yield one chunk with a command for each point."""
        yield b"".join(
            putval.encode_putval(
                self._host, self._plugin, point, timestamp.unix_seconds, self._interval_seconds
            )
            for point in points
        )

    def encode_notification(self, text: str, severity: int, unix_seconds: float) -> bytes:
        """Return the notification as one command."""
        return putval.encode_putnotif(self._host, self._plugin, text, severity, unix_seconds)


def create_report_encoder(
    options: ReceiverOptions, ingress: str, interval_ms: float
) -> ReportEncoder:
    """Return the encoder for a receiver.

    Raises:
        SettingsError: if the password cannot be read or a package is missing.
    """
    if isinstance(options, GraphiteOptions):
        return GraphiteEncoder(options, ingress)
    if options.path:
        return PutvalEncoder(options, ingress, interval_ms)
    return CollectdPacketEncoder(options, ingress, interval_ms)
