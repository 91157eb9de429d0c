"""Tests of the command line as a subprocess: output, exit codes and imported modules."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from dockthread.section_registry import parse_operator_file

ROOT = Path(__file__).parents[2]


def dockthread(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """Run a command with additional environment variables."""
    return subprocess.run(
        [sys.executable, "-m", "dockthread", *arguments],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_check_prints_every_problem_and_exits_with_2_if_there_is_one(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[telemetry]\ninterval = 1\nfirms = x\n")
    result = dockthread("check", str(path))
    assert (result.returncode, len(result.stdout.splitlines()), result.stderr) == (2, 2, "")
    path.write_text("[telemetry]\ninterval = 1s\n")
    result = dockthread("check", str(path))
    assert (result.returncode, result.stdout) == (0, f"{path}: good\n")


def test_the_output_of_config_show_is_a_file_with_the_same_settings(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[telemetry]\ninterval = 2500ms\n[collectd c]\naddress = unix:/tmp/x\n")
    config = str(ROOT / "example" / "config.json")
    result = dockthread(
        "config", "show", DOCKTHREAD_CONFIG=str(path), NODE_CONFIG=config, NODE_NAME="n7"
    )
    assert result.returncode == 0
    assert f"interval = 2500ms  # {path}" in result.stdout
    assert "farewell = 500ms  # default" in result.stdout
    assert "# name = n7  # NODE_NAME" in result.stdout
    original = parse_operator_file(path.read_text(), "a")
    reparsed = parse_operator_file(result.stdout, "b")
    assert not reparsed.errors
    assert reparsed.sections == original.sections


@pytest.mark.parametrize(
    "arguments", [["--help"], ["serve", "--help"], ["metrics", "receive", "-h"]]
)
def test_help_prints_the_usage(arguments: list[str]) -> None:
    result = dockthread(*arguments)
    assert result.returncode == 0
    assert "Usage: dockthread" in result.stdout


@pytest.mark.parametrize(
    "arguments", [["nonsense"], ["check"], ["metrics", "receive", "--misbehave", "sulk@1s+1s"]]
)
def test_invalid_arguments_exit_with_2_and_an_error_message(arguments: list[str]) -> None:
    result = dockthread(*arguments)
    assert result.returncode == 2
    assert "Error: " in result.stderr


def test_serve_prints_one_line_and_exits_if_the_operators_file_is_invalid(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[graphite x]\naddress = nowhere\n")
    config = str(ROOT / "example" / "config.json")
    result = dockthread(
        "serve", "--config", str(path), NODE_CONFIG=config, NODE_LISTEN="127.0.0.1:0"
    )
    assert result.returncode == 2
    assert (
        result.stderr
        == f"dockthread: {path}: [graphite x] address: 'nowhere' is not an address; write HOST:PORT\n"
    )


def test_json_logs_name_the_ingress_and_go_to_the_configured_file(tmp_path: Path) -> None:
    path, log_path = tmp_path / "my.ini", tmp_path / "log"
    path.write_text(f"[log]\nform = json\ntarget = {log_path}\n")
    environment = {
        "NODE_CONFIG": str(ROOT / "example" / "config.json"),
        "NODE_LISTEN": "127.0.0.1:0",
    }
    command = [sys.executable, "-m", "dockthread", "serve", "--config", str(path)]
    with subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, **environment}, stderr=subprocess.PIPE
    ) as process:
        while not (log_path.exists() and "serving" in log_path.read_text()):
            assert process.poll() is None
        process.terminate()
        assert process.wait(timeout=30) == 0
        assert process.stderr is not None and process.stderr.read() == b""
    rows = [json.loads(line) for line in log_path.read_text().splitlines()]
    assert {row["ingress"] for row in rows} == {"n0"}
    assert [row["message"] for row in rows][-1] == "draining -> stopped"
    assert all({"time", "level", "message", "module"} <= row.keys() for row in rows)


def test_metrics_list_prints_each_metric_with_unit_kind_and_meaning() -> None:
    rows = [
        json.loads(line) for line in dockthread("metrics", "list", "--json").stdout.splitlines()
    ]
    assert "answers.{class}.{plan}.{outcome}" in {row["path"] for row in rows}
    assert all(
        row["meaning"] and row["unit"] and row["kind"] in ("derive", "gauge") for row in rows
    )


def test_the_daemon_imports_no_module_that_only_a_subcommand_or_telemetry_needs() -> None:
    script = "import dockthread.__main__, dockthread.daemon, sys; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True, cwd=ROOT
    )
    loaded_modules = set(result.stdout.split())
    assert "dockthread.net.ingress" in loaded_modules
    optional_modules = {"click", "msgspec", "ddsketch", "cryptography", "sqlite3", "configparser"}
    assert not loaded_modules & optional_modules
    assert not {
        name
        for name in loaded_modules
        if name.startswith(("dockthread.telemetry", "dockthread.cli"))
    }
