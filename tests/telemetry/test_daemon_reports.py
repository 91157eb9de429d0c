"""Totals at the receivers must match the responses to clients, despite restarts and faults.

The ingress runs in a separate process.
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
    LoadGenerator,
    ResponseCounts,
    ingress_launcher,
    operator_file,
    response_series_name,
    response_totals,
    run_load,
    running_stand_in,
)


def test_totals_over_restarts_equal_client_counts_for_every_protocol(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, *PROTOCOLS) as (stand_in, ledger),
            ingress_launcher(tmp_path) as (start_ingress, _),
        ):
            (tmp_path / "my.ini").write_text(operator_file(stand_in, tmp_path))
            responses = ResponseCounts()
            for _ in range(3):  # two restarts under load
                process, port = await start_ingress()
                terminate = partial(process.send_signal, signal.SIGTERM)
                load = await run_load(port, 0.7, terminate)
                assert await process.wait() == 0
                responses += load.responses
            assert all(
                responses[key]
                for key in (("status", "gross", "served"), ("status", "klein", "refused"))
            )
            assert responses["checkout", "gross", "failed"]
            for protocol in PROTOCOLS:
                totals = response_totals(ledger, protocol)
                assert len(totals) == 12, (
                    "every class, plan and outcome must be reported, even when the count is zero"
                )
                assert (
                    Counter({key: int(value) for key, value in totals.items() if value})
                    == responses
                ), protocol
                incarnation_counts = {
                    total.incarnations
                    for total in ledger.totals("answers")
                    if total.source == protocol
                }
                assert incarnation_counts == {3}, protocol
                assert not any(ledger.count_decreases(protocol, name) for name in ledger.series(protocol)
                               if "answers" in name or "attempts" in name)  # fmt: skip
                points = ledger.points(
                    protocol, response_series_name(protocol, "status", "gross", "served")
                )
                first_values = [
                    next(
                        value
                        for point_incarnation, _, value in points
                        if point_incarnation == incarnation
                    )
                    for incarnation in {point_incarnation for point_incarnation, _, _ in points}
                ]
                assert first_values == [0.0] * 3
            assert not ledger.faults()
            notification_texts = [text for _, _, _, text in ledger.notifications()]
            # Each of the three processes notifies the two collectd receivers.
            assert notification_texts.count("n0 is draining") == 6

    run(scenario())


def test_totals_after_sigkill_lack_at_most_one_interval_and_never_exceed_the_responses(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext", "putval") as (stand_in, ledger),
            ingress_launcher(tmp_path) as (start_ingress, _),
        ):
            (tmp_path / "my.ini").write_text(operator_file(stand_in, tmp_path, "1s"))
            process, port = await start_ingress()
            rates = list[int]()

            async def sample_rates(load: LoadGenerator) -> None:
                while not load.stopped:
                    count_before = sum(load.responses.values())
                    await asyncio.sleep(0.1)
                    rates.append(sum(load.responses.values()) - count_before)

            load = LoadGenerator(port)
            tasks = [asyncio.create_task(load.run_client(number)) for number in range(8)]
            tasks.append(asyncio.create_task(sample_rates(load)))
            await asyncio.sleep(2.6)
            process.kill()
            await process.wait()
            load.stopped = True
            await asyncio.wait(tasks, timeout=20)
            for protocol in ("plaintext", "putval"):
                totals = response_totals(ledger, protocol)
                # Each of the 8 clients may have one response that was counted but not yet read.
                assert all(totals[key] <= load.responses[key] + 8 for key in totals)
                missing = sum(load.responses.values()) - sum(totals.values())
                assert sum(totals.values()) > 0
                # `rates` counts responses per 0.1 s. One interval of 1 s may be missing, and 0.2 s
                # are allowed for responses in flight.
                assert missing <= 12 * max(rates)

    run(scenario())


@pytest.mark.parametrize("fault", ["refuse", "vanish", "unread", "slow", "reset"])
def test_faulty_receiver_delays_no_request_and_has_all_totals_afterwards(
    tmp_path: Path, fault: str
) -> None:
    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext", "pickle") as (stand_in, ledger),
            ingress_launcher(tmp_path) as (start_ingress, _),
        ):
            text = operator_file(stand_in, tmp_path, "100ms", queue="64KiB", farewell="3s")
            (tmp_path / "my.ini").write_text(text)
            process, port = await start_ingress()
            load = LoadGenerator(port)
            clients = [asyncio.create_task(load.run_client(number)) for number in range(4)]
            await asyncio.sleep(0.4)
            stand_in.start_fault(fault)
            await asyncio.sleep(1.2)
            max_latency_during_fault = load.max_latency
            stand_in.end_fault()
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            await asyncio.wait(clients, timeout=20)
            assert await asyncio.wait_for(process.wait(), 20) == 0
            for protocol in ("plaintext", "pickle"):
                assert (
                    Counter(
                        {
                            key: int(value)
                            for key, value in response_totals(ledger, protocol).items()
                            if value
                        }
                    )
                    == load.responses
                )
            # A response that waited for the receiver would take 1.2 s.
            assert max_latency_during_fault < 0.5

    run(scenario())
