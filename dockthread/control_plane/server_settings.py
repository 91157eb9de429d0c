"""Settings of a server of the control plane."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.options import ControlOptions

REQUEST_CONNECTIONS: Final = 32
"""Connections that are accepted for publishers and operators, in addition to subscribers."""
SNAPSHOT_BURST_SECONDS: Final = 2
"""Size of the burst of snapshots, in seconds at the snapshot rate."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of a server.

    Attributes:
        name: Unique name of the server.
        role: `voter` or `distributor`.
        connections: Maximum number of concurrent connections.
        write_buffer: Bytes that may be buffered in one transport before its next frame is built.
        fan_out: Limits of the fan-out to subscribers.
        key: Shared key that authenticates all messages; empty if no key is used.
    """

    name: str
    role: str
    connections: int = 512
    write_buffer: int = 64 << 10
    fan_out: FanOutLimits = field(default_factory=FanOutLimits)
    key: bytes = b""


def server_settings_from_options(options: ControlOptions, key: bytes) -> ServerSettings:
    """Return the settings according to the section `[control]`; `key` is the shared key."""
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
