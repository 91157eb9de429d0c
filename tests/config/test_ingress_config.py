"""The configuration of an ingress: errors in its file, and overrides by environment variables."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from dockthread.config.address import Address
from dockthread.config.platform_settings import read_config
from dockthread.errors import SettingsError
from tests.loopback import PROCESS_LIMITS, SETTINGS, message, raw_config


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"settings": None}, "not an object"), ({"listen": "nowhere"}, "not an address"),
        ({"limits": PROCESS_LIMITS | {"sockets": 8}}, "limits.sockets is 8"), ({"seed": "xyz"}, "base 16"),
        ({"settings": SETTINGS | {"Classes": [{"Name": "a"}]}}, "Aim"),
        ({"listen": "127.0.0.1:70000"}, "not an address"),
        ({"settings": SETTINGS | {"Classes": [SETTINGS["Classes"][0] | {"HardLimit": 0}]}}, r"\[0\].HardLimit"),
        ({"settings": SETTINGS | {"Classes": [SETTINGS["Classes"][1] | {"Aim": -5}]}}, r"Classes\[0\].Aim is -5"),
        ({"settings": SETTINGS | {"Limits": SETTINGS["Limits"] | {"SendCap": 0}}}, "SendCap is 0"),
        ({"settings": SETTINGS | {"Classes": []}}, "Classes is empty"),
    ],
)  # fmt: skip
def test_an_invalid_configuration_raises_a_one_line_error(
    changes: dict[str, Any], expected_text: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**raw_config(message(1, full=True), 9), **changes}))
    with pytest.raises(SettingsError, match=expected_text) as raised_error:
        read_config({"NODE_CONFIG": str(path)})
    assert len(str(raised_error.value).splitlines()) == 1


def test_environment_variables_override_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(message(1, full=True), 9)))
    environ = {"NODE_CONFIG": str(path), "NODE_NAME": "n7", "NODE_LISTEN": "[::1]:5"}
    config = read_config(environ)
    assert (config.name, config.listen, config.seed, config.connection_idle_ms) == (
        "n7",
        Address("::1", 5),
        0x8C1F,
        15_000.0,
    )
