"""Tests of the load generator: arrivals drawn from a seed, traces, open-loop latency and results."""

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

from dockthread.lab.arrivals import (
    TRACE_COLUMNS,
    Arrival,
    RateShapeError,
    RequestMix,
    TraceError,
    WeightsError,
    draw_arrivals,
    parse_rate_shape,
    parse_weights,
    read_trace,
    write_trace,
)
from dockthread.lab.load import LoadGenerator, LoadTarget, classify_response
from dockthread.lab.load_result import LoadResult, RequestOutcome
from tests.loopback import Backend, run

ROOT = Path(__file__).parents[2]
MIX = RequestMix(
    (("seat-status", 3.0), ("seat-checkout", 1.0)),
    (("klein", 2.0), ("gross", 1.0)),
    customer_count=50,
)
DEADLINES = {"seat-status": 4.0, "seat-checkout": 12.0}
VALUE = b"$5\r\nvalue\r\n"


@pytest.mark.parametrize(
    "text", ["", "140", "140@", "x@1s", "1>@1s", "0@1s", "-1@1s", "140@1", "2e5@1s", "1e5@1h"]
)
def test_invalid_rate_shape_is_rejected(text: str) -> None:
    with pytest.raises(RateShapeError):
        parse_rate_shape(text)


@pytest.mark.parametrize("text", ["a:0", "a:x", ":1", ""])
def test_invalid_list_of_weights_is_rejected(text: str) -> None:
    with pytest.raises(WeightsError):
        parse_weights(text)


@given(st.floats(1, 500), st.floats(1, 500), st.integers(0, 9))
def test_arrivals_are_ordered_and_their_number_matches_the_rate_shape(
    start_rate: float, end_rate: float, seed: int
) -> None:
    segments = parse_rate_shape(f"{start_rate}>{end_rate}@10s,{end_rate}@5s")
    times = [arrival.at for arrival in draw_arrivals(segments, MIX, seed)]
    expected = sum(segment.expected_requests for segment in segments)
    assert times == sorted(times)
    assert not times or times[-1] <= 15.0
    assert abs(len(times) - expected) <= 6 * expected**0.5 + 6


def test_rate_rising_from_zero_puts_three_quarters_of_arrivals_in_the_second_half() -> None:
    segments = parse_rate_shape("0>2000@10s")
    times = [arrival.at for arrival in draw_arrivals(segments, MIX, 1)]
    assert sum(at > 5 for at in times) / len(times) == pytest.approx(0.75, abs=0.02)


def test_seed_repeats_its_arrivals_and_another_mix_keeps_the_arrival_times() -> None:
    segments = parse_rate_shape("100@5s")
    arrivals = list(draw_arrivals(segments, MIX, 7))
    assert arrivals == list(draw_arrivals(segments, MIX, 7))
    assert arrivals != list(draw_arrivals(segments, MIX, 8))
    other_mix = RequestMix((("seat-status", 1.0),), (("gross", 1.0),))
    other_arrivals = list(draw_arrivals(segments, other_mix, 7))
    assert [arrival.at for arrival in other_arrivals] == [arrival.at for arrival in arrivals]


def test_trace_that_is_written_can_be_read_again(tmp_path: Path) -> None:
    path = tmp_path / "t.csv"
    arrivals = list(draw_arrivals(parse_rate_shape("50@2s"), MIX, 3))
    assert write_trace(path, arrivals) == len(arrivals)
    assert path.read_text().startswith("at,request_class,plan,firm,units,spread,first\n")
    found = list(read_trace(path))
    assert [arrival[1:] for arrival in found] == [arrival[1:] for arrival in arrivals]
    assert all(
        abs(read.at - written.at) < 1e-6 for read, written in zip(found, arrivals, strict=True)
    )


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("x,a,b,1,1,1,0", "line 3 is not a valid arrival"),
        ("0.5,a,b,1,1,1,0", "line 3 is earlier than the previous line"),
    ],
)
def test_error_names_the_invalid_line_of_a_trace(tmp_path: Path, line: str, message: str) -> None:
    path = tmp_path / "t.csv"
    path.write_text(f"{','.join(TRACE_COLUMNS)}\n1.0,a,b,1,1,1,0\n{line}\n")
    with pytest.raises(TraceError, match=message):
        list(read_trace(path))


def arrivals_at_rate(rate: float, seconds: float) -> list[Arrival]:
    return [
        Arrival(number / rate, "seat-status", "gross", 1 + number % 5, 1, 1, 0)
        for number in range(int(rate * seconds))
    ]


def target_at(port: int) -> LoadTarget:
    return LoadTarget("127.0.0.1", port, DEADLINES, frozenset())


