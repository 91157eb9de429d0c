"""Reloads, size limits and counts of the exporter, with an ingress in the test process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from dockthread.clock import ManualClock
from dockthread.section_registry import parse_operator_file
from dockthread.telemetry.exporter import Exporter
from tests.loopback import (
    Backend,
    Client,
    message,
    run,
    running_ingress,
    target,
    until,
)
from tests.telemetry.support import (
    operator_file,
    response_series_name,
    response_totals,
    running_exporter,
    running_stand_in,
)


def test_reloads_that_move_remove_and_add_receivers_lose_no_counts(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_exporter(tmp_path, "plaintext") as (
                ingress,
                exporter,
                client,
                first_stand_in,
                first_ledger,
            ),
            running_stand_in(tmp_path, "plaintext", "pickle") as (second_stand_in, second_ledger),
        ):
            for _ in range(5):
                await client.call()
            moved_config = operator_file(second_stand_in, tmp_path)
            # The old receiver is drained, and the new one receives all further reports.
            exporter.apply(parse_operator_file(moved_config, "test"))
            for _ in range(3):
                await client.call()
            await until(
                lambda: (
                    response_totals(second_ledger, "plaintext").get(("status", "gross", "served"))
                    == 8
                )
            )
            await until(
                lambda: (
                    response_totals(second_ledger, "pickle").get(("status", "gross", "served")) == 8
                )
            )
            exporter.apply(parse_operator_file("", "test"))
            await until(lambda: not exporter._drain_tasks)
            assert exporter.tally is None and not ingress.observer.active
            points_before = second_ledger.points_received["plaintext"]
            await client.call()
            # Adding a receiver begins a new incarnation, whose counts start at zero.
            exporter.apply(parse_operator_file(operator_file(first_stand_in, tmp_path), "test"))
            await client.call()
            await until(
                lambda: (
                    first_ledger.points(
                        "plaintext", response_series_name("plaintext", "status", "gross", "served")
                    )[-1][2]
                    == 1
                )
            )
            assert second_ledger.points_received["plaintext"] == points_before

    run(scenario())


def test_a_reload_with_an_unreadable_password_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_exporter(tmp_path, "plaintext") as (_, exporter, client, _, ledger):
            receivers_before = dict(exporter.receivers)
            bad_ini = "[graphite new]\naddress = 127.0.0.1:1\n[collectd c]\naddress = 127.0.0.1:1\nsecurity = sign\n"
            bad_ini += "user = u\npassword_file = /no/such/file\n"
            with pytest.raises(Exception, match="/no/such/file cannot be read"):
                exporter.apply(parse_operator_file(bad_ini, "test"))
            assert exporter.receivers == receivers_before
            await client.call()
            await until(
                lambda: response_totals(ledger, "plaintext").get(("status", "gross", "served")) == 1
            )

    run(scenario())


def test_receiver_outage_of_a_minute_keeps_the_queue_bounded_and_the_totals_correct(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        clock = ManualClock()
        async with running_exporter(tmp_path, "plaintext", clock=clock, interval="1s") as (
            ingress, exporter, client, stand_in, ledger,
        ):  # fmt: skip
            sender = exporter.receivers["plaintext"].sender
            sender.delivery_queue.max_size = 200_000
            await until(lambda: sender.reports_sent)
            stand_in.start_fault("refuse")
            for _ in range(60):
                await client.call()
                clock.advance(1000)
                ingress.timers.run_due()
                await until(lambda: exporter._report_task.done())
                assert sender.delivery_queue.size <= sender.delivery_queue.max_size
            assert sender.delivery_queue.dropped and len(sender.delivery_queue) > 5
            stand_in.end_fault()
            clock.advance(1000)
            ingress.timers.run_due()
            totals_key = ("status", "gross", "served")
            await until(lambda: response_totals(ledger, "plaintext").get(totals_key) == 60)
            timestamps = [
                unix_seconds
                for _, unix_seconds, _ in ledger.points(
                    "plaintext", response_series_name("plaintext", *totals_key)
                )
            ]
            assert len(timestamps) > 6, (
                "reports queued during the outage must arrive with their own timestamps"
            )
            assert timestamps == sorted(timestamps)

    run(scenario())


def test_report_size_stays_bounded_with_many_customers_and_replaced_backends(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_exporter(tmp_path, "plaintext", interval="1h") as (
            ingress,
            exporter,
            _,
            _,
            _,
        ):
            tally = exporter.tally
            for customer in range(10_000):
                tally.request_completed(
                    0, 0, customer, "refused", f"reason-{customer}", 0.0, 1.0, False, False
                )
            for update_number in range(100):
                targets = [target(f"s-{update_number}-{number}", 1 + number) for number in range(3)]
                ingress.dispatch(
                    ingress.endpoints.apply(message(update_number + 2, *targets, full=True))
                )
            points = exporter._reader.points(1000.0)
            backends = {point.path[1] for point in points if point.path[0] == "nodes"}
            assert backends == {"s-99-0", "s-99-1", "s-99-2"}, (
                "only backends in the endpoint list must be reported"
            )
            assert len({point.path[2] for point in points if point.path[0] == "firms"}) == 20
            assert len(tally.heavy_hitters.usage) <= 160
            assert len(points) < 800

    run(scenario())


def test_requests_that_do_not_reach_the_policy_engine_are_counted() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def respond_when_gate_opens(args: list[bytes]) -> bytes | None:
            await gate.wait()
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        async with running_ingress(Backend(respond_when_gate_opens)) as (ingress, client, _):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file("[graphite g]\naddress = 127.0.0.1:9\n", "test"))
            tally = exporter.tally
            assert tally is not None
            client.send_request()
            client.next_request_id -= 1
            client.send_request()  # a duplicate ID while the first request is still open
            ingress.requests.limits.max_body_bytes = 1000
            client.send_request(body=b"x" * 2000)
            disconnecting_client = await Client.open(ingress.address.port)
            disconnecting_client.next_request_id += 100
            disconnecting_client.send_request()
            await until(lambda: len(ingress.requests) == 2)
            disconnecting_client.writer.close()
            await until(lambda: tally.disconnected[0, 0])
            gate.set()
            assert [await client.answer() for _ in range(3)] == [
                b"value",
                "ERR this id is open already",
                "BUSY 500",
            ]
            tally.flush()
            assert dict(tally.reasons) == {
                (0, 0, "failed", "duplicate"): 1,
                (0, 0, "refused", "bodies"): 1,
            }
            assert [
                tally.responses[0, 0, outcome] for outcome in ("served", "refused", "failed")
            ] == [1, 1, 1]
            assert (tally.units_requested, tally.units_forwarded, tally.units_rejected) == (
                [8.0],
                [4.0],
                [2.0],
            )
            await exporter.shutdown()

    run(scenario())
