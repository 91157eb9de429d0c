"""Routes of a run: bodies that tell their version by their timeout, and what an ingress holds of
them.
"""

from __future__ import annotations

import json
from typing import Final

from dockthread.control_plane.resource_schemas import ROUTE
from dockthread.lab.scale.witness import Row
from dockthread.routes.layers import Layers

KIND: Final = ROUTE
FIRST_TIMEOUT: Final = 100  # ms, of version 0; each version is one more
MOST_VERSION: Final = 3000  # beyond it a timeout would be over the class's deadline


def name_of(number: int) -> str:
    """A route's name by its number."""
    return f"route-{number:05d}"


def body_of(number: int, version: int) -> bytes:
    """For one firm, so that none shadows another."""
    timeout = FIRST_TIMEOUT + version % MOST_VERSION
    return json.dumps({"firm": f"{number + 1:x}", "timeout": f"{timeout}ms"}).encode()


def rows(layers: Layers) -> list[Row]:
    """Published routes in force, by name, with their versions."""
    return [
        [name, round((route.timeout or 0.0) - FIRST_TIMEOUT)]
        for name, route in sorted(layers.published.items())
    ]
