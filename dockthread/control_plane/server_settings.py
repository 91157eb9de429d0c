"""Settings of a server of the control plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.options import ControlOptions

REQUEST_CONNECTIONS: Final = 32
"""Connections of publishers and operators, besides those of subscribers."""
SNAPSHOT_BURST_SECONDS: Final = 2
"""The burst of snapshots, in seconds of their rate."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of a server.

    Attributes:
        name: Name of the server, unique among all.
        role: `voter` or `distributor`.
        connections: Connections accepted at once.
        write_buffer: Bytes that may wait in one transport before its next frame is made.
        fan_out: Limits of the fan-out to subscribers.
        key: Key that tags all messages; empty for none.
    """

    name: str
    role: str
    connections: int = 512
    write_buffer: int = 64 << 10
    fan_out: FanOutLimits = field(default_factory=FanOutLimits)
    key: bytes = b""


def server_settings_from_options(options: ControlOptions, key: bytes) -> ServerSettings:
    """Return the settings that the section `[control]` gives, with the shared key of its file."""
    rate = float(options.snapshot_rate)
    fan_out = FanOutLimits(
        options.max_connections,
        snapshot_rate=rate,
        snapshot_burst=SNAPSHOT_BURST_SECONDS * rate,
        heartbeat_interval=float(options.heartbeat),
    )
    return ServerSettings(
        options.name,
        options.role or "",
        options.max_connections + REQUEST_CONNECTIONS,
        options.write_buffer,
        fan_out,
        key,
    )
