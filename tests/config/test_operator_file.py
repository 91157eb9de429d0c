"""The operator's file: parsed sections, and one line for each kind of problem."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockthread.errors import SettingsError
from dockthread.section_registry import (
    load_operator_file,
    parse_operator_file,
    read_operator_file,
)

GRAPHITE = "[graphite main]\naddress = 127.0.0.1:2003\n"


PROBLEMS = [
    (
        "[telemetry]\nintervall = 1s",
        "[telemetry] intervall: is not a key of this section; did you mean interval?",
    ),
    ("[telemetry]\ninterval = 10", "[telemetry] interval: '10' is not a duration"),
    (
        "[telemetry]\ninterval = 10ms",
        "[telemetry] interval: 10ms is out of range; write 100ms to 1h",
    ),
    (
        "[telemetry]\nfarewell = 1min",
        "[telemetry] farewell: 1min would delay the shutdown too long; write 5s or less",
    ),
    ("[telemetry]\nfirms = many", "[telemetry] firms: 'many' is not valid: expected `int`"),
    ("[telemetry]\nfirms = 5000", "[telemetry] firms: 5000 is out of range; write 0 to 500"),
    (
        "[telemetry]\nqueue = 1KiB",
        "[telemetry] queue: 1KiB is too small for one report; write 16KiB or more",
    ),
    ("[telemetry main]", "[telemetry main] takes no name; write [telemetry]"),
    ("[telemetri]", "[telemetri] is not a section; did you mean telemetry?"),
    ("[nonsense]", "[nonsense] is not a section; known: "),
    ("[graphite]\naddress = h:1", "[graphite] needs a name; such as [graphite main]"),
    ("[graphite main]", "[graphite main] address: is missing; write address = ..."),
    (
        "[graphite main]\naddress = here",
        "[graphite main] address: 'here' is not an address; write HOST:PORT",
    ),
    ("[graphite main]\naddress = h:0", "is not an address"),
    (
        GRAPHITE + "protocol = pikle",
        "protocol: 'pikle' is not one of plaintext, pickle: did you mean pickle?",
    ),
    (GRAPHITE + "prefix = a..b", "[graphite main] prefix: 'a..b' is not a valid path"),
    (GRAPHITE + "tags = perhaps", "[graphite main] tags: 'perhaps' is neither yes nor no"),
    (GRAPHITE + GRAPHITE, "[graphite main] is defined twice (line 3)"),
    (GRAPHITE + "address = h:1", "[graphite main] address: is set twice (line 3)"),
    (
        GRAPHITE + "[graphite  main]\naddress = h:1",
        "[graphite main] is defined twice; give one of them",
    ),
    (
        GRAPHITE + "[collectd main]\naddress = h:1",
        "[collectd main] has the name of a graphite receiver",
    ),
    (
        "[collectd c]\naddress = unix:here",
        "[collectd c] address: 'unix:here' is not the address of a unix socket; write unix:/PATH",
    ),
    (
        "[collectd c]\naddress = h:1\nsecurity = sign",
        "[collectd c] user: is needed for security = sign",
    ),
    (
        "[collectd c]\naddress = unix:/x\nsecurity = sign\nuser = u\npassword_file = f",
        "a unix socket supports neither signing nor encryption",
    ),
    (
        "[collectd c]\naddress = h:1\nplugin = a/b",
        "[collectd c] plugin: 'a/b' is not a valid plugin name",
    ),
    ("[log]\nlevel = LOUD", "[log] level: 'LOUD' is not one of DEBUG, INFO, WARNING, ERROR"),
    ("[log]\nform = xml", "[log] form: 'xml' is not one of text, json"),
    ("interval = 1s", "line 1 is outside any section; begin with a heading"),
    ("[telemetry]\nwhat is this", "line 2 cannot be parsed; write KEY = VALUE"),
]


@pytest.mark.parametrize(("text", "expected"), PROBLEMS)
def test_each_kind_of_problem_is_reported_in_one_line(text: str, expected: str) -> None:
    lines = [str(problem) for problem in parse_operator_file(text, "my.ini").errors]
    assert any(line.startswith("my.ini: ") and expected in line for line in lines), lines
    assert all("\n" not in line for line in lines)


def test_loading_raises_the_first_problem_and_the_number_of_further_problems(
    tmp_path: Path,
) -> None:
    path = tmp_path / "my.ini"
    path.write_text(
        "[telemetry]\ninterval = 1\nfirms = x\nfarewell = 1h\n[graphite a]\naddress = x\n[oops]\n"
    )
    assert len(read_operator_file(str(path)).errors) == 5
    with pytest.raises(SettingsError, match=r"interval: '1' .* \(and 4 more: dockthread check "):
        load_operator_file(str(path))


def test_missing_keys_have_their_defaults_and_comments_are_ignored() -> None:
    text = "# mine\n[graphite main]  ; the graphs\naddress = [::1]:2003  # v6\n"
    config = parse_operator_file(text, "my.ini")
    assert not config.errors
    graphite = config.named_sections("graphite")["main"]
    telemetry = config.section("telemetry")
    assert (graphite.address, graphite.protocol, graphite.prefix, graphite.tags) == (
        "[::1]:2003",
        "plaintext",
        "dockthread",
        False,
    )
    assert (telemetry.interval, telemetry.farewell, telemetry.queue) == (10_000.0, 500.0, None)
    assert config.explicit_keys == {("graphite", "main"): {"address"}}


@pytest.mark.parametrize(
    ("data", "reason"),
    [(b"\xff\xfe", "not UTF-8"), (None, "cannot be read"), (b"#" * (5 << 20), "larger")],
)
def test_a_file_that_cannot_be_read_has_one_problem(
    tmp_path: Path, data: bytes | None, reason: str
) -> None:
    path = tmp_path / "my.ini"
    if data is not None:
        path.write_bytes(data)
    errors = read_operator_file(str(path)).errors
    assert len(errors) == 1
    assert reason in str(errors[0])


def test_a_load_error_has_file_section_key_reason_and_remedy_as_fields(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text("[telemetry]\ninterval = 10ms\n")
    with pytest.raises(SettingsError) as raised_error:
        load_operator_file(str(path))
    error = raised_error.value
    assert error.file == str(path)
    assert error.section == "telemetry"
    assert error.key == "interval"
    assert error.reason == "10ms is out of range"
    assert error.remedy == "write 100ms to 1h"
    assert str(error) == (f"{path}: [telemetry] interval: 10ms is out of range; write 100ms to 1h")
