"""A log target that blocks or fails costs lines of the log, and no request its answer."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from dockthread.logs.sink import CHUNK_BYTES, LogSink
from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    target,
    until,
)

ROOT = Path(__file__).parents[2]
LONG_LINE = "x" * (3 * CHUNK_BYTES) + "\n"
REQUESTS = 300  # Their lines at TRACE are several times as long as the pipe's buffer.


def small_pipe() -> tuple[int, int]:
    """Return the reading and the writing end of a pipe that holds two chunks."""
    reading_end, writing_end = os.pipe()
    fcntl.fcntl(writing_end, fcntl.F_SETPIPE_SZ, 2 * CHUNK_BYTES)
    return reading_end, writing_end


def unused_port() -> int:
    """Return a port on which nothing listens now; the log cannot tell the process's own."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


def test_lines_that_a_full_pipe_does_not_take_are_lost_and_counted() -> None:
    """Guards against a log that blocks the event loop while nobody reads it."""
    reading_end, writing_end = small_pipe()
    with os.fdopen(reading_end, "rb", buffering=0) as reader, os.fdopen(writing_end, "w") as writer:
        sink = LogSink(writer)
        sink.write("first\n")
        for _ in range(3):
            sink.write(LONG_LINE)
        assert sink.lost_lines == 3
        text = reader.read(2 * CHUNK_BYTES)
        sink.write("second\n")
        sink.write("third\n")
        text += reader.read(2 * CHUNK_BYTES)
    lines = text.decode().splitlines()
    assert lines[0] == "first"
    assert lines[-3:] == ["3 log lines were lost before this one", "second", "third"]
    assert sink.lost_lines == 3


def test_a_full_disk_and_a_broken_pipe_raise_nothing() -> None:
    reading_end, writing_end = small_pipe()
    os.close(reading_end)
    with open("/dev/full", "w") as full, os.fdopen(writing_end, "w") as broken:
        for stream in (full, broken):
            sink = LogSink(stream)
            sink.write("lost\n")
            assert sink.lost_lines == 1


def test_lines_arrive_complete_and_in_order(tmp_path: Path) -> None:
    path = tmp_path / "log"
    with path.open("a", encoding="utf-8") as stream:
        sink = LogSink(stream)
        lines = ["ä\n", LONG_LINE, "\udcff\n", "last\n"]
        for line in lines:
            sink.write(line)
    assert path.read_text("utf-8") == "".join(lines).replace("\udcff", "\\udcff")
    assert sink.lost_lines == 0


@pytest.mark.parametrize("log", ["unread pipe", "closed", "full text file", "full JSON file"])
def test_a_process_answers_all_requests_whatever_its_log_does(log: str, tmp_path: Path) -> None:
    """Guards against requests that wait for a log target, or fail with it."""

    async def scenario() -> None:
        backend, discovery = Backend(), Discovery()
        endpoints = message(1, target("s-0", await backend.start()), full=True)
        settings = SETTINGS | {"Packages": [GROSS_PLAN | {"Refill": 1e6, "PeakUnits": 1e6}]}
        raw = raw_config(endpoints, await discovery.start(), settings=settings)
        (tmp_path / "config.json").write_text(json.dumps(raw))
        form = "json" if "JSON" in log else "text"
        log_target = "/dev/full" if "full" in log else "stderr"
        (tmp_path / "my.ini").write_text(f"[log]\nform = {form}\ntarget = {log_target}\n")
        reading_end, writing_end = small_pipe()
        if log == "closed":
            os.close(reading_end)
        port = unused_port()
        environ = {
            **os.environ,
            "NODE_CONFIG": str(tmp_path / "config.json"),
            "NODE_LISTEN": f"127.0.0.1:{port}",
            "DOCKTHREAD_CONFIG": str(tmp_path / "my.ini"),
            "DOCKTHREAD_LOG": "TRACE",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dockthread", cwd=ROOT, env=environ, stderr=writing_end
        )
        os.close(writing_end)
        try:
            await until(lambda: discovery.writers)
            client = await Client.open(port)
            for _ in range(REQUESTS):
                assert await client.call() == b"value"
            process.send_signal(signal.SIGTERM)
            assert await client.answer() is None
            client.writer.close()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run(scenario())
