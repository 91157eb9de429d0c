"""Totals at the receivers equal the responses that clients got, over restarts and faults.

These tests run the ingress as a process of its own.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from functools import partial
from pathlib import Path

import pytest

from tests.loopback import run
from tests.telemetry.support import (
    PROTOCOLS,
    AnswerCounts,
    Load,
    answer_totals,
    operator_file,
    run_load,
    running_program,
    running_stand_in,
    series_name,
)


def test_totals_over_restarts_equal_the_clients_counts_on_every_protocol(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, *PROTOCOLS) as (stand_in, ledger),
            running_program(tmp_path) as (start, _),
        ):
            (tmp_path / "my.ini").write_text(operator_file(stand_in, tmp_path))
            answers = AnswerCounts()
            for _ in range(3):  # two restarts under load
                process, port = await start()
                terminate = partial(process.send_signal, signal.SIGTERM)
                load = await run_load(port, 0.7, terminate)
                assert await process.wait() == 0
                answers += load.answers
            assert all(
                answers[key]
                for key in (("status", "gross", "served"), ("status", "klein", "refused"))
            )
            assert answers["checkout", "gross", "failed"]
            for protocol in PROTOCOLS:
                found = answer_totals(ledger, protocol)
                assert len(found) == 12, (
                    "each class, plan and outcome must be reported, also if it is zero"
                )
                assert (
                    Counter({key: int(value) for key, value in found.items() if value}) == answers
                ), protocol
                lives = {
                    total.lives for total in ledger.totals("answers") if total.source == protocol
                }
                assert lives == {3}, protocol
                assert not any(ledger.steps_back(protocol, name) for name in ledger.series(protocol)
                               if "answers" in name or "attempts" in name)  # fmt: skip
                points = ledger.points(protocol, series_name(protocol, "status", "gross", "served"))
                first_values = [
                    next(value for point_life, _, value in points if point_life == life)
                    for life in {point_life for point_life, _, _ in points}
                ]
                assert first_values == [0.0] * 3
            assert not ledger.faults()
            notes = [text for _, _, _, text in ledger.notes()]
            # Each of the three processes notifies the two collectd receivers.
            assert notes.count("n0 is draining") == 6

    run(scenario())


def test_totals_after_a_kill_miss_at_most_one_interval_and_never_exceed_the_answers(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext", "putval") as (stand_in, ledger),
            running_program(tmp_path) as (start, _),
        ):
            (tmp_path / "my.ini").write_text(operator_file(stand_in, tmp_path, "1s"))
            process, port = await start()
            rates = list[int]()

            async def watch(load: Load) -> None:
                while not load.stopped:
                    before = sum(load.answers.values())
                    await asyncio.sleep(0.1)
                    rates.append(sum(load.answers.values()) - before)

            load = Load(port)
            tasks = [asyncio.create_task(load.client(number)) for number in range(8)]
            tasks.append(asyncio.create_task(watch(load)))
            await asyncio.sleep(2.6)
            process.kill()
            await process.wait()
            load.stopped = True
            await asyncio.wait(tasks, timeout=20)
            for protocol in ("plaintext", "putval"):
                found = answer_totals(ledger, protocol)
                # Each of the 8 clients may have one response that was counted but not yet read.
                assert all(found[key] <= load.answers[key] + 8 for key in found)
                missing = sum(load.answers.values()) - sum(found.values())
                assert sum(found.values()) > 0
                # `rates` counts responses per 0.1 s. One interval of 1 s may be missing, and 0.2 s
                # are allowed for responses in flight.
                assert missing <= 12 * max(rates)

    run(scenario())


@pytest.mark.parametrize("kind", ["refuse", "vanish", "unread", "slow", "reset"])
def test_a_misbehaving_receiver_delays_no_request_and_has_all_totals_in_the_end(
    tmp_path: Path, kind: str
) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext", "pickle") as (stand_in, ledger),
            running_program(tmp_path) as (start, _),
        ):
            text = operator_file(stand_in, tmp_path, "100ms", queue="64KiB", farewell="3s")
            (tmp_path / "my.ini").write_text(text)
            process, port = await start()
            load = Load(port)
            clients = [asyncio.create_task(load.client(number)) for number in range(4)]
            await asyncio.sleep(0.4)
            stand_in.misbehave(kind)
            await asyncio.sleep(1.2)
            during = load.slowest
            stand_in.behave()
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            await asyncio.wait(clients, timeout=20)
            assert await asyncio.wait_for(process.wait(), 20) == 0
            for protocol in ("plaintext", "pickle"):
                assert (
                    Counter(
                        {
                            key: int(value)
                            for key, value in answer_totals(ledger, protocol).items()
                            if value
                        }
                    )
                    == load.answers
                )
            assert during < 0.5  # a response that waited for the receiver would take 1.2 s

    run(scenario())
