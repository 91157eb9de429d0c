"""Tests how a reload of an ingress combines its settings, its file and published resources."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from dockthread.config.address import Address
from dockthread.config.platform_settings import read_config
from dockthread.control_plane.messages import Resource
from dockthread.control_plane.server import ControlPlaneServer
from dockthread.daemon import Daemon
from dockthread.routes.rules import RequestAttributes
from dockthread.section_registry import load_operator_file
from tests.control_plane.local_server import run_server
from tests.loopback import EMPTY_ENDPOINT_LIST, SETTINGS, raw_config, run, until


def test_one_reload_adds_a_class_and_a_route_that_uses_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, file = tmp_path / "config.json", tmp_path / "my.ini"
    path.write_text(json.dumps(raw_config(EMPTY_ENDPOINT_LIST, 9)))
    file.write_text("[route a]\nclass = status\n")
    monkeypatch.setenv("NODE_CONFIG", str(path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> None:
        config = read_config({"NODE_CONFIG": str(path)})
        daemon = Daemon(
            config, str(file), load_operator_file(str(file), config.policy_settings, config.names)
        )
        renew_class = {**SETTINGS["Classes"][0], "Name": "renew"}
        path.write_text(
            json.dumps(
                raw_config(
                    EMPTY_ENDPOINT_LIST,
                    9,
                    settings={**SETTINGS, "Classes": [renew_class, *SETTINGS["Classes"]]},
                )
            )
        )
        file.write_text("[route b]\nclass = renew\nattempts = 2\n")
        daemon.reload()
        await until(lambda: daemon.admin.reloads.applied)
        table = daemon.routes.table if daemon.routes is not None else None
        class_index = daemon.ingress.config.names.classes.index("renew")
        route = (
            table.find(RequestAttributes(class_index, 0, False, 1, 1, False))
            if table is not None
            else None
        )
        assert route is not None and route.rules.name == "b"

    run(scenario())


def test_published_routes_are_validated_again_with_the_settings_of_a_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, file = tmp_path / "config.json", tmp_path / "my.ini"
    monkeypatch.setenv("NODE_CONFIG", str(path))
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    status, checkout = SETTINGS["Classes"]
    renew = {**status, "Name": "renew"}

    def configure(*classes: dict[str, Any]) -> None:
        path.write_text(
            json.dumps(
                raw_config(EMPTY_ENDPOINT_LIST, 9, settings={**SETTINGS, "Classes": classes})
            )
        )

    async def scenario(server: ControlPlaneServer, address: Address) -> None:
        configure(status, checkout)
        file.write_text(
            f"[route status twice]\nclass = status\n[control]\nrole = ingress\nservers = {address}\n"
        )
        for name, route_class in (("status twice", "status"), ("renew twice", "renew")):
            body = json.dumps({"class": route_class, "copies": "yes"}).encode()
            server.table.put(Resource("route", name, server.table.revision + 1, body))
        config = read_config({"NODE_CONFIG": str(path)})
        daemon = Daemon(
            config, str(file), load_operator_file(str(file), config.policy_settings, config.names)
        )
        daemon.subscribe_to_control_plane()
        applier, layers = daemon.resource_applier, daemon.routes
        assert applier is not None and layers is not None
        subscriber = applier.client.subscriber
        await until(
            lambda: [rejection.name for rejection in subscriber.rejections] == ["renew twice"]
        )
        assert set(layers.published) == {"status twice"}

        configure({**status, "Effect": "side_effect"}, checkout, renew)
        daemon.reload()
        await until(
            lambda: [rejection.name for rejection in subscriber.rejections] == ["status twice"]
        )
        assert set(layers.published) == {"renew twice"}, (
            "the route that hedges a class with side effects must be withdrawn"
        )
        assert "would run a request twice" in subscriber.rejections[0].reason
        names = daemon.ingress.config.names.classes
        route = layers.table.find(RequestAttributes(names.index("status"), 0, False, 1, 1, False))
        assert route is not None and not route.rules.hedging, "the file's route must apply instead"
        await until(
            lambda: (
                [rejection.name for rejection in server.status().subscribers[0].rejected]
                == ["status twice"]
            )
        )
        await applier.close()

    run_server(scenario)
