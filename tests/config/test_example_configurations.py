"""The platform's example configurations are read completely, and the policy engine accepts them."""

from __future__ import annotations

import json
from itertools import product
from pathlib import Path

import pytest

from dockthread.config.platform_settings import read_config
from dockthread.policy import (
    BackendState,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    PolicyEngine,
    RequestArrived,
    SendAttempt,
)

EXAMPLES = Path(__file__).parents[2] / "example"


@pytest.mark.parametrize("name", ["config.json", "formosa.json"])
def test_an_example_configuration_is_read_completely_and_its_requests_are_sent(name: str) -> None:
    path = EXAMPLES / name
    raw = json.loads(path.read_text())
    raw_settings = raw["settings"]
    config = read_config({"NODE_CONFIG": str(path)})
    settings = config.policy_settings
    assert config.names.classes == tuple(raw_plan["Name"] for raw_plan in raw_settings["Classes"])
    assert [plan.max_in_flight for plan in settings.plans] == [
        raw_plan.get("MaxOut", 0) for raw_plan in raw_settings["Packages"]
    ]
    assert settings.may_gossip == bool(config.peers) == ("peers" in raw)
    assert settings.load_report_fields == tuple(raw_settings["Stats"]["Names"])

    engine = PolicyEngine(settings, 1, 0.0)
    endpoints = (Endpoint(1, BackendState.READY),)
    engine.handle(0.0, EndpointsListed(EndpointListKind.CACHED, endpoints))
    for request_class, plan in product(
        range(len(settings.classes)), range(len(settings.plans) - 1)
    ):
        request = request_class * 10 + plan
        actions = engine.handle(5.0, RequestArrived(request, request_class, plan, request, 2.0))
        assert any(isinstance(action, SendAttempt) for action in actions)
