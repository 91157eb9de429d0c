"""The program as it is started: spoken to over sockets, stopped by signal, and misconfigured."""

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
    FIRST_ID,
    KEY,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    serves,
    serving,
    target,
    until,
)

ROOT = Path(__file__).parents[2]
CONFIG = ROOT / "example" / "config.json"


@contextmanager
def program(
    *command: str, says: str, **environ: str
) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """A process, once it has printed the line that holds its address, and that address."""
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
                if found := re.search(rf"{says} (\S+)", line):
                    yield process, found[1]
                    break
            else:
                raise AssertionError(f"{command} ended without a word")
        finally:
            process.kill()


@contextmanager
def example(work_ms: int) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """The example as its README starts it, but for its ports."""
    toy = ("example/toy_server.py", "--discovery", "127.0.0.1:0", "--work-ms", str(work_ms))
    with program(*toy, says="discovery at") as (_, discovery):
        environ = {
            "NODE_CONFIG": str(CONFIG),
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": discovery,
        }
        with program("-m", "dockthread", says="listens on", **environ) as found:
            run(ready(found[1]))
            yield found


async def ready(address: str) -> None:
    """Until it is ready to serve: here it has to hear the destination set from discovery first."""
    client = await Client.open(int(address.rsplit(":")[-1]))
    answer = b""
    while answer != b"PONG":
        client.send(b"PING")
        answer = await client.answer()
        assert answer in (b"PONG", "LOADING not ready to serve")


def test_the_example_serves_a_newcomer() -> None:
    with example(work_ms=5) as (_, address):
        done = subprocess.run(
            [sys.executable, "example/ask.py", address],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
    lines = done.stdout.splitlines()
    assert lines[0] == "PING: PONG"
    assert [bool(re.search("says yes to", line)) for line in lines[1:]] == [True] * 4


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_ends_it_once_all_that_was_taken_is_answered(number: signal.Signals) -> None:
    with example(work_ms=1500) as (process, address):

        async def scenario() -> None:
            client = await Client.open(int(address.rsplit(":")[-1]))
            terms = b"c=seat-checkout,t=klein,d=9000"
            client.send(b"API.WRITE", KEY, b"%016x" % FIRST_ID, terms)
            client.send(b"PING")  # answered behind it
            process.send_signal(number)
            assert (await client.answer()).endswith(b"says yes to %016x" % FIRST_ID)
            assert await client.answer() == b"PONG"
            assert await client.answer() is None

        run(scenario())
        assert process.wait(timeout=30) == 0
        assert process.stdout is not None
        phases = re.findall(r"INFO \S+ -> (\S+)", process.stdout.read())
    assert phases == ["serving", "lingering", "draining", "stopped"]


def test_sighup_moves_the_watch_in_any_phase_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new, path = Discovery(), Discovery(), tmp_path / "config.json"
        known, at_old = message(7, target("a", 1), full=True), f"127.0.0.1:{await old.start()}"
        told = raw_config(known, await new.start())
        path.write_text(json.dumps(told))
        environ = {"NODE_CONFIG": str(path), "NODE_DISCOVERY": at_old}
        with program("-m", "dockthread", says="listens on", **environ) as (process, address):
            await until(lambda: old.paths)
            assert process.stdout is not None and not new.paths
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            while "old configuration stays" not in await asyncio.to_thread(process.stdout.readline):
                assert process.poll() is None
            path.write_text(json.dumps(told))
            process.send_signal(signal.SIGHUP)
            # The environment still names the old address, and may not win.
            await until(lambda: new.paths)
            assert (new.paths, len(old.paths)) == ([b"/discovery/hosts?watch=1&after=7"], 1)
            await ready(address)
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            assert process.returncode == 0

    run(scenario())


def test_a_sighup_that_comes_while_it_starts_is_heeded_once_it_serves(tmp_path: Path) -> None:
    """Its configuration may have been read before: it is a pipe here, and read when this test
    writes to it.
    """

    async def scenario() -> None:
        old, new, path = Discovery(), Discovery(), tmp_path / "config.json"
        known = message(7, target("a", 1), full=True)
        texts = [json.dumps(raw_config(known, await discovery.start())) for discovery in (old, new)]

        async def opened() -> int:
            os.mkfifo(path)
            while True:
                try:
                    pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                except OSError:  # nobody reads it yet
                    await asyncio.sleep(0.01)
                    continue
                os.unlink(path)  # whoever reads it once more waits for the next one
                return pipe

        environ = os.environ | {"NODE_CONFIG": str(path)}
        first = asyncio.create_task(opened())
        await until(path.exists)
        with subprocess.Popen(
            [sys.executable, "-m", "dockthread"], cwd=ROOT, env=environ
        ) as process:
            try:
                pipe = await first
                second = asyncio.create_task(opened())
                await until(path.exists)
                process.send_signal(signal.SIGHUP)
                os.write(pipe, texts[0].encode())
                os.close(pipe)
                pipe = await second
                os.write(pipe, texts[1].encode())
                os.close(pipe)
                await until(lambda: new.paths)
            finally:
                process.kill()

    run(scenario())


def test_while_lingering_it_takes_new_connections_and_then_closes_idle_ones() -> None:
    async def scenario() -> None:
        backend, clock = Backend(serves), ManualClock()
        async with serving(backend, clock=clock) as (ingress, client, _):
            ingress.stop()
            await until(lambda: ingress.lifecycle.phase is Phase.LINGERING)
            late = await Client.open(ingress.address.port)
            assert await late.call() == b"value"
            clock.advance(499)
            ingress.timers.run_due()
            assert ingress.lifecycle.phase is Phase.LINGERING
            for _ in range(2):  # the end of lingering, and the last reads
                clock.advance(21)
                ingress.timers.run_due()
                await until(lambda: ingress.timers)
                await late.call() if ingress.lifecycle.ready else None
            # told at once that it is over
            assert [await late.answer(), await client.answer()] == [None, None]
            with pytest.raises(ConnectionRefusedError):
                await Client.open(ingress.address.port)
            late.writer.close()
            await until(lambda: ingress.client_connections == 1)
            assert ingress.draining
            clock.advance(1_300)  # one that rests all the same is left with that
            ingress.timers.run_due()
            await until(lambda: ingress.lifecycle.phase is Phase.STOPPED)

    run(scenario())


@pytest.mark.parametrize(
    ("start", "to"), [(Phase.STARTING, Phase.DRAINING), (Phase.DRAINING, Phase.SERVING)]
)
def test_phases_have_no_short_cuts_and_no_way_back(start: Phase, to: Phase) -> None:
    lifecycle = Lifecycle()
    lifecycle.phase = start
    with pytest.raises(RuntimeError):
        lifecycle.enter(to)


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
def test_a_bad_configuration_ends_it_with_one_plain_line(environ: dict[str, str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "dockthread"],
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(CONFIG), **environ},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1
    assert done.stderr.startswith("dockthread: ")


def test_a_malformed_known_list_ends_it_with_one_plain_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            json.loads(CONFIG.read_text()) | {"known": {"rev": "x"}, "listen": "127.0.0.1:0"}
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "dockthread"],
        cwd=ROOT,
        env={**os.environ, "NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode != 0
    assert "not an endpoint list" in done.stderr.splitlines()[-1]