def test_stall_shows_in_the_latency_of_every_request_that_it_delays() -> None:
    """Guards against a load generator that waits for responses before it sends more requests.

    Such a closed loop would measure one slow response; the open loop measures every request that
    was due during the stall.
    """

    async def scenario() -> None:
        request_times: list[float] = []

        async def stall(args: list[bytes]) -> bytes | None:
            now = asyncio.get_running_loop().time()
            request_times.append(now)
            stall_end = request_times[0] + 0.9
            if 0.3 < now - request_times[0] < 0.9:
                await asyncio.sleep(stall_end - now)
            return VALUE

        port = await Backend(stall).start()
        result = await LoadGenerator(target_at(port), 1).run(arrivals_at_rate(100, 1.5))
        summary = result.summary()
        assert summary["outcomes"]["served"] == 150
        # 60 of the 150 requests were due during the stall of 600 ms and waited 300 ms on average.
        assert summary["times_ms"]["seat-status"]["p90"] > 350
        assert summary["times_ms"]["seat-status"]["max"] > 550

    run(scenario())


def test_every_request_is_counted_with_one_outcome() -> None:
    async def respond_by_customer(args: list[bytes]) -> bytes | None:
        responses = {
            1: VALUE,
            2: b"-BUSY 250\r\n",
            3: b"-ERR failed\r\n",
            4: None,
            5: b"*1\r\n$1\r\nv\r\n",
        }
        return responses[int(args[1], 16)]

    async def scenario() -> None:
        port = await Backend(respond_by_customer).start()
        result = await LoadGenerator(target_at(port), 1).run(arrivals_at_rate(200, 0.5))
        counts = {outcome.value: result.total(outcome) for outcome in RequestOutcome}
        assert counts == {
            "served": 40,
            "refused": 20,
            "failed": 20,
            "lost": 20,
            "late": 0,
            "unsent": 0,
        }

    run(scenario())


def test_request_without_response_by_its_deadline_is_late_and_its_connection_is_closed() -> None:
    async def scenario() -> None:
        async def hang(args: list[bytes]) -> bytes | None:
            await asyncio.Event().wait()
            return None

        backend = Backend(hang)
        port = await backend.start()
        target = LoadTarget("127.0.0.1", port, {"seat-status": 0.2}, frozenset(), max_connections=4)
        result = await LoadGenerator(target, 1).run(arrivals_at_rate(40, 0.5))
        assert result.total(RequestOutcome.LATE) == 20, (
            "requests that waited for a connection are late, too"
        )
        await asyncio.sleep(0.05)
        assert backend.closed == backend.opened

    run(scenario())


def test_requests_are_unsent_if_no_server_listens() -> None:
    async def scenario() -> None:
        result = await LoadGenerator(target_at(1), 1).run(arrivals_at_rate(100, 0.2))
        assert result.total(RequestOutcome.UNSENT) == 20

    run(scenario())


def test_run_is_void_if_more_than_one_percent_of_starts_are_late() -> None:
    punctual = LoadResult()
    late = LoadResult()
    for number in range(1000):
        punctual.record_start(0.0002)
        late.record_start(0.05 if number % 20 == 0 else 0.0002)
    assert not punctual.void_reason
    assert "the tool itself fell behind" in late.void_reason


def test_results_of_processes_are_merged() -> None:
    total = LoadResult()
    for process_number in range(2):
        result = LoadResult()
        for number in range(100):
            result.record_start(0.001)
            latency = 0.001 * (number + 1) + process_number
            result.record_outcome("c", RequestOutcome.SERVED, latency)
        result.seconds = 1.0 + process_number
        total.merge(json.loads(json.dumps(result.to_json())))
    assert total.request_count == 200
    assert total.total(RequestOutcome.SERVED) == 200
    assert total.seconds == 2.0
    assert total.summary()["times_ms"]["c"]["max"] == pytest.approx(1100, rel=0.002)
    assert total.summary()["times_ms"]["c"]["p50"] == pytest.approx(100, rel=0.02)


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (b"v", "served"),
        ([b"v", None], "served"),
        (None, "failed"),
        ([], "failed"),
        ([None], "failed"),
        (7, "failed"),
    ],
)
def test_response_is_classified_as_the_protocol_defines(response: Any, outcome: str) -> None:
    assert classify_response(response) == outcome


def test_load_command_sends_from_two_processes(tmp_path: Path) -> None:
    trace = tmp_path / "t.csv"

    async def scenario() -> None:
        async def serve(args: list[bytes]) -> bytes | None:
            return VALUE

        backend = Backend(serve)
        port = await backend.start()
        options = ["--rate", "100@1s", "--json", "--processes", "2", "--record", str(trace)]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "dockthread", "lab", "load", f"127.0.0.1:{port}", *options),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        stdout, _ = await process.communicate()
        summary = json.loads(stdout)
        assert process.returncode in (0, 2)  # 2: the run is void because this machine was too busy
        arrival_count = len(list(read_trace(trace)))
        assert summary["outcomes"]["served"] == summary["asked"] == arrival_count
        request_ids = [args[2] for args in backend.received_commands]
        assert len(set(request_ids)) == len(request_ids), "two requests have the same id"

    run(scenario())


def test_load_command_reports_an_invalid_address() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "dockthread", "lab", "load", "nowhere"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert completed.returncode == 2
    assert "'nowhere' is not an address: write HOST:PORT" in completed.stderr
