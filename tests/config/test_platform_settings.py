"""Errors in the platform's JSON have the file, key, reason and remedy as fields."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from dockthread.config.platform_settings import read_config
from dockthread.errors import DockthreadError, SettingsError
from tests.loopback import SETTINGS, raw_config

NO_ENDPOINTS = {"rev": 0, "all": True, "targets": []}


def read_error(path: Path) -> SettingsError:
    with pytest.raises(SettingsError) as raised_error:
        read_config({"NODE_CONFIG": str(path)})
    return raised_error.value


def test_an_error_in_the_settings_has_the_path_of_its_key_and_a_remedy(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    request_class = SETTINGS["Classes"][0] | {"Aim": -5}
    settings = SETTINGS | {"Classes": [request_class]}
    path.write_text(json.dumps(raw_config(NO_ENDPOINTS, 9, settings=settings)))
    error = read_error(path)
    assert isinstance(error, DockthreadError)
    assert error.file == str(path)
    assert error.key == "settings.Classes[0].Aim"
    assert error.reason == "is -5"
    assert error.remedy == "must be a time above 0"
    assert str(error) == f"{path}: settings.Classes[0].Aim is -5; must be a time above 0"


def test_an_error_names_the_missing_key_and_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    raw = raw_config(NO_ENDPOINTS, 9)
    del raw["listen"]
    path.write_text(json.dumps(raw))
    error = read_error(path)
    assert (error.file, error.key, error.reason) == (str(path), "listen", "is missing")
    assert str(error) == f"{path}: 'listen' is missing"


def test_an_error_names_the_file_that_is_not_json(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{")
    error = read_error(path)
    assert error.file == str(path)
    assert str(error).startswith(f"{path} is not JSON: ")


def test_an_error_names_the_missing_file(tmp_path: Path) -> None:
    error = read_error(tmp_path / "none.json")
    assert error.file == str(tmp_path / "none.json")
    assert str(error) == f"cannot read {tmp_path / 'none.json'}: No such file or directory"


def test_an_unset_configuration_variable_is_the_key_of_the_error() -> None:
    with pytest.raises(SettingsError) as raised_error:
        read_config({})
    assert raised_error.value.key == "NODE_CONFIG"
    assert str(raised_error.value) == "NODE_CONFIG is not set; it must name the configuration file"
