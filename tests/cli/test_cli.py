"""The command line as a person and a script use it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from dockthread.section_registry import parse_operator_file

ROOT = Path(__file__).parents[2]


def dockthread(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "dockthread", *words],
        cwd=ROOT,
        env={**os.environ, **environ},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_check_tells_every_fault_and_its_exit_code(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[telemetry]\ninterval = 1\nfirms = x\n")
    done = dockthread("check", str(path))
    assert (done.returncode, len(done.stdout.splitlines()), done.stderr) == (2, 2, "")
    path.write_text("[telemetry]\ninterval = 1s\n")
    done = dockthread("check", str(path))
    assert (done.returncode, done.stdout) == (0, f"{path}: good\n")


def test_what_config_show_prints_is_a_file_that_says_the_same(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[telemetry]\ninterval = 2500ms\n[collectd c]\naddress = unix:/tmp/x\n")
    config = str(ROOT / "example" / "config.json")
    done = dockthread(
        "config", "show", DOCKTHREAD_CONFIG=str(path), NODE_CONFIG=config, NODE_NAME="n7"
    )
    assert done.returncode == 0
    assert f"interval = 2500ms  # {path}" in done.stdout
    assert "farewell = 500ms  # default" in done.stdout
    assert "# name = n7  # NODE_NAME" in done.stdout
    first, again = parse_operator_file(path.read_text(), "a"), parse_operator_file(done.stdout, "b")
    assert not again.errors
    assert again.sections == first.sections


@pytest.mark.parametrize("words", [["--help"], ["serve", "--help"], ["metrics", "receive", "-h"]])
def test_help_teaches(words: list[str]) -> None:
    done = dockthread(*words)
    assert done.returncode == 0
    assert "Usage: dockthread" in done.stdout


@pytest.mark.parametrize(
    "words", [["nonsense"], ["check"], ["metrics", "receive", "--misbehave", "sulk@1s+1s"]]
)
def test_bad_words_end_with_2_and_say_what_would_do(words: list[str]) -> None:
    done = dockthread(*words)
    assert done.returncode == 2
    assert "Error: " in done.stderr


def test_a_bad_operators_file_ends_a_start_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[graphite x]\naddress = nowhere\n")
    config = str(ROOT / "example" / "config.json")
    done = dockthread("serve", "--config", str(path), NODE_CONFIG=config, NODE_LISTEN="127.0.0.1:0")
    assert done.returncode == 2
    assert (
        done.stderr
        == f"dockthread: {path}: [graphite x] address: 'nowhere' is not an address; write HOST:PORT\n"
    )


def test_logs_as_json_lines_bind_the_ingress_and_go_where_the_file_says(tmp_path: Path) -> None:
    path, log = tmp_path / "my.ini", tmp_path / "log"
    path.write_text(f"[log]\nform = json\ntarget = {log}\n")
    environ = {"NODE_CONFIG": str(ROOT / "example" / "config.json"), "NODE_LISTEN": "127.0.0.1:0"}
    command = [sys.executable, "-m", "dockthread", "serve", "--config", str(path)]
    with subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, **environ}, stderr=subprocess.PIPE
    ) as process:
        while not (log.exists() and "serving" in log.read_text()):
            assert process.poll() is None
        process.terminate()
        assert process.wait(timeout=30) == 0
        assert process.stderr is not None and process.stderr.read() == b""
    rows = [json.loads(line) for line in log.read_text().splitlines()]
    assert {row["ingress"] for row in rows} == {"n0"}
    assert [row["message"] for row in rows][-1] == "draining -> stopped"
    assert all({"time", "level", "message", "module"} <= row.keys() for row in rows)


def test_every_metric_is_listed() -> None:
    rows = [
        json.loads(line) for line in dockthread("metrics", "list", "--json").stdout.splitlines()
    ]
    assert "answers.{class}.{plan}.{outcome}" in {row["path"] for row in rows}
    assert all(
        row["meaning"] and row["unit"] and row["kind"] in ("derive", "gauge") for row in rows
    )


def test_the_daemon_loads_nothing_that_only_a_subcommand_or_telemetry_needs() -> None:
    code = "import dockthread.__main__, dockthread.daemon, sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    loaded = set(done.stdout.split())
    assert "dockthread.net.ingress" in loaded
    heavy = {"click", "msgspec", "ddsketch", "cryptography", "sqlite3", "configparser"}
    assert not loaded & heavy
    assert not {
        name for name in loaded if name.startswith(("dockthread.telemetry", "dockthread.cli"))
    }
