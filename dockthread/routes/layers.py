"""The two layers of routes: the routes of the operator's file, and the published routes above them.

A published route replaces the file's route of the same name, in its position. All other published
routes come before the file's routes and are ordered by name, so that every ingress has the same
order no matter in which order the routes arrived. Each published route is validated separately: its
rules against the settings, and shadowing against the routes that may overlap it. The cost of a
change therefore depends on the changed route and not on the total number of routes.
"""

from __future__ import annotations

from collections.abc import Mapping

from dockthread.config.ingress_config import IngressConfig, Names
from dockthread.policy import PolicySettings
from dockthread.routes.check import check_route
from dockthread.routes.findings import Finding, ValidationRule, shadowed_finding
from dockthread.routes.matcher import NameNumbering
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import OrderedRoutes
from dockthread.routes.position import Position, file_positions, published_position
from dockthread.routes.table import RouteTable


class RouteLayers:
    """Merges the routes of the file and the published routes into one table.

    Attributes:
        table: The active routes of this ingress.
        published: The published routes, by name.
    """

    def __init__(self, table: RouteTable, settings: PolicySettings, names: Names) -> None:
        self.table = table
        self.published: dict[str, RouteOptions] = {}
        self._settings = settings
        self._names = names
        self._numbering = NameNumbering(names)
        self._file_routes: Mapping[str, RouteOptions] = {}
        self._file_positions: dict[str, Position] = {}
        # The routes of all zones, which validation needs; created on first use.
        self._all_zone_routes: OrderedRoutes | None = None

    @classmethod
    def for_config(cls, config: IngressConfig) -> RouteLayers:
        """Return layers over a new, empty table for the ingress that `config` configures."""
        table = RouteTable(config.names, config.policy_settings.zone, config.seed)
        return cls(table, config.policy_settings, config.names)

    def set_file_routes(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Replace the file's routes by `routes`, which have already been validated.

        The published routes still take precedence over them.
        """
        former_names = self._file_positions.keys()
        self._file_routes = routes
        self._file_positions = file_positions(routes)
        if not self.published:
            self._all_zone_routes = None
            self.table.replace(routes, now)
            return
        for name in former_names - routes.keys() - self.published.keys():
            self._remove_from_table(name)
        # A published route whose name the file no longer has moves to the published layer.
        moved_to_published = (former_names & self.published.keys()) - routes.keys()
        for name in [*routes, *moved_to_published]:
            self._put(name, self.published.get(name) or routes[name], now)

    def set_settings(self, settings: PolicySettings, names: Names) -> None:
        """Validate later changes against new settings; each existing name keeps its number."""
        self._settings = settings
        self._names = names
        self._numbering = NameNumbering(names)
        self.table.set_names(names)

    def put(self, name: str, route: RouteOptions, now: float) -> Finding | None:
        """Add a published route, or replace the one with the same name.

        Returns:
            The finding for which the route is refused and nothing is changed, or None if the route
            is now active.
        """
        for finding in check_route(name, route, self._settings, self._names):
            if not finding.is_warning:
                return finding
        shadowing = self._shadowing_finding(name, route)
        if shadowing is not None:
            return shadowing
        self.published[name] = route
        self._put(name, route, now)
        return None

    def remove(self, name: str, now: float) -> None:
        """Remove a published route; the file's route of that name, if any, becomes active again."""
        if self.published.pop(name, None) is None:
            return
        if name in self._file_routes:
            self._put(name, self._file_routes[name], now)
        else:
            self._remove_from_table(name)

    def _shadowing_finding(self, name: str, route: RouteOptions) -> Finding | None:
        """Return a finding if the route could never match or would keep another from matching."""
        routes = self._routes_of_all_zones()
        matcher = self._numbering.matcher(name, route, self._position(name))
        former = routes.remove(name)
        covering = routes.first_covering(matcher)
        covered = routes.first_covered(matcher)
        if former is not None:
            routes.put(former)
        if covering is not None:
            return shadowed_finding(name, covering.rules.name, "narrow that route first")
        if covered is not None:
            counterexample = f"leaves none of its requests to [route {covered.rules.name}]"
            remedy = "delete that route first"
            return Finding(name, "", ValidationRule.LEAVES_REQUESTS, counterexample, remedy)
        return None

    def _position(self, name: str) -> Position:
        return self._file_positions.get(name) or published_position(name)

    def _routes_of_all_zones(self) -> OrderedRoutes:
        if self._all_zone_routes is None:
            self._all_zone_routes = OrderedRoutes()
            for name, route in self._file_routes.items():
                position = self._file_positions[name]
                self._all_zone_routes.put(self._numbering.matcher(name, route, position))
        return self._all_zone_routes

    def _put(self, name: str, route: RouteOptions, now: float) -> None:
        matcher = self._numbering.matcher(name, route, self._position(name))
        self._routes_of_all_zones().put(matcher)
        self.table.put(matcher, route, now)

    def _remove_from_table(self, name: str) -> None:
        self._routes_of_all_zones().remove(name)
        self.table.remove(name)
