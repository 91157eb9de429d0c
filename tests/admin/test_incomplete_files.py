"""A file that is short of a key at SIGHUP changes nothing, in a process on real sockets."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import subprocess
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import (
    CUSTOMER_KEY,
    SETTINGS,
    STATUS_CLASS,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    target,
)
from tests.net.support import VALUE_REPLY
from tests.test_daemon import start_program, wait_until_ready

MARK_CLASS = STATUS_CLASS | {
    "Name": "mark",
    "Effect": "token",
    "Group": "zone",
    "Window": 2_500_000,
}
HALLS = ("hall-a", "hall-b")
KEYED_REQUESTS = 20


class Halls:
    """Backends that close the connection under the first attempt of each key, once it has run."""

    def __init__(self) -> None:
        self.halls_by_key: dict[bytes, set[str]] = {}

    def backend(self, hall: str) -> Backend:
        """Return a backend of a hall."""

        async def answer(args: list[bytes]) -> bytes | None:
            key = args[3].partition(b"k=")[2].partition(b",")[0]
            is_first = key not in self.halls_by_key
            self.halls_by_key.setdefault(key, set()).add(hall)
            return None if is_first else VALUE_REPLY

        return Backend(answer)


async def read_until(process: subprocess.Popen[str], text: str) -> str:
    """Return the first line of the process's log that holds `text`."""
    assert process.stdout is not None
    while text not in (line := await asyncio.to_thread(process.stdout.readline)):
        assert line, f"the process ended before it logged {text!r}"
    return line


async def metrics_of(address: str) -> str:
    """Return the metrics that the management endpoint shows."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
    text = (await reader.read()).decode()
    writer.close()
    return text


@pytest.mark.parametrize(
    "path",
    [
        ("Classes", 1, "Group"),
        ("Classes", 1, "Window"),
        ("Classes", 0, "Points"),
        ("Limits", "SendCap"),
        ("Packages", 0, "CeilingRate"),
        ("Safety", "ColdShare"),
        ("Safety",),
    ],
    ids=lambda path: ".".join(map(str, path)),
)
def test_a_keyed_request_stays_in_its_hall_after_a_file_short_of_a_key(
    path: tuple[Any, ...], tmp_path: Path
) -> None:
    """Guards against a retry in another hall, which does not know the key and runs it again."""

    async def scenario() -> None:
        halls, discovery, config_path = Halls(), Discovery(), tmp_path / "config.json"
        targets = [
            target(f"s-{number}", await halls.backend(hall).start()) | {"az": hall}
            for number, hall in enumerate(HALLS * 2)
        ]
        settings = copy.deepcopy(SETTINGS | {"Classes": [STATUS_CLASS, MARK_CLASS]})
        endpoints = message(1, *targets, full=True)
        raw = raw_config(endpoints, await discovery.start(), settings=settings)
        raw["management"] = "127.0.0.1:0"
        config_path.write_text(json.dumps(raw))
        environ = {"NODE_CONFIG": str(config_path), "TMPDIR": str(tmp_path)}
        label = "management endpoint on"
        with start_program("-m", "dockthread", address_label=label, **environ) as started:
            process, management = started
            address = (await read_until(process, "listens on")).split()[-1]
            await wait_until_ready(address)
            incomplete: Any = settings
            for key in path[:-1]:
                incomplete = incomplete[key]
            del incomplete[path[-1]]
            other_discovery = Discovery()
            raw["discovery"] = f"127.0.0.1:{await other_discovery.start()}"
            config_path.write_text(json.dumps(raw))
            process.send_signal(signal.SIGHUP)
            line = await read_until(process, "old configuration stays in effect")
            assert f"{path[-1]} is missing" in line
            client = await Client.open(int(address.rsplit(":")[-1]))
            for number in range(KEYED_REQUESTS):
                terms = b"c=mark,t=gross,d=4000,k=%016x" % number
                client.send(b"API.WRITE", CUSTOMER_KEY, b"%016x" % (number + 1), terms)
                assert await client.answer() == b"value"
            assert len(halls.halls_by_key) == KEYED_REQUESTS
            assert all(len(ran) == 1 for ran in halls.halls_by_key.values())
            metrics = await metrics_of(management)
            assert "app_config_applied 0\n" in metrics
            assert "app_config_rejected 1\n" in metrics
            assert not other_discovery.paths  # the addresses of the file are not used either

    run(scenario())
