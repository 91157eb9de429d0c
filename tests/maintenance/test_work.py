"""The order of work and the store: every command in every order, a kill at every byte, and the
words of staff.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from dockthread.cli.work import fleet, work
from dockthread.config.section_registry import read_text
from dockthread.maintenance.commands import LeaderReport, MaintenanceCommand, ZoneStatus
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.raft.actions import PersistEntries, PersistSnapshot
from dockthread.raft.messages import Entry, EntryKind
from dockthread.raft.options import FleetOptions
from dockthread.raft.storage import RaftStorage, RaftStorageError

MEMBERS = ("n0", "n1", "n2")


def said(do: str, target: str = "", zone: str = "a", **more: Any) -> bytes:
    return msgspec.msgpack.encode(MaintenanceCommand(do, target, zone, **more))  # type: ignore[arg-type]


class Told:
    """An order that is told commands one behind another, with ticks in which all is well unless
    said otherwise.
    """

    def __init__(self) -> None:
        self.order, self.index = MaintenanceScheduler(), 0

    def do(self, do: str, target: str = "", zone: str = "a", **more: Any) -> str:
        self.index, self.said = self.index + 1, said(do, target, zone, **more)
        self.order.apply(self.index, self.said)
        return self.state(target)

    def tick(self, elapsed: float = 500.0, alive: tuple[str, ...] = MEMBERS, **more: Any) -> None:
        zones = (ZoneStatus("a", 6), ZoneStatus("b", 6))
        known = {
            "zones": zones,
            "seen": tuple(self.order.requests),
            "lapse": 30_000.0,
            "dead": 5_000.0,
            **more,
        }
        self.do("tick", tick=LeaderReport(self.order.ticks + 1, elapsed, MEMBERS, alive, **known))

    def state(self, target: str) -> str:
        request = self.order.requests.get(target)
        return (
            request.state
            if request
            else next((r.state for r in self.order.over[::-1] if r.target == target), "")
        )

    def reason(self, target: str) -> str:
        return self.order.reason(self.order.requests[target])

    def all_say(self, do: str, target: str, members: tuple[str, ...] = MEMBERS) -> str:
        for member in members:
            self.do(do, target, by=member, epoch=self.order.requests[target].epoch)
        return self.state(target)


def test_a_machine_goes_out_once_all_hold_it_and_counts_until_it_is_warm() -> None:
    told = Told()
    assert (
        told.do("ask", "x", warm=2_000.0) == "waiting"
        and told.reason("x") == "it is being looked at"
    )
    told.do("ask", "y")
    told.tick()
    assert told.state("x") == "granted" and told.reason("y") == "x of a is out, and 1 may be"
    assert (
        told.all_say("held", "x", ("n0", "n1")) == "draining" and told.reason("x") == "waits for n2"
    )
    assert told.do("held", "x", by="n2", epoch=1) == "draining", (
        "an older epoch's word counts for nothing"
    )
    assert told.all_say("held", "x", ("n2",)) == "out" and told.order.held() == {"x": 3}
    assert told.do("done", "x") == "returning" and not told.order.held()
    assert told.reason("y") == "x of a is coming back, and 1 may be"
    assert told.all_say("freed", "x") == "warming"
    told.tick(1_900.0)  # it may have come back just before this
    told.tick(1_900.0)
    assert (told.state("x"), told.state("y")) == ("warming", "waiting")
    told.tick(100.0)
    assert (told.state("x"), told.state("y")) == ("done", "granted")


def test_the_urgent_goes_first_then_the_older_and_zones_do_not_wait_for_each_other() -> None:
    told = Told()
    for target, more in (("x", {}), ("old", {}), ("hot", {"urgency": 5}), ("other", {"zone": "b"})):
        told.do("ask", target, **more)
    told.tick()
    assert set(told.order.held()) == {"hot", "other"}
    assert told.do("withdraw", "hot") == "returning" and told.all_say("freed", "hot") == "warming"
    told.tick()
    assert set(told.order.held()) == {"x", "other"} and told.state("hot") == "withdrawn"


def test_a_silent_member_is_waited_for_until_it_is_agreed_dead() -> None:
    told = Told()
    told.do("ask", "x")
    told.tick()
    # the first that misses it counts nothing: it may have been heard until just before
    for _ in range(10):
        told.tick(alive=("n0", "n1"))
    assert told.all_say("held", "x", ("n0", "n1")) == "draining"
    told.tick(alive=("n0", "n1"))
    assert told.state("x") == "out", "5 s of silence"


def test_a_turn_that_is_not_drained_in_time_lapses_and_is_given_up_at_the_third() -> None:
    told = Told()
    told.do("ask", "x")
    told.tick()
    for _ in range(2):
        told.all_say("held", "x", ("n0", "n1"))
        told.tick(30_000.0)  # its time counts from the tick after it
        assert told.state("x") == "draining"
        told.tick(30_000.0)
        assert told.state("x") == "granted" and told.order.requests["x"].held == ()
    told.tick()
    told.tick(30_000.0)
    assert told.state("x") == "abandoned" and not told.order.held()


@pytest.mark.parametrize(
    ("zone", "why"),
    [
        ({"zones": (ZoneStatus("a", 6, ("z",)),)}, "z of a fails"),
        ({"zones": (ZoneStatus("a", 6, pressed=True),)}, "requests wait too long in a"),
        (
            {"zones": (ZoneStatus("a", 6, load=4.1),)},
            "the rest of a would carry 0.82 of what it bears, and 0.80 is most",
        ),
        ({"zones": ()}, "a is not seen by a majority"),
        ({"seen": ()}, "fewer than half of the members see it"),
    ],
)
def test_nothing_goes_out_where_that_is_not_safe_and_what_has_not_gone_is_called_back(
    zone: dict[str, Any], why: str
) -> None:
    told = Told()
    told.do("ask", "x")
    told.tick(**zone)
    assert (told.state("x"), told.reason("x")) == ("waiting", why)
    told.tick()
    assert told.all_say("held", "x", ("n0",)) == "draining"
    # seen once is enough; on its way out it is not ready any more
    if "seen" not in zone and "4.1" not in str(zone):
        told.tick(**zone)
        assert told.state("x") == "waiting" and f"called back, as {why}" in told.reason("x")
    told.tick()
    assert told.all_say("held", "x") == "out"
    told.tick(**zone)
    assert told.state("x") == "out", "what is out stays out"


def test_overdue_is_told_and_stays_out() -> None:
    told = Told()
    told.do("ask", "x", length=60_000.0)
    told.tick()
    assert told.all_say("held", "x") == "out"
    told.tick(60_000.0)
    assert told.state("x") == "out", "it may have come out just before the tick"
    told.tick(60_000.0)
    assert (
        told.state("x") == "overdue"
        and "say `done`" in told.reason("x")
        and "x" in told.order.held()
    )
    assert told.do("done", "x") == "returning"


def test_an_ingress_goes_by_its_own_word_alone_and_comes_back_in_another_life() -> None:
    told = Told()
    told.do("ask", "n1", zone="", kind="ingress")
    told.tick(alive=("n0", "n1"))
    assert told.reason("n1") == "n2 cannot be heard"
    told.do("ask", "n2", zone="", kind="ingress")
    told.tick()
    assert (
        told.state("n1") == "granted"
        and told.reason("n2") == "n1 of ingresses is out, and 1 may be"
    )
    epoch = told.order.requests["n1"].epoch
    assert told.do("held", "n1", by="n1", epoch=epoch, life="a") == "out" and not told.order.held()
    assert told.do("back", "n1", by="n1", epoch=epoch - 1) == "out"
    assert told.do("withdraw", "n1") == "out", "it is ending: the next may not go before it is back"
    assert told.do("back", "n1", by="n1", epoch=epoch) == "warming"
    told.tick()
    assert (told.state("n1"), told.state("n2")) == ("done", "granted")


def test_time_is_the_ticks_own_and_a_tick_proposed_twice_counts_once() -> None:
    told = Told()
    for number, clock in ((1, 500.0), (1, 500.0), (3, 500.0), (2, 1_000.0)):
        told.do("tick", tick=LeaderReport(number, 500.0, MEMBERS, MEMBERS))
        assert told.order.clock == clock


def test_a_command_handed_on_twice_is_carried_out_once_also_after_a_state() -> None:
    told = Told()
    told.do("ask", "x", once="7f")
    told.do("withdraw", "x")
    assert told.do("ask", "x", once="7f") == "withdrawn"
    other = Told()
    other.order.restore(told.order.snapshot())
    assert other.do("ask", "x", once="7f") == "withdrawn"


def test_asked_twice_it_is_one_and_rubbish_changes_nothing() -> None:
    told = Told()
    for target in ("x", "x", "y"):
        told.do("ask", target)
    assert told.do("done", "y") == "waiting"
    before = told.order.snapshot()
    told.order.apply(9, b"\xc1 rubbish")
    told.order.apply(9, msgspec.msgpack.encode(["explode", "x"]))
    assert told.order.snapshot() == before and len(told.order.requests) == 2


@pytest.mark.parametrize("seed", range(200))
def test_whatever_comes_no_zone_has_more_away_than_the_careful_say_and_all_members_agree(
    seed: int,
) -> None:
    rng, told, other = random.Random(seed), Told(), MaintenanceScheduler()
    away: set[str] = set()
    for step in range(150):
        target = f"m{rng.randrange(8)}"
        do = rng.choice(
            (
                "ask",
                "ask",
                "held",
                "held",
                "held",
                "freed",
                "freed",
                "done",
                "withdraw",
                "tick",
                "tick",
            )
        )
        if do == "tick":
            told.tick(
                rng.choice((100.0, 500.0, 40_000.0)),
                tuple(rng.sample(MEMBERS, rng.randrange(1, 4))),
            )
        else:
            known = told.order.requests.get(target)
            epoch = known.epoch if known and rng.random() < 0.9 else rng.randrange(150)
            zone, most, by = "ab"[int(target[1:]) % 2], rng.randrange(1, 4), rng.choice(MEMBERS)
            told.do(do, target, zone, by=by, epoch=epoch, urgency=rng.randrange(3), most=most)
        if step == 75:  # one that comes back from a state goes on alike
            other.restore(told.order.snapshot())
        elif step > 75:
            other.apply(told.index, told.said)
            assert other.snapshot() == told.order.snapshot()
        now = {r.target: r for r in told.order.requests.values() if r.state != "waiting"}
        for zone in "ab":
            in_zone = [r for r in told.order.requests.values() if r.zone == zone]
            new = {t for t, r in now.items() if r.zone == zone} - away
            out = [r for r in in_zone if r.state != "waiting"]
            # One that is out stays out when a more careful request comes; none is let out beyond
            # it.
            assert not new or len(out) <= min(r.most for r in in_zone)
        away = set(now)


def entries(*texts: str) -> tuple[Entry, ...]:
    return tuple(Entry(1, EntryKind.COMMAND, text.encode()) for text in texts)


def test_a_kill_at_every_byte_of_the_log_leaves_what_was_kept_before(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path / "whole", "n0", create=True)
    kept = [
        PersistEntries(1, "n1", 1, entries("a")),
        PersistEntries(1, "n1", 2, entries("b", "c")),
        PersistEntries(2, "", 2, entries("B")),
    ]
    known: list[tuple[int, str, list[Entry]]] = [(0, "", [])]
    ends = [0]
    for what in kept:
        store.persist(what)
        known.append(
            (
                store.persistent_state.term,
                store.persistent_state.voted_for,
                list(store.persistent_state.entries),
            )
        )
        ends.append((tmp_path / "whole" / "log").stat().st_size)
    store.close()
    whole = (tmp_path / "whole" / "log").read_bytes()
    for cut in range(len(whole) + 1):
        (tmp_path / "whole" / "log").write_bytes(whole[:cut])
        again = RaftStorage(tmp_path / "whole", "n0")
        last = max(i for i, end in enumerate(ends) if end <= cut)
        assert (
            again.persistent_state.term,
            again.persistent_state.voted_for,
            again.persistent_state.entries,
        ) == known[last]
        again.close()


def test_a_state_takes_the_place_of_entries(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(3, "n2", 1, entries("a", "b", "c")))
    store.persist(PersistSnapshot(2, 1, ("n0", "n1"), b"ab", False))
    store.persist(PersistEntries(3, "n2", 4, entries("d")))
    store.close()
    again = RaftStorage(tmp_path / "n", "n0")
    assert (
        again.persistent_state.snapshot_index,
        again.persistent_state.snapshot,
        again.persistent_state.term,
    ) == (2, b"ab", 3)
    assert again.persistent_state.entries == list(entries("c", "d"))
    size = (tmp_path / "n" / "log").stat().st_size
    for _ in range(50):
        again.persist(PersistSnapshot(2, 1, ("n0", "n1"), b"ab", False))
    assert (tmp_path / "n" / "log").stat().st_size <= size, (
        "what no longer counts does not fill the disk"
    )
    again.close()


def test_a_kill_between_the_writes_of_a_state_harms_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(3, "n2", 1, entries("a", "b", "c")))
    for step, base in ((0, 0), (1, 2)):
        monkeypatch.setattr(
            RaftStorage, "_replace_file", killed_at(step, RaftStorage._replace_file)
        )
        with pytest.raises(KeyboardInterrupt):
            store.persist(PersistSnapshot(2, 1, ("n0",), b"ab", False))
        monkeypatch.undo()
        store.close()
        store = RaftStorage(tmp_path / "n", "n0")
        assert store.persistent_state.snapshot_index == base
        assert store.persistent_state.entries == list(entries("a", "b", "c"))[base:]
    store.persist(PersistEntries(4, "", 4, entries("d")))
    store.close()
    store = RaftStorage(tmp_path / "n", "n0")
    assert (store.persistent_state.term, store.persistent_state.entries) == (
        4,
        list(entries("c", "d")),
    )
    store.close()


def killed_at(
    step: int, real: Callable[[RaftStorage, str, bytes], None]
) -> Callable[[RaftStorage, str, bytes], None]:
    """The store's write beside, but for a kill at the `step`-th: before the state's rename, or the
    log's.
    """
    calls = iter(range(9))

    def beside(store: RaftStorage, name: str, body: bytes) -> None:
        if next(calls) == step:
            raise KeyboardInterrupt
        real(store, name, body)

    return beside


def test_what_lies_there_is_believed_only_whole(tmp_path: Path) -> None:
    with pytest.raises(RaftStorageError, match="fleet init"):
        RaftStorage(tmp_path / "none", "n0")
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(1, "n0", 1, entries("a")))
    with pytest.raises(BlockingIOError):
        RaftStorage(tmp_path / "n", "n0")  # another process has it
    store.close()
    with pytest.raises(FileExistsError):
        RaftStorage(tmp_path / "n", "n0", create=True)
    data = bytearray((tmp_path / "n" / "log").read_bytes())
    data[-1] ^= 1
    (tmp_path / "n" / "log").write_bytes(data)
    with pytest.raises(RaftStorageError, match="spoilt at byte 0"):
        RaftStorage(tmp_path / "n", "n0")


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("members = a=127.0.0.1:1", "listen: is missing"),
        ("listen = nowhere", "listen: 'nowhere' is no address"),
        ("listen = h:1\nmembers = a=h:1, b=h:2\ndirectory = d", "members: names 2"),
        ("listen = h:1\nmembers = a=h:1, b, c=h:3\ndirectory = d", "members: 'b' is no member"),
        ("listen = h:1\nmembers = a=h:1, a=h:2, c=h:3\ndirectory = d", "members: names one twice"),
        ("listen = h:1\nmembers = a=h:1", "directory: is missing"),
        (
            "listen = h:1\nmembers = a=h:1\ndirectory = d\npatience = 200ms",
            "patience: is under three beats",
        ),
        ("listen = h:1\nmembers = a=h:1\ndirectory = d\nmost_out = 0", "most_out: is under 1"),
    ],
)
def test_a_fleet_that_cannot_be_is_refused_with_its_key(text: str, wrong: str) -> None:
    problems = [str(p) for p in read_text(f"[fleet]\n{text}\n", "f.ini").errors]
    assert any(wrong in problem for problem in problems), problems


def test_without_the_section_there_is_no_fleet_and_a_short_key_is_refused(tmp_path: Path) -> None:
    assert read_text("", "f.ini").one("fleet") == FleetOptions()
    (tmp_path / "key").write_text("short")
    with pytest.raises(ValueError, match="5 bytes; 16 to 64"):
        FleetOptions(key_file=str(tmp_path / "key")).key()


def test_staff_hear_plainly_what_went_wrong(tmp_path: Path) -> None:
    run = CliRunner().invoke
    assert run(work, ["list", "--at", "nowhere"]).exit_code == 2
    assert run(work, ["ask", "s-1", "--at", "127.0.0.1:9"]).exit_code == 1
    assert run(fleet, ["init", str(tmp_path / "n"), "--name", "n0"]).exit_code == 0
    again = run(fleet, ["init", str(tmp_path / "n"), "--name", "n0"])
    assert again.exit_code == 1 and "holds a log already" in again.output


def test_a_plan_tells_who_goes_when_and_why_the_others_wait(tmp_path: Path) -> None:
    (tmp_path / "list").write_text("a1 hall-a\na2 hall-a 5  # the fan\n\nb1 hall-b\na3 hall-a\n")
    run = CliRunner().invoke
    told = run(work, ["plan", str(tmp_path / "list")])
    assert told.exit_code == 0
    lines = told.output.splitlines()
    assert [line for line in lines if line[0].isdigit()] == ["1. a2, b1", "2. a1", "3. a3"]
    assert "   a1 waits: a2 of hall-a is out, and 1 may be" in lines
    two = json.loads(
        run(work, ["plan", str(tmp_path / "list"), "--most-out", "2", "--json"]).output
    )
    assert [one["goes"] for one in two] == [["a1", "a2", "b1"], ["a3"]]


@pytest.mark.parametrize(
    ("text", "wrong"),
    [("a1", "line 1: 'a1'; write MACHINE ZONE"), ("a h x", "MACHINE ZONE"), ("a h 1\na h", "line 2: a stands twice"),
     ("a h 101", "of -100 to 100")],
)  # fmt: skip
def test_a_list_that_cannot_be_planned_is_refused_with_its_line(
    tmp_path: Path, text: str, wrong: str
) -> None:
    (tmp_path / "list").write_text(text)
    told = CliRunner().invoke(work, ["plan", str(tmp_path / "list")])
    assert told.exit_code == 1 and wrong in told.output
