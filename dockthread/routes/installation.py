"""Gives an ingress its table of routes, once the first route is configured or published."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dockthread.routes.layers import Layers
from dockthread.routes.table import Table

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress


def install_routes(ingress: Ingress) -> Layers:
    """Let `ingress` match its requests against a new, empty table; return the table's layers."""
    config = ingress.config
    table = Table(config.names, config.policy_settings.zone, config.seed)
    ingress.routes = table
    return Layers(table, config.policy_settings, config.names)
