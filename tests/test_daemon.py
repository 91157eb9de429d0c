"""The daemon as a process: sockets, signals, lifecycle phases and rejected configurations."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from dockthread.clock import ManualClock
from dockthread.net.lifecycle import Lifecycle, Phase
from tests.loopback import (
    CUSTOMER_KEY,
    FIRST_REQUEST_ID,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    reply_served,
    run,
    running_ingress,
    target,
    until,
)

ROOT = Path(__file__).parent.parent
CONFIG = ROOT / "example" / "config.json"


@contextmanager
def start_program(
    *command: str, address_label: str, **environ: str
) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Start a process; yield it and the address that it prints after `address_label`."""
    with subprocess.Popen(
        [sys.executable, *command],
        cwd=ROOT,
        env={**os.environ, **environ},
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    ) as process:
        try:
            assert process.stdout is not None
            for line in process.stdout:
                if match := re.search(rf"{address_label} (\S+)", line):
                    yield process, match[1]
                    break
            else:
                raise AssertionError(f"{command} ended without an address")
        finally:
            process.kill()


@contextmanager
def running_example(work_ms: int) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Start the example as its README does, except for the ports."""
    toy_command = ("example/toy_server.py", "--discovery", "127.0.0.1:0", "--work-ms", str(work_ms))
    with start_program(*toy_command, address_label="discovery at") as (_, discovery):
        environ = {
            "NODE_CONFIG": str(CONFIG),
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": discovery,
        }
        with start_program("-m", "dockthread", address_label="listens on", **environ) as match:
            run(wait_until_ready(match[1]))
            yield match


async def wait_until_ready(address: str) -> None:
    """Wait until the daemon has received an endpoint list and is ready to serve."""
    client = await Client.open(int(address.rsplit(":")[-1]))
    answer = b""
    while answer != b"PONG":
        client.send(b"PING")
        answer = await client.answer()
        assert answer in (b"PONG", "LOADING not ready to serve")


def test_the_example_serves_requests_as_described_in_its_readme() -> None:
    with running_example(work_ms=5) as (_, address):
        completed = subprocess.run(
            [sys.executable, "example/ask.py", address],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
    lines = completed.stdout.splitlines()
    assert lines[0] == "PING: PONG"
    assert [bool(re.search("says yes to", line)) for line in lines[1:]] == [True] * 4


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_stops_the_daemon_after_all_accepted_requests_are_answered(
    signal_number: signal.Signals,
) -> None:
    with running_example(work_ms=1500) as (process, address):

        async def scenario() -> None:
            client = await Client.open(int(address.rsplit(":")[-1]))
            terms = b"c=seat-checkout,t=klein,d=9000"
            client.send(b"API.WRITE", CUSTOMER_KEY, b"%016x" % FIRST_REQUEST_ID, terms)
            client.send(b"PING")  # answered after the request
            process.send_signal(signal_number)
            assert (await client.answer()).endswith(b"says yes to %016x" % FIRST_REQUEST_ID)
            assert await client.answer() == b"PONG"
            assert await client.answer() is None

        run(scenario())
        assert process.wait(timeout=30) == 0
        assert process.stdout is not None
        phases = re.findall(r"INFO \S+ -> (\S+)", process.stdout.read())
    assert phases == ["serving", "lingering", "draining", "stopped"]


def test_sighup_changes_the_discovery_address_in_any_phase_and_an_invalid_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        old_discovery, new_discovery, path = Discovery(), Discovery(), tmp_path / "config.json"
        endpoint_list, old_address = (
            message(7, target("a", 1), full=True),
            f"127.0.0.1:{await old_discovery.start()}",
        )
        new_config = raw_config(endpoint_list, await new_discovery.start())
        path.write_text(json.dumps(new_config))
        environ = {"NODE_CONFIG": str(path), "NODE_DISCOVERY": old_address}
        with start_program("-m", "dockthread", address_label="listens on", **environ) as (
            process,
            address,
        ):
            await until(lambda: old_discovery.paths)
            assert process.stdout is not None and not new_discovery.paths
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while "old configuration stays" not in await asyncio.to_thread(process.stdout.readline):
                assert process.poll() is None
            path.write_text(json.dumps(new_config))
            process.send_signal(signal.SIGHUP)
            # The environment still names the old address, and must not override the file.
            await until(lambda: new_discovery.paths)
            assert (new_discovery.paths, len(old_discovery.paths)) == (
                [b"/discovery/hosts?watch=1&after=7"],
                1,
            )
            await wait_until_ready(address)
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert process.returncode == 0

    run(scenario())


def test_a_sighup_during_startup_takes_effect_when_the_daemon_serves(tmp_path: Path) -> None:
    """A SIGHUP that arrives after the configuration was read must cause a reload.

    The configuration file is a pipe here, so the test controls when it is read.
    """

    async def scenario() -> None:
        old_discovery, new_discovery, path = Discovery(), Discovery(), tmp_path / "config.json"
        endpoint_list = message(7, target("a", 1), full=True)
        texts = [
            json.dumps(raw_config(endpoint_list, await discovery.start()))
            for discovery in (old_discovery, new_discovery)
        ]

        async def open_pipe_for_reader() -> int:
            os.mkfifo(path)
            while True:
                try:
                    pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError:  # no process reads it yet
                    await asyncio.sleep(0.01)
                    continue
                os.unlink(path)  # so that the next read uses a new pipe
                return pipe

        environ = os.environ | {"NODE_CONFIG": str(path)}
        first = asyncio.create_task(open_pipe_for_reader())
        await until(path.exists)
        with subprocess.Popen(
            [sys.executable, "-m", "dockthread"], cwd=ROOT, env=environ
        ) as process:
            try:
                pipe = await first
                second = asyncio.create_task(open_pipe_for_reader())
                await until(path.exists)
                process.send_signal(signal.SIGHUP)
                os.write(pipe, texts[0].encode())
                os.close(pipe)
                pipe = await second
                os.write(pipe, texts[1].encode())
                os.close(pipe)
                await until(lambda: new_discovery.paths)
            finally:
                process.kill()

    run(scenario())


def test_a_lingering_ingress_accepts_connections_and_then_closes_idle_ones() -> None:
    async def scenario() -> None:
        backend, clock = Backend(reply_served), ManualClock()
        async with running_ingress(backend, clock=clock) as (ingress, client, _):
            ingress.stop()
            await until(lambda: ingress.lifecycle.phase is Phase.LINGERING)
            late_client = await Client.open(ingress.address.port)
            assert await late_client.call() == b"value"
            clock.advance(499)
            ingress.timers.run_due()
            assert ingress.lifecycle.phase is Phase.LINGERING
            for _ in range(2):  # the end of lingering, then the delay for the final reads
                clock.advance(21)
                ingress.timers.run_due()
                await until(lambda: ingress.timers)
                await late_client.call() if ingress.lifecycle.ready else None
            # Idle connections are closed when draining begins.
            assert [await late_client.answer(), await client.answer()] == [None, None]
            with pytest.raises(ConnectionRefusedError):
                await Client.open(ingress.address.port)
            late_client.writer.close()
            await until(lambda: ingress.client_connection_count == 1)
            assert ingress.draining
            clock.advance(1_300)  # past the close timeout for clients that stay connected
            ingress.timers.run_due()
            await until(lambda: ingress.lifecycle.phase is Phase.STOPPED)

    run(scenario())


@pytest.mark.parametrize(
    ("start_phase", "target_phase"),
    [(Phase.STARTING, Phase.DRAINING), (Phase.DRAINING, Phase.SERVING)],
)
def test_a_lifecycle_phase_cannot_be_skipped_or_entered_again(
    start_phase: Phase, target_phase: Phase
) -> None:
    lifecycle = Lifecycle()
    lifecycle.phase = start_phase
    with pytest.raises(RuntimeError):
        lifecycle.enter(target_phase)


@pytest.mark.parametrize(
    "environ",
    [
        {"NODE_CONFIG": ""},
        {"NODE_CONFIG": "/no/such/file"},
        {"NODE_CONFIG": str(ROOT / "README.md")},
        {"NODE_LISTEN": "nowhere"},
        {"NODE_LISTEN": "192.0.2.1:1"},
        {"DOCKTHREAD_LOG": "loud"},
    ],
)
def test_an_invalid_configuration_ends_the_daemon_with_a_one_line_error(
    environ: dict[str, str],
) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "dockthread"],
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(CONFIG), **environ},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode != 0
    assert len(completed.stderr.splitlines()) == 1
    assert completed.stderr.startswith("dockthread: ")


def test_a_malformed_cached_list_ends_the_daemon_with_an_error(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            json.loads(CONFIG.read_text()) | {"known": {"rev": "x"}, "listen": "127.0.0.1:0"}
        )
    )
    completed = subprocess.run(
        [sys.executable, "-m", "dockthread"],
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode != 0
    assert "not an endpoint list" in completed.stderr.splitlines()[-1]
