"""The operator's file: what is read, and each kind of fault with its one plain line."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockthread.config.quantities import Duration, Size
from dockthread.config.section_registry import (
    load_operator_file,
    parse_operator_file,
    read_operator_file,
)
from dockthread.errors import SettingsError

GRAPHITE = "[graphite main]\naddress = 127.0.0.1:2003\n"


@pytest.mark.parametrize(
    ("text", "ms"),
    [("250ms", 250), ("10s", 10_000), ("1.5 s", 1500), ("2min", 120_000), ("500us", 0.5)],
)
def test_durations(text: str, ms: float) -> None:
    assert Duration.parse(text) == ms
    assert Duration.parse(str(Duration.parse(text))) == ms  # what is shown can be read again


@pytest.mark.parametrize("text", ["", "10", "s", "-1s", "1e3s", "10 parsecs", "1s 2s", "inf s"])
def test_no_durations(text: str) -> None:
    with pytest.raises(ValueError, match="not a duration"):
        Duration.parse(text)


@pytest.mark.parametrize(
    ("text", "size"), [("64KiB", 65536), ("1MiB", 1 << 20), ("7B", 7), ("2kb", 2000)]
)
def test_sizes(text: str, size: int) -> None:
    assert Size.parse(text) == size
    assert Size.parse(str(Size.parse(text))) == size


BAD = [
    (
        "[telemetry]\nintervall = 1s",
        "[telemetry] intervall: is no key of this section; did you mean interval?",
    ),
    ("[telemetry]\ninterval = 10", "[telemetry] interval: '10' is not a duration"),
    (
        "[telemetry]\ninterval = 10ms",
        "[telemetry] interval: 10ms is out of range; 100ms to 1h would do",
    ),
    (
        "[telemetry]\nfarewell = 1min",
        "[telemetry] farewell: 1min would hold up the exit; 5s is the most",
    ),
    ("[telemetry]\nfirms = many", "[telemetry] firms: 'many' is not right: expected `int`"),
    ("[telemetry]\nfirms = 5000", "[telemetry] firms: 5000 is out of range; 0 to 500 would do"),
    ("[telemetry]\nqueue = 1KiB", "[telemetry] queue: 1KiB holds no report; 16KiB is the least"),
    ("[telemetry main]", "[telemetry main] takes no name; write [telemetry]"),
    ("[telemetri]", "[telemetri] is no section; did you mean telemetry?"),
    ("[nonsense]", "[nonsense] is no section; known: "),
    ("[graphite]\naddress = h:1", "[graphite] needs a name; such as [graphite main]"),
    ("[graphite main]", "[graphite main] address: is missing; write address = ..."),
    (
        "[graphite main]\naddress = here",
        "[graphite main] address: 'here' is no address; write HOST:PORT",
    ),
    ("[graphite main]\naddress = h:0", "is no address"),
    (
        GRAPHITE + "protocol = pikle",
        "protocol: 'pikle' is not one of plaintext, pickle: did you mean pickle?",
    ),
    (GRAPHITE + "prefix = a..b", "[graphite main] prefix: 'a..b' is no path"),
    (GRAPHITE + "tags = perhaps", "[graphite main] tags: 'perhaps' is neither yes nor no"),
    (GRAPHITE + GRAPHITE, "[graphite main] stands twice (line 3)"),
    (GRAPHITE + "address = h:1", "[graphite main] address: stands twice (line 3)"),
    (
        GRAPHITE + "[graphite  main]\naddress = h:1",
        "[graphite main] stands twice; give one of them",
    ),
    (
        GRAPHITE + "[collectd main]\naddress = h:1",
        "[collectd main] has the name of a graphite receiver",
    ),
    (
        "[collectd c]\naddress = unix:here",
        "[collectd c] address: 'unix:here' names no socket; unix:/PATH",
    ),
    (
        "[collectd c]\naddress = h:1\nsecurity = sign",
        "[collectd c] user: is needed for security = sign",
    ),
    (
        "[collectd c]\naddress = unix:/x\nsecurity = sign\nuser = u\npassword_file = f",
        "a unix socket knows none",
    ),
    ("[collectd c]\naddress = h:1\nplugin = a/b", "[collectd c] plugin: 'a/b' is no plugin's name"),
    ("[log]\nlevel = LOUD", "[log] level: 'LOUD' is not one of DEBUG, INFO, WARNING, ERROR"),
    ("[log]\nform = xml", "[log] form: 'xml' is not one of text, json"),
    ("interval = 1s", "line 1 stands before any section; begin with a head"),
    ("[telemetry]\nwhat is this", "line 2 cannot be read; write KEY = VALUE"),
]


@pytest.mark.parametrize(("text", "expected"), BAD)
def test_what_is_wrong_is_one_plain_line(text: str, expected: str) -> None:
    problems = [str(p) for p in parse_operator_file(text, "my.ini").errors]
    assert any(line.startswith("my.ini: ") and expected in line for line in problems), problems
    assert all("\n" not in line for line in problems)


def test_all_faults_of_a_file_are_found_and_the_first_is_what_a_start_says(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text(
        "[telemetry]\ninterval = 1\nfirms = x\nfarewell = 1h\n[graphite a]\naddress = x\n[oops]\n"
    )
    assert len(read_operator_file(str(path)).errors) == 5
    with pytest.raises(SettingsError, match=r"interval: '1' .* \(and 4 more: dockthread check "):
        load_operator_file(str(path))


def test_what_is_left_out_has_its_default_and_comments_are_passed_over() -> None:
    found = parse_operator_file(
        "# mine\n[graphite main]  ; the graphs\naddress = [::1]:2003  # v6\n", "my.ini"
    )
    assert not found.errors
    graphite, telemetry = found.named_sections("graphite")["main"], found.section("telemetry")
    assert (graphite.address, graphite.protocol, graphite.prefix, graphite.tags) == (
        "[::1]:2003",
        "plaintext",
        "dockthread",
        False,
    )
    assert (telemetry.interval, telemetry.farewell, telemetry.queue) == (10_000.0, 500.0, None)
    assert found.explicit_keys == {("graphite", "main"): {"address"}}


@pytest.mark.parametrize(
    ("data", "wrong"),
    [(b"\xff\xfe", "not UTF-8"), (None, "cannot be read"), (b"#" * (5 << 20), "larger")],
)
def test_no_file(tmp_path: Path, data: bytes | None, wrong: str) -> None:
    path = tmp_path / "my.ini"
    if data is not None:
        path.write_bytes(data)
    assert wrong in str(read_operator_file(str(path)).errors[0])
