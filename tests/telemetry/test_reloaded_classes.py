"""Classes that appear or change at a reload, while telemetry is reported."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from dockthread.clock import ManualClock
from dockthread.section_registry import parse_operator_file
from dockthread.telemetry.exporter import Exporter
from dockthread.telemetry.tally import BATCH_SIZE
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
    running_ingress,
    target,
    until,
)
from tests.net.support import GatedBackend, reload_settings
from tests.telemetry.support import (
    PLANS,
    ingress_launcher,
    operator_file,
    response_series_name,
    running_exporter,
    running_stand_in,
)

RENEW_CLASS = STATUS_CLASS | {"Name": "renew"}
WITH_RENEW = SETTINGS | {"Classes": [*SETTINGS["Classes"], RENEW_CLASS], "Packages": PLANS}
ONLY_RENEW = SETTINGS | {"Classes": [RENEW_CLASS], "Packages": PLANS}
# More than one batch of the tally, so that a batch with the new class is counted under load.
REQUESTS = 2 * BATCH_SIZE + 10


async def call(client: Client, class_name: str, number: int) -> object:
    """Send a request of a safe class and return its response."""
    terms = f"c={class_name},t=gross,d=4000".encode()
    client.send(b"API.READ", CUSTOMER_KEY, b"%016x" % number, terms)
    return await client.answer()


@pytest.mark.parametrize("settings", [WITH_RENEW, ONLY_RENEW], ids=["added", "replaced"])
def test_requests_of_all_classes_are_answered_and_counted_after_a_class_appears(
    settings: dict[str, object], tmp_path: Path
) -> None:
    """Guards against a tally without a row for the new class, which kept answers from clients."""

    async def scenario() -> None:
        async with running_exporter(tmp_path, "plaintext") as (ingress, _, client, _, ledger):
            assert await call(client, "status", 1) == b"value"
            reload_settings(ingress, settings)
            for number in range(REQUESTS):
                assert await call(client, "renew", 2 + number) == b"value"
            names = {
                key: response_series_name("plaintext", *key)
                for key in (("renew", "gross", "served"), ("status", "gross", "served"))
            }
            expected = {names["renew", "gross", "served"]: REQUESTS}
            expected[names["status", "gross", "served"]] = 1

            def totals() -> dict[str, float]:
                return {total.series: total.value for total in ledger.totals("answers")}

            await until(lambda: expected.items() <= totals().items())
            assert response_series_name("plaintext", "renew", "klein", "refused") in totals()

    run(scenario())


def test_telemetry_that_begins_in_the_reload_that_adds_a_class_counts_it(tmp_path: Path) -> None:
    """Guards against a tally made for the classes before the reload that also begins telemetry."""

    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext") as (stand_in, _),
            running_ingress(Backend()) as (ingress, client, _),
        ):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file(operator_file(stand_in, tmp_path), "test"))
            reload_settings(ingress, SETTINGS | {"Classes": [STATUS_CLASS, RENEW_CLASS]})
            for number in range(REQUESTS):
                assert await call(client, "renew", 1 + number) == b"value"
            assert exporter.tally is not None
            exporter.tally.flush()
            assert exporter.tally.responses[2, 0, "served"] == REQUESTS
            await exporter.shutdown()

    run(scenario())


@pytest.mark.parametrize(("new_aim_ms", "late"), [(500, 0), (60_000, 1)])
def test_a_response_is_late_by_the_objective_with_which_its_request_arrived(
    new_aim_ms: int, late: int, tmp_path: Path
) -> None:
    """Guards against a count that judges a request by an objective that is newer than it."""

    async def scenario() -> None:
        clock, backend = ManualClock(), GatedBackend()
        async with (
            running_stand_in(tmp_path, "plaintext") as (stand_in, _),
            running_ingress(backend, clock=clock) as (ingress, client, _),
        ):
            exporter = Exporter(ingress)
            exporter.apply(parse_operator_file(operator_file(stand_in, tmp_path), "test"))
            client.send_request("checkout")
            await until(lambda: backend.received_commands)
            checkout = SETTINGS["Classes"][1] | {"Aim": new_aim_ms * 1_000}
            reload_settings(ingress, SETTINGS | {"Classes": [STATUS_CLASS, checkout]})
            # The request arrived with an objective of 3 s.
            clock.advance(1_000 if not late else 3_500)
            backend.may_reply.set()
            assert await client.answer() == b"value"
            assert exporter.tally is not None
            exporter.tally.flush()
            assert exporter.tally.late_responses[1] == late
            await exporter.shutdown()

    run(scenario())


def test_a_process_serves_and_reports_a_class_that_appears_at_sighup(tmp_path: Path) -> None:
    """Guards against lost answers after SIGHUP with a new class in a process with telemetry."""

    async def scenario() -> None:
        async with (
            running_stand_in(tmp_path, "plaintext") as (stand_in, ledger),
            ingress_launcher(tmp_path) as (start_ingress, _),
        ):
            (tmp_path / "my.ini").write_text(operator_file(stand_in, tmp_path))
            backend, discovery = Backend(), Discovery()
            endpoints = message(1, target("s-0", await backend.start()), full=True)
            port_of_discovery = await discovery.start()

            def write_config(settings: dict[str, object]) -> None:
                raw = raw_config(endpoints, port_of_discovery, settings=settings)
                (tmp_path / "config.json").write_text(json.dumps(raw))

            write_config(SETTINGS | {"Packages": PLANS})
            process, port = await start_ingress()
            client = await Client.open(port)
            assert await call(client, "status", 1) == b"value"
            write_config(WITH_RENEW)
            process.send_signal(signal.SIGHUP)
            while b"configuration read again" not in (line := await process.stderr.readline()):
                assert line
            for number in range(REQUESTS):
                assert await call(client, "renew", 2 + number) == b"value"
            process.send_signal(signal.SIGTERM)
            assert await client.answer() is None
            client.writer.close()
            assert await process.wait() == 0
            assert b"Error" not in await process.stderr.read()
            totals = {total.series: total.value for total in ledger.totals("answers")}
            assert totals[response_series_name("plaintext", "renew", "gross", "served")] == REQUESTS

    run(scenario())
