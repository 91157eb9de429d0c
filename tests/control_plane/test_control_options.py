"""Tests the section `[control]`: a problem names file, section, key, cause and remedy."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from dockthread.control_plane.options import ControlOptions, read_key
from dockthread.section_registry import parse_operator_file

DISTRIBUTOR = "role = distributor\nname = d1\nlisten = 127.0.0.1:7000\nservers = 127.0.0.1:7001\n"
VOTER = "role = voter\nname = v1\nlisten = 127.0.0.1:7000\n"
FLEET = "[fleet]\nlisten = 127.0.0.1:1\nmembers = v1=127.0.0.1:1\ndirectory = /tmp\n"

INVALID_SECTIONS = [
    ("role = leader", "role: 'leader' is not one of ingress, distributor, voter"),
    ("servers = 127.0.0.1:7001", "role: is missing; write one of ingress, distributor, voter"),
    ("role = ingress", "servers: is missing; list the servers from which this ingress receives"),
    ("role = ingress\nservers = here", "servers: 'here' is not an address; write HOST:PORT"),
    ("role = ingress\nservers = a:1, a:1", "servers: lists a:1 twice; list each server once"),
    ("role = ingress\nservers = a:1\nfar_servers = a:1", "servers: lists a:1 twice"),
    (
        "role = ingress\nservers = a:1\nfar_servers = b",
        "far_servers: 'b' is not an address; write HOST:PORT",
    ),
    (
        "role = ingress\nservers = a:1\nlisten = a:2",
        "listen: is set, but an ingress serves no subscribers",
    ),
    (
        "role = ingress\nservers = a:1\nzone = a b",
        "zone: 'a b' is not a valid name; use at most 128 bytes",
    ),
    ("role = distributor\nname = d1\nservers = a:1", "listen: is missing; write the address"),
    (
        "role = distributor\nlisten = a:2\nservers = a:1",
        "name: is missing; write a unique name for this distributor",
    ),
    (DISTRIBUTOR + "most_connections = 0", "most_connections: 0 is out of range; use 1 to 10000"),
    (DISTRIBUTOR + "write_buffer = 1KiB", "write_buffer: 1KiB is out of range; use 4KiB to 16MiB"),
    (DISTRIBUTOR + "heartbeat = 1ms", "heartbeat: 1ms is out of range; use 50ms to 1s"),
    (
        DISTRIBUTOR + "snapshot_rate = 1KiB",
        "snapshot_rate: 1KiB is too low; use at least 1MB; 20MB is typical",
    ),
    (DISTRIBUTOR + "cache_interval = 1ms", "cache_interval: 1ms is too short; use at least 100ms"),
    (VOTER, "role: is voter, and there is no [fleet]; write [fleet] with all voters"),
    (
        VOTER + "servers = a:1",
        "servers: is set, but a voter receives through [fleet]; leave it out",
    ),
    (
        VOTER.replace("v1", "v9") + FLEET,
        "name: 'v9' is not among the members of [fleet]; one of v1",
    ),
    (DISTRIBUTOR + "lisen = a:1", "lisen: is not a key of this section; did you mean listen?"),
]


@pytest.mark.parametrize(("text", "reason"), INVALID_SECTIONS)
def test_invalid_section_is_reported_with_its_reason(text: str, reason: str) -> None:
    problems = parse_operator_file(f"[control]\n{text}\n", "my.ini").problems
    assert any(
        str(problem).startswith("my.ini: [control] ") and reason in str(problem)
        for problem in problems
    ), problems


@pytest.mark.parametrize("text", ["", "[control]\n" + DISTRIBUTOR, "[control]\n" + VOTER + FLEET])
def test_valid_section_has_no_problem(text: str) -> None:
    assert parse_operator_file(text, "my.ini").problems == []


def test_no_other_module_is_loaded_without_the_section() -> None:
    assert parse_operator_file("", "my.ini").section("control") == ControlOptions(role=None)
    code = "import sys, dockthread.daemon, dockthread.section_registry as s; s.parse_operator_file('', 'f')\n"
    code += "print([m for m in sys.modules if m.startswith('dockthread.control_plane.')])"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=30
    )
    assert result.stdout.strip() == str(
        ["dockthread.control_plane.messages", "dockthread.control_plane.options"]
    )


def test_invalid_key_file_is_reported_with_its_path_and_length(tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(b"short\n")
    with pytest.raises(ValueError, match="key holds 5 bytes; use 16 to 64 bytes"):
        read_key(str(tmp_path / "key"))
    with pytest.raises(ValueError, match="cannot be read: No such file"):
        read_key(str(tmp_path / "none"))
