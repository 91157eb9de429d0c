"""The load tool: arrivals from a seed, an open loop that hides no stall, and runs that are void."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockthread.lab.arrivals import Arrival, Mix, drawn, read_trace, shape, weights, write_trace
from dockthread.lab.load import Load, Target, word_of
from dockthread.lab.outcome import Outcome
from tests.loopback import Backend, run

ROOT = Path(__file__).parents[2]
MIX = Mix(
    (("seat-status", 3.0), ("seat-checkout", 1.0)), (("klein", 2.0), ("gross", 1.0)), firms=50
)
DEADLINES = {"seat-status": 4.0, "seat-checkout": 12.0}


@pytest.mark.parametrize(
    "text", ["", "140", "140@", "x@1s", "1>@1s", "0@1s", "-1@1s", "140@1", "2e5@1s", "1e5@1h"]
)
def test_no_shape(text: str) -> None:
    with pytest.raises(ValueError):
        shape(text)


@pytest.mark.parametrize("text", ["a:0", "a:x", ":1", ""])
def test_no_weights(text: str) -> None:
    with pytest.raises(ValueError):
        weights(text)


@given(st.floats(1, 500), st.floats(1, 500), st.integers(0, 9))
def test_arrivals_come_in_order_and_in_number_as_the_shape_says(
    begin: float, end: float, seed: int
) -> None:
    pieces = shape(f"{begin}>{end}@10s,{end}@5s")
    times = [one.at for one in drawn(pieces, MIX, seed)]
    expected = sum(piece.requests for piece in pieces)
    assert times == sorted(times)
    assert not times or times[-1] <= 15.0
    assert abs(len(times) - expected) <= 6 * expected**0.5 + 6


def test_a_ramp_puts_three_quarters_into_its_second_half() -> None:
    times = [one.at for one in drawn(shape("0>2000@10s"), MIX, 1)]
    assert sum(at > 5 for at in times) / len(times) == pytest.approx(0.75, abs=0.02)


def test_a_seed_repeats_and_another_mix_keeps_the_times() -> None:
    pieces = shape("100@5s")
    one = list(drawn(pieces, MIX, 7))
    assert one == list(drawn(pieces, MIX, 7)) != list(drawn(pieces, MIX, 8))
    other = list(drawn(pieces, Mix((("seat-status", 1.0),), (("gross", 1.0),)), 7))
    assert [a.at for a in other] == [a.at for a in one]


def test_a_trace_is_read_as_written_and_a_bad_one_names_its_line(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    arrivals = list(drawn(shape("50@2s"), MIX, 3))
    assert write_trace(path, arrivals) == len(arrivals)
    found = list(read_trace(path))
    assert [a[1:] for a in found] == [a[1:] for a in arrivals]
    assert all(abs(a.at - b.at) < 1e-6 for a, b in zip(found, arrivals, strict=True))
    for line, wrong in (
        ("x,a,b,1,1,1,0", "line 3 is no arrival"),
        ("0.5,a,b,1,1,1,0", "line 3 goes back in time"),
    ):
        path.write_text(f"{','.join(Arrival._fields)}\n1.0,a,b,1,1,1,0\n{line}\n")
        with pytest.raises(ValueError, match=wrong):
            list(read_trace(path))


def steady(rate: float, seconds: float) -> list[Arrival]:
    return [
        Arrival(n / rate, "seat-status", "gross", 1 + n % 5, 1, 1, 0)
        for n in range(int(rate * seconds))
    ]


def test_a_stall_is_in_the_time_of_every_request_it_touched() -> None:
    """A closed loop would see one slow answer; the open one sees all that were due while the server
    stood.
    """

    async def scenario() -> None:
        begun: list[float] = []

        async def stalls(args: list[bytes]) -> bytes | None:
            now = asyncio.get_running_loop().time()
            begun.append(now)
            stall_end = begun[0] + 0.9
            if 0.3 < now - begun[0] < 0.9:
                await asyncio.sleep(stall_end - now)
            return b"$5\r\nvalue\r\n"

        port = await Backend(stalls).start()
        target = Target("127.0.0.1", port, DEADLINES, frozenset())
        outcome = await Load(target, 1).run(steady(100, 1.5))
        found = outcome.summary()
        assert found["outcomes"]["served"] == 150
        # 60 of 150 were due in the 600 ms, and waited 300 ms on average.
        assert found["times_ms"]["seat-status"]["p90"] > 350
        assert found["times_ms"]["seat-status"]["max"] > 550

    run(scenario())


def test_every_request_has_one_outcome() -> None:
    async def scenario() -> None:
        async def odd(args: list[bytes]) -> bytes | None:
            return {
                0: b"$5\r\nvalue\r\n", 1: b"-BUSY 250\r\n", 2: b"-ERR failed\r\n", 3: None, 4: b"*1\r\n$1\r\nv\r\n",
            }.get(int(args[1], 16) - 1) or (None if args[1].endswith(b"4") else b"$-1\r\n")  # fmt: skip

        port = await Backend(odd).start()
        target = Target("127.0.0.1", port, DEADLINES, frozenset())
        outcome = await Load(target, 1).run(steady(200, 0.5))
        counts = {
            word: outcome.total(word)
            for word in ("served", "refused", "failed", "lost", "late", "unsent")
        }
        assert counts == {
            "served": 40,
            "refused": 20,
            "failed": 20,
            "lost": 20,
            "late": 0,
            "unsent": 0,
        }

    run(scenario())


def test_what_does_not_come_in_time_is_late_and_its_connection_closed() -> None:
    async def scenario() -> None:
        async def hangs(args: list[bytes]) -> bytes | None:
            await asyncio.Event().wait()
            return None

        backend = Backend(hangs)
        target = Target(
            "127.0.0.1",
            await backend.start(),
            {"seat-status": 0.2},
            frozenset(),
            most_connections=4,
        )
        outcome = await Load(target, 1).run(steady(40, 0.5))
        assert outcome.total("late") == 20, "those that waited for a connection, too"
        await asyncio.sleep(0.05)
        assert backend.closed == backend.opened

    run(scenario())


def test_where_nobody_listens_all_is_unsent() -> None:
    async def scenario() -> None:
        outcome = await Load(Target("127.0.0.1", 1, DEADLINES, frozenset()), 1).run(
            steady(100, 0.2)
        )
        assert outcome.total("unsent") == 20

    run(scenario())


def test_a_run_in_which_the_tool_fell_behind_is_void() -> None:
    good, bad = Outcome(), Outcome()
    for n in range(1000):
        good.started(0.0002)
        bad.started(0.05 if n % 20 == 0 else 0.0002)
    assert not good.void
    assert "the tool itself fell behind" in bad.void


def test_outcomes_add_up_over_processes() -> None:
    one, other, total = Outcome(), Outcome(), Outcome()
    for n, part in enumerate((one, other)):
        for k in range(100):
            part.started(0.001)
            part.note("c", "served", 0.001 * (k + 1) + n)
        part.seconds = 1.0 + n
        total.add(json.loads(json.dumps(part.packed())))
    assert (total.asked, total.total("served"), total.seconds) == (200, 200, 2.0)
    assert total.summary()["times_ms"]["c"]["max"] == pytest.approx(1100, rel=0.002)
    assert total.summary()["times_ms"]["c"]["p50"] == pytest.approx(100, rel=0.02)


@pytest.mark.parametrize(
    ("answer", "word"),
    [
        (b"v", "served"),
        ([b"v", None], "served"),
        (None, "failed"),
        ([], "failed"),
        ([None], "failed"),
        (7, "failed"),
    ],
)
def test_the_protocols_table_of_answers(answer: Any, word: str) -> None:
    assert word_of(answer) == word


def test_the_command_from_two_processes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def serves(args: list[bytes]) -> bytes | None:
            return b"$5\r\nvalue\r\n"

        backend = Backend(serves)
        port = await backend.start()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dockthread", "lab", "load", f"127.0.0.1:{port}", "--rate", "100@1s", "--json",
            "--processes", "2", "--record", str(tmp_path / "t.csv"), cwd=ROOT, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        said, _ = await process.communicate()
        found = json.loads(said)
        assert process.returncode in (0, 2)  # 2: this machine was too busy
        assert (
            found["outcomes"]["served"]
            == found["asked"]
            == len(list(read_trace(tmp_path / "t.csv")))
        )
        ids = [args[2] for args in backend.seen]
        assert len(set(ids)) == len(ids), "no id twice"

    run(scenario())


def test_bad_words_are_named() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "dockthread", "lab", "load", "nowhere"], cwd=ROOT, capture_output=True, text=True,
        check=False, timeout=60,
    )  # fmt: skip
    assert done.returncode == 2
    assert "'nowhere' is no address: write HOST:PORT" in done.stderr
