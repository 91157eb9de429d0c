"""The two layers of routes: those of the operator's file, and over them the published ones.

A published route with the name of one in the file takes its place. Any other stands before the
file's routes, ordered by name, so that every ingress has the same order whatever arrived first. A
published route is proved alone: by its own rules against the settings, and for shadowing against
the routes that may overlap it. So one change costs its own size, however many routes there are.
"""

from __future__ import annotations

from collections.abc import Mapping

from dockthread.config.ingress_config import IngressConfig, Names
from dockthread.policy import PolicySettings
from dockthread.routes.check import check_one
from dockthread.routes.findings import Finding, ProofRule, shadowed_finding
from dockthread.routes.matcher import NameNumbers
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import OrderedRoutes
from dockthread.routes.position import Position, file_positions, published_position
from dockthread.routes.table import Table


class Layers:
    """The routes of the file and the published ones, kept in force in one table.

    Attributes:
        table: The routes in force at this ingress.
        published: The published routes, by name.
    """

    def __init__(self, table: Table, settings: PolicySettings, names: Names) -> None:
        self.table = table
        self.published: dict[str, RouteOptions] = {}
        self._settings = settings
        self._names = names
        self._numbers = NameNumbers(names)
        self._file: Mapping[str, RouteOptions] = {}
        self._file_positions: dict[str, Position] = {}
        # The routes of all zones, for the proof; made when it is needed first.
        self._all_zones: OrderedRoutes | None = None

    @classmethod
    def for_config(cls, config: IngressConfig) -> Layers:
        """Return the layers of a new, empty table for the ingress of a configuration."""
        table = Table(config.names, config.policy_settings.zone, config.seed)
        return cls(table, config.policy_settings, config.names)

    def set_file(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Put other routes of the file in force, which are proved already.

        The published routes stay over them.
        """
        former_names = self._file_positions.keys()
        self._file = routes
        self._file_positions = file_positions(routes)
        if not self.published:
            self._all_zones = None
            self.table.replace(routes, now)
            return
        for name in former_names - routes.keys() - self.published.keys():
            self._take_out(name)
        # A published route whose name the file no longer has moves to the published layer.
        moved = (former_names & self.published.keys()) - routes.keys()
        for name in [*routes, *moved]:
            self._put(name, self.published.get(name) or routes[name], now)

    def set_settings(self, settings: PolicySettings, names: Names) -> None:
        """Prove further changes against these; each known name keeps its number."""
        self._settings = settings
        self._names = names
        self._numbers = NameNumbers(names)
        self.table.set_names(names)

    def put(self, name: str, route: RouteOptions, now: float) -> Finding | None:
        """Put a published route in force, in place of the one with the same name.

        Returns:
            Why the route is refused; then nothing is changed. None where it is in force.
        """
        for finding in check_one(name, route, self._settings, self._names):
            if not finding.is_warning:
                return finding
        shadowing = self._shadowing(name, route)
        if shadowing is not None:
            return shadowing
        self.published[name] = route
        self._put(name, route, now)
        return None

    def remove(self, name: str, now: float) -> None:
        """Remove a published route; the file's route of that name is in force again."""
        if self.published.pop(name, None) is None:
            return
        if name in self._file:
            self._put(name, self._file[name], now)
        else:
            self._take_out(name)

    def _shadowing(self, name: str, route: RouteOptions) -> Finding | None:
        """Return whether the route could never match, or would leave another without requests."""
        routes = self._routes_of_all_zones()
        matcher = self._numbers.matcher(name, route, self._position(name))
        former = routes.remove(name)
        covering = routes.first_covering(matcher)
        covered = routes.first_covered(matcher)
        if former is not None:
            routes.put(former)
        if covering is not None:
            return shadowed_finding(name, covering.rules.name, "narrow that one first")
        if covered is not None:
            counterexample = f"leaves none of its requests to [route {covered.rules.name}]"
            remedy = "delete that one first"
            return Finding(name, "", ProofRule.LEAVES_REQUESTS, counterexample, remedy)
        return None

    def _position(self, name: str) -> Position:
        return self._file_positions.get(name) or published_position(name)

    def _routes_of_all_zones(self) -> OrderedRoutes:
        if self._all_zones is None:
            self._all_zones = OrderedRoutes()
            for name, route in self._file.items():
                position = self._file_positions[name]
                self._all_zones.put(self._numbers.matcher(name, route, position))
        return self._all_zones

    def _put(self, name: str, route: RouteOptions, now: float) -> None:
        matcher = self._numbers.matcher(name, route, self._position(name))
        self._routes_of_all_zones().put(matcher)
        self.table.put(matcher, route, now)

    def _take_out(self, name: str) -> None:
        self._routes_of_all_zones().remove(name)
        self.table.remove(name)
