"""A configuration short of a key that the platform's page requires is rejected as a whole."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from dockthread.config.platform_settings import (
    parse_policy_settings,
    read_config,
    read_policy_settings_file,
)
from dockthread.errors import SettingsError
from dockthread.policy import DeduplicationScope, Effect
from tests.loopback import EMPTY_ENDPOINT_LIST, GROSS_PLAN, SETTINGS, STATUS_CLASS, raw_config

MARK_CLASS = STATUS_CLASS | {
    "Name": "mark",
    "Effect": "token",
    "Group": "zone",
    "Window": 2_500_000,
}
WHOLE_SETTINGS = SETTINGS | {"Classes": [STATUS_CLASS, MARK_CLASS]}
WHOLE_CONFIGURATION = raw_config(EMPTY_ENDPOINT_LIST, 9, settings=WHOLE_SETTINGS)
# A path from the root of the configuration to a key or to the position of a list's entry.
KeyPath = tuple[str | int, ...]


def key_paths(value: Any, parent: KeyPath = ()) -> Iterator[KeyPath]:
    """Yield the path of each key of all objects in `value`, except in the endpoint list."""
    entries = value.items() if isinstance(value, dict) else enumerate(value)
    for key, entry in entries:
        path = (*parent, key)
        if isinstance(key, str):
            yield path
        if isinstance(entry, dict | list) and path != ("known",):
            yield from key_paths(entry, path)


def without(path: KeyPath) -> dict[str, Any]:
    """Return the whole configuration without the key at `path`."""
    raw = copy.deepcopy(WHOLE_CONFIGURATION)
    parent: Any = raw
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return raw


def path_text(path: KeyPath) -> str:
    """Return a path in the form in which errors name it."""
    text = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
    return text.removeprefix(".")


def write_configuration(folder: Path, raw: dict[str, Any]) -> dict[str, str]:
    """Write a configuration and return the environment that names it."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {"NODE_CONFIG": str(path)}


@pytest.mark.parametrize("path", list(key_paths(WHOLE_CONFIGURATION)), ids=path_text)
def test_a_configuration_without_one_of_its_keys_is_rejected(path: KeyPath, tmp_path: Path) -> None:
    """Guards against a default in place of a missing key, which may be the loosest of a rule."""
    with pytest.raises(SettingsError, match="is missing") as raised_error:
        read_config(write_configuration(tmp_path, without(path)))
    assert raised_error.value.key == path_text(path)
    assert len(str(raised_error.value).splitlines()) == 1


@pytest.mark.parametrize("key", ["Group", "Window", "HardLimit"])
def test_every_reader_of_settings_rejects_a_keyed_class_without_a_key(
    key: str, tmp_path: Path
) -> None:
    """Guards against a reader, such as `dockthread check`, that takes what an ingress rejects."""
    settings = without(("settings", "Classes", 1, key))["settings"]
    text = json.dumps(settings)
    (tmp_path / "settings.json").write_text(text)
    for read in (
        lambda: parse_policy_settings(text.encode()),
        lambda: read_policy_settings_file(str(tmp_path / "settings.json")),
    ):
        with pytest.raises(SettingsError) as raised_error:
            read()
        assert raised_error.value.key == f"settings.Classes[1].{key}"


@pytest.mark.parametrize(
    ("key", "values"),
    [
        ("settings", [None, 3, "text", []]),
        ("Classes", [None, 3, "text", [], {}]),
        ("Packages", [None, 3, "text", {}]),  # a deployment may have no plans
        ("Limits", [None, 3, "text", []]),
        ("Group", [None, 3, "text", []]),
        ("Window", [None, "text", []]),
    ],
)
def test_a_key_with_a_value_of_another_type_is_rejected(
    key: str, values: list[object], tmp_path: Path
) -> None:
    for value in values:
        raw = copy.deepcopy(WHOLE_CONFIGURATION)
        settings = raw["settings"]
        mark_class = settings["Classes"][1]
        holder = next(each for each in (raw, settings, mark_class) if key in each)
        holder[key] = value
        with pytest.raises(SettingsError):
            read_config(write_configuration(tmp_path, raw))


@pytest.mark.parametrize("text", ["[" * 100_000, '{"settings": ', "", "NaN", "null", "[]"])
def test_a_file_that_is_no_configuration_is_rejected(text: str, tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(text)
    with pytest.raises(SettingsError):
        read_config({"NODE_CONFIG": str(tmp_path / "config.json")})


def test_an_infinite_number_of_units_is_rejected(tmp_path: Path) -> None:
    domain = SETTINGS["Domain"] | {"Largest": float("inf")}
    raw = WHOLE_CONFIGURATION | {"settings": WHOLE_SETTINGS | {"Domain": domain}}
    with pytest.raises(SettingsError):
        read_config(write_configuration(tmp_path, raw))


def test_keys_that_the_page_lets_be_absent_may_be_absent(tmp_path: Path) -> None:
    """Guards against a check that is stricter than the page: these files are whole."""
    raw = copy.deepcopy(WHOLE_CONFIGURATION)
    assert not {"counter", "management", "peer_listen", "peers", "peers_all"} & raw.keys()
    for request_class in raw["settings"]["Classes"]:
        assert "AimStretch" not in request_class
    assert not {"Group", "Window"} & raw["settings"]["Classes"][0].keys()
    assert raw["settings"]["Costs"] == {}
    config = read_config(write_configuration(tmp_path, raw))
    status, mark = config.policy_settings.classes
    assert status.effect is Effect.SAFE
    assert (mark.deduplication_scope, mark.deduplication_window) == (DeduplicationScope.ZONE, 2.5)


def test_keys_that_the_page_does_not_name_are_ignored(tmp_path: Path) -> None:
    raw = copy.deepcopy(WHOLE_CONFIGURATION)
    raw["new"] = raw["settings"]["New"] = {"a": 1}
    raw["settings"]["Classes"][1] |= {"AimStretch": 2.0, "New": None}
    raw["settings"]["Packages"] = [GROSS_PLAN | {"New": []}]
    raw["settings"]["Costs"] = {"Fleet": 0.1, "Waste": 0.2}
    config = read_config(write_configuration(tmp_path, raw))
    assert config.policy_settings.costs.waste == 0.2
