"""The routes that are in force: those of the operator's file, and over them those that were
published.

A published route of the name of one in the file takes its place; any other stands before the
file's, by its name, so that every ingress has the same order whatever came first. A published route
is proved alone: by its own rules against the settings, and for shadowing against the routes that
may overlap it, those before and those behind it. So one change costs its own size, however many
routes there are.
"""

from __future__ import annotations

from collections.abc import Mapping

from dockthread.config.ingress_config import IngressConfig, Names
from dockthread.policy import PolicySettings
from dockthread.routes.check import SHADOWED, check_one
from dockthread.routes.matcher import Numbers, Place, file_places, published_place
from dockthread.routes.options import RouteOptions
from dockthread.routes.ordered import Ordered
from dockthread.routes.table import Table


class Layers:
    """`table`: what holds at this ingress. `published`: what was put, by name."""

    def __init__(self, table: Table, settings: PolicySettings, names: Names) -> None:
        self.table, self._settings, self._names = table, settings, names
        self._numbers = Numbers(names)
        self._file: Mapping[str, RouteOptions] = {}
        self._places: dict[str, Place] = {}
        # of all halls, for the proof; made when it is needed first
        self._everywhere: Ordered | None = None
        self.published: dict[str, RouteOptions] = {}

    @classmethod
    def for_config(cls, config: IngressConfig) -> Layers:
        """Return the layers of a new, empty table for the ingress of a configuration."""
        table = Table(config.names, config.policy_settings.zone, config.seed)
        return cls(table, config.policy_settings, config.names)

    def set_file(self, routes: Mapping[str, RouteOptions], now: float) -> None:
        """Other routes in the file, proved among themselves. Those published stay over them."""
        before, self._file, self._places = self._places, routes, file_places(routes)
        if not self.published:
            self._everywhere = None
            self.table.replace(routes, now)
            return
        for name in before.keys() - routes.keys() - self.published.keys():
            self._take_out(name)
        for name in [*routes, *(before.keys() & self.published.keys()) - routes.keys()]:
            self._put(name, self.published.get(name) or routes[name], now)

    def set_settings(self, settings: PolicySettings, names: Names) -> None:
        """Against which further changes are proved. Names that were known before keep their
        numbers.
        """
        self._settings, self._names, self._numbers = settings, names, Numbers(names)
        self.table.set_names(names)

    def put(self, name: str, route: RouteOptions, now: float) -> str:
        """Put a published route in force, in place of the one of its name. The reason where it is
        refused; then nothing is changed.
        """
        errors = [
            one for one in check_one(name, route, self._settings, self._names) if not one.is_warning
        ]
        if errors:
            return str(errors[0]).removeprefix(": ")
        if reason := self._shadowing(name, route):
            return reason
        self.published[name] = route
        self._put(name, route, now)
        return ""

    def remove(self, name: str, now: float) -> None:
        """What was published under a name is gone; the file's holds again where it has one."""
        if self.published.pop(name, None) is None:
            return
        if name in self._file:
            self._put(name, self._file[name], now)
        else:
            self._take_out(name)

    def _shadowing(self, name: str, route: RouteOptions) -> str:
        """Why it would be of no use, or would leave another without requests."""
        everywhere = self._proof()
        one = self._numbers.matcher(name, route, self._place(name))
        held = everywhere.remove(name)
        by, over = everywhere.first_covering(one), everywhere.first_covered(one)
        if held is not None:
            everywhere.put(held)
        if by is not None:
            return f"[route {name}] {SHADOWED.format(by.rules.name)}; narrow that one first"
        if over is not None:
            return f"[route {name}] leaves none of its requests to [route {over.rules.name}]; delete that one first"
        return ""

    def _place(self, name: str) -> Place:
        return self._places.get(name) or published_place(name)

    def _proof(self) -> Ordered:
        if self._everywhere is None:
            self._everywhere = Ordered()
            for name, route in self._file.items():
                self._everywhere.put(self._numbers.matcher(name, route, self._places[name]))
        return self._everywhere

    def _put(self, name: str, route: RouteOptions, now: float) -> None:
        one = self._numbers.matcher(name, route, self._place(name))
        self._proof().put(one)
        self.table.put(one, route, now)

    def _take_out(self, name: str) -> None:
        self._proof().remove(name)
        self.table.remove(name)
