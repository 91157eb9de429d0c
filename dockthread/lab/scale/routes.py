"""Routes of a run. The timeout in a route's body encodes its version."""

from __future__ import annotations

import json
from typing import Final

from dockthread.control_plane.resource_schemas import ROUTE
from dockthread.lab.scale.recorder import Row
from dockthread.routes.layers import RouteLayers

KIND: Final = ROUTE
FIRST_TIMEOUT_MS: Final = 100  # Timeout of version 0 in ms. Each version adds 1 ms.
# Number of versions before the timeout starts again, so that it stays below the class's deadline.
VERSION_CYCLE: Final = 3000


def route_name(number: int) -> str:
    """Return a route's name by its number."""
    return f"route-{number:05d}"


def route_body(number: int, version: int) -> bytes:
    """Return the body of a route for its own firm, so that no route shadows another."""
    timeout = FIRST_TIMEOUT_MS + version % VERSION_CYCLE
    return json.dumps({"firm": f"{number + 1:x}", "timeout": f"{timeout}ms"}).encode()


def route_rows(layers: RouteLayers) -> list[Row]:
    """Return the published routes in force and their versions, ordered by name."""
    return [
        [name, round((route.timeout or 0.0) - FIRST_TIMEOUT_MS)]
        for name, route in sorted(layers.published.items())
    ]
