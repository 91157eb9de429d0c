"""Reload of settings at SIGHUP: the merge function, and a running ingress on sockets."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from dockthread.admin.reload import merge_settings
from dockthread.config.ingress_config import Names
from dockthread.config.platform_settings import parse_policy_settings
from dockthread.policy import Effect, PolicySettings, RequestClass
from tests.loopback import CHECKOUT_CLASS, SETTINGS, Backend, run, running_ingress

STATUS = RequestClass(latency_objective=1.5, deadline=4.0, effect=Effect.SAFE)
CHECKOUT = RequestClass(latency_objective=3.0, deadline=12.0, effect=Effect.UNSAFE)
RENEW = RequestClass(latency_objective=1.0, deadline=2.0, effect=Effect.KEYED)
OLD_SETTINGS = PolicySettings(
    ingress_number=0, ingress_count=1, classes=(STATUS, CHECKOUT), plans=(), max_attempts=4
)


def names(*classes: str) -> Names:
    return Names(classes, ("gross",), (), ())


@pytest.mark.parametrize(
    ("new", "kept_names", "offered_classes"),
    [
        ((("status", STATUS), ("checkout", CHECKOUT)), ("status", "checkout"), {"status", "checkout"}),
        ((("checkout", CHECKOUT), ("renew", RENEW)), ("status", "checkout", "renew"), {"checkout", "renew"}),
        ((("renew", RENEW),), ("status", "checkout", "renew"), {"renew"}),
        ((("status", replace(STATUS, effect=Effect.UNSAFE)),), ("status", "checkout"), {"status"}),
    ],
)  # fmt: skip
def test_a_class_keeps_its_number_for_any_set_of_classes_in_the_new_file(
    new: tuple[tuple[str, RequestClass], ...],
    kept_names: tuple[str, ...],
    offered_classes: set[str],
) -> None:
    new_names = names(*(name for name, _ in new))
    settings = replace(
        OLD_SETTINGS, classes=tuple(request_class for _, request_class in new), max_attempts=2
    )
    merged = merge_settings(OLD_SETTINGS, names("status", "checkout"), settings, new_names)
    assert merged.names.classes == kept_names
    assert merged.offered_classes == offered_classes
    assert merged.settings.max_attempts == 2
    new_classes = dict(new)
    for number, name in enumerate(kept_names):
        expected = new_classes.get(name, (STATUS, CHECKOUT)[number] if number < 2 else None)
        assert merged.settings.classes[number] == expected


def test_after_a_reload_a_new_class_is_served_and_a_removed_one_is_rejected() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend()) as (ingress, client, _):
            renew = CHECKOUT_CLASS | {"Name": "renew", "Aim": 1_000_000, "HardLimit": 2_000_000}
            raw: dict[str, Any] = SETTINGS | {"Classes": [renew, SETTINGS["Classes"][1]]}
            assert "unknown class" in str(await client.call("renew"))
            reloaded_names = replace(ingress.config.names, classes=("renew", "checkout"))
            ingress.reload(
                replace(
                    ingress.config,
                    policy_settings=parse_policy_settings(json.dumps(raw).encode()),
                    names=reloaded_names,
                )
            )
            assert await client.call("renew") == b"value"
            assert await client.call("checkout") == b"value"
            assert "unknown class" in str(await client.call("status"))
            assert ingress.engine.settings.classes[2].deadline == 2.0

    run(scenario())
