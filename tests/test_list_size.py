"""A list of 24,000 backends: what a change, a round of housekeeping and a decision touch, as counts of work."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from dockthread import api
from dockthread.module.api import Group, ListKind, Outcome, WorkerState
from dockthread.module.pool import SCANNED, SLOTS_PER_CHANGE
from tests.test_rules import BASE, KEYED, SAFE, Drive

MANY = 24_000


def entry(n: int, state: WorkerState = WorkerState.READY, started: float = 0.0) -> api.WorkerEntry:
    return api.WorkerEntry(1000 + n, state, n % 3, n % 2, n // 12, 1.0, started)


def long_list(count: int = MANY, **changes: object) -> Drive:
    drive = Drive(replace(BASE, gateways=400, may_tell=False, **changes), workers=0)  # type: ignore[arg-type]
    drive.listed(*(entry(n) for n in range(count)), kind=ListKind.FULL)
    drive.run(drive.now + 1)
    return drive


def test_a_change_costs_by_its_own_size() -> None:
    drive, drawn = long_list(), random.Random(3)
    pool = drive.gateway.pool
    before = pool.visits
    for _ in range(200):
        drive.listed(entry(drawn.randrange(MANY), WorkerState.DRAINING))
    assert pool.visits - before <= 3 * 200
    assert len(pool) == sum(w.ready for w in drive.gateway.workers.values())


def test_housekeeping_visits_only_workers_whose_figures_move() -> None:
    drive = long_list()
    pool = drive.gateway.pool
    before = pool.visits
    drive.run(drive.now + 10)
    assert pool.visits == before, "nothing moves"
    drive.listed(*(entry(n, started=drive.now) for n in range(5)))
    request = drive.ask(SAFE)
    drive.end(request, 0, Outcome.ERROR)
    drive.end(request, 1, Outcome.OK)
    drive.run(drive.now + 5)
    assert len(pool.restless) == 6
    assert pool.visits - before <= 6 * 2 * (5 / 0.25 + 2)
    drive.run(drive.now + 6)
    assert len(pool.restless) == 1, "warm by now"


def test_a_lost_zone_is_drawn_from_no_more_and_forgotten() -> None:
    drive, lost = long_list(), range(0, MANY, 14)
    pool = drive.gateway.pool
    for n in lost:
        drive.listed(entry(n, WorkerState.GONE))
    gone = {1000 + n for n in lost}
    for _ in range(300):
        assert drive.sent[drive.ask(SAFE)][0].worker not in gone
    drive.run(drive.now + 40)
    assert len(drive.gateway.workers) == len(pool) == MANY - len(lost)
    assert not drive.gateway.leaving


def test_sums_follow_the_shares_of_a_long_list() -> None:
    """A worker whose share has fallen is drawn the less from the next round of housekeeping on."""
    drive = long_list()
    ill = list(drive.gateway.workers.values())[: MANY // 2]
    for worker in ill:
        worker.failed = 0.9
    drive.run(drive.now + 0.3)
    drawn = drive.gateway.pool.draw(random.Random(1), 20_000)
    assert sum(w.failed > 0 for w in drawn) < 20_000 * 0.05


@pytest.mark.parametrize("group", [Group.ALL, Group.ZONE, Group.CELL])
def test_a_repeat_in_a_long_list_stays_in_its_group(group: Group) -> None:
    classes = (BASE.classes[SAFE], replace(BASE.classes[KEYED], group=group), BASE.classes[2])
    drive = long_list(classes=classes)
    for _ in range(20):
        request = drive.ask(KEYED)
        drive.end(request, 0, Outcome.RESET)
        first, second = (drive.gateway.workers[send.worker].entry for send in drive.sent[request])
        assert first.worker != second.worker
        assert group is Group.ALL or first.zone == second.zone
        assert group is not Group.CELL or first.cell == second.cell


@pytest.mark.parametrize("count", [SCANNED, MANY])
def test_the_part_of_a_list_that_a_route_allows(count: int) -> None:
    pool = long_list(count).gateway.pool
    part = pool.sifted(lambda e: e.zone == 1 and e.kind == 0)
    assert part is not None
    drawn = part.draw(random.Random(1), 200)
    assert drawn and {(w.entry.zone, w.entry.kind) for w in drawn} == {(1, 0)}
    assert {(w.entry.zone, w.entry.kind) for w in part} == {(1, 0)}
    assert pool.sifted(lambda e: e.zone == 7) is None


def test_among_many_that_are_full_one_with_room_is_found() -> None:
    drive = long_list()
    for worker in list(drive.gateway.workers.values())[1:]:
        worker.full(0, drive.now + 60)
    assert drive.sent[drive.ask(SAFE)][0].worker == 1000


def test_places_are_closed_up_as_workers_are_forgotten() -> None:
    drive = long_list(3 * SLOTS_PER_CHANGE)
    for round_ in range(6):
        new = [entry(10_000 * (round_ + 1) + n) for n in range(3 * SLOTS_PER_CHANGE)]
        drive.listed(*new, kind=ListKind.FULL)
        drive.run(drive.now + 40)
    pool = drive.gateway.pool
    assert len(drive.gateway.workers) == len(pool) == 3 * SLOTS_PER_CHANGE
    assert len(pool.draw(random.Random(1), 10)) == 10
    assert len(pool._slots) <= 2 * 3 * SLOTS_PER_CHANGE
