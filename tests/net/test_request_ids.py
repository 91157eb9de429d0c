"""A request that must not run twice keeps its id after its client left, and at both processes."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from dockthread.clock import ManualClock
from dockthread.net.request_ids import BUCKETS, RETENTION_MS, SLOTS_PER_BUCKET, RequestIds
from tests.loopback import FIRST_REQUEST_ID, Backend, Client, request, run, running_ingress, until
from tests.net.support import UNREACHED_DEADLINE_MS, GatedBackend

DUPLICATE = "ERR this id is open already"
WIRE_ID = b"%016x" % FIRST_REQUEST_ID


@pytest.mark.parametrize("is_answered", [False, True])
def test_an_id_that_may_have_run_does_not_run_again_after_its_client_left(
    is_answered: bool,
) -> None:
    async def scenario() -> None:
        backend = GatedBackend()
        async with running_ingress(backend) as (ingress, client, _):
            client.writer.write(request(1, "checkout", d=UNREACHED_DEADLINE_MS))
            await until(lambda: backend.received_commands)
            if is_answered:
                backend.may_reply.set()
                assert await client.answer() == b"value"
            client.writer.close()
            await until(lambda: not ingress.requests)
            again = await Client.open(ingress.address.port)
            again.next_request_id = 1
            assert await again.call("checkout") == DUPLICATE
            assert len(backend.received_commands) == 1

    run(scenario())


def test_an_id_that_did_not_run_may_be_sent_again() -> None:
    async def scenario() -> None:
        async def is_busy(args: list[bytes]) -> bytes | None:
            return b"-BUSY\r\n"

        backend = Backend(is_busy)
        async with running_ingress(backend) as (ingress, client, _):
            client.next_request_id = 1
            assert await client.call("checkout") == "BUSY 500"
            client.next_request_id = 1
            assert await client.call("checkout") != DUPLICATE

    run(scenario())


def test_the_other_process_of_an_upgrade_knows_the_id(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    clock = ManualClock()
    old, new = RequestIds.shared(clock, "n0"), RequestIds.shared(clock, "n0")
    other = RequestIds.shared(clock, "n1")
    deadline_ms = clock.now() + 4_000
    assert old.claim(WIRE_ID, deadline_ms)
    assert not new.claim(WIRE_ID, deadline_ms)
    assert other.claim(WIRE_ID, deadline_ms)
    old.close()
    assert not new.claim(WIRE_ID, deadline_ms)
    new.release(WIRE_ID)
    assert new.claim(WIRE_ID, deadline_ms)
    clock.advance(4_000 + RETENTION_MS + 1)
    assert new.claim(WIRE_ID, clock.now())
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) < 1_000_000


def test_ids_are_remembered_by_the_process_while_the_folder_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("tempfile.tempdir", str(tmp_path / "missing"))
    clock = ManualClock()
    for ids in (RequestIds.shared(clock, "n0"), RequestIds.private(clock)):
        assert ids.claim(WIRE_ID, clock.now())
        assert not ids.claim(WIRE_ID, clock.now())
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    ids = RequestIds.shared(clock, "n0")
    monkeypatch.setattr(os, "pwrite", fails)
    assert ids.claim(WIRE_ID, clock.now())
    assert not ids.claim(WIRE_ID, clock.now())


def test_the_table_holds_the_ids_of_the_busiest_half_minute() -> None:
    clock = ManualClock()
    ids = RequestIds.private(clock)
    count = BUCKETS * SLOTS_PER_BUCKET // 2
    for number in range(count):
        clock.advance(30_000 / count)
        assert ids.claim(b"%016x" % (number * 0x10001), clock.now())
    repeated = sum(not ids.claim(b"%016x" % (n * 0x10001), clock.now()) for n in range(count))
    assert repeated > 0.98 * count
