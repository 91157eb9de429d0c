"""The order of work and the store: every command in every order, a kill at every byte, and the words of staff."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from click.testing import CliRunner

from dockthread.cli.work import fleet, work
from dockthread.fleet.actions import Keep, KeepState
from dockthread.fleet.options import FleetOptions
from dockthread.fleet.store import Lost, Store
from dockthread.fleet.wire import COMMAND, Entry
from dockthread.sections import read_text
from dockthread.work.host import Work
from dockthread.work.order import Command, Order


def said(do: str, target: str, hall: str = "a", urgency: int = 0, most: int = 1) -> bytes:
    return msgspec.msgpack.encode(Command(do, target, hall, "", "n0", urgency, most))  # type: ignore[arg-type]


def test_the_urgent_goes_first_then_the_older_and_halls_do_not_wait_for_each_other() -> None:
    order = Order()
    for index, data in enumerate([said("ask", "x"), said("ask", "old"), said("ask", "hot", urgency=5)], 1):
        order.apply(index, data)
    order.apply(4, said("ask", "other", hall="b"))
    assert order.granted() == {"x", "other"}
    assert order.reason(order.requests["old"]) == "x of a is out, and 1 may be"
    order.apply(5, said("done", "x"))
    assert order.granted() == {"hot", "other"}
    order.apply(6, said("withdraw", "hot"))
    assert order.granted() == {"old", "other"}
    assert [(r.target, r.state) for r in order.over] == [("x", "done"), ("hot", "withdrawn")]


def test_a_command_handed_on_twice_is_carried_out_once_also_after_a_state() -> None:
    first = msgspec.msgpack.encode(Command("ask", "x", "a", once="7f"))
    order = Order()
    for index, data in enumerate([first, said("done", "x"), first], 1):
        order.apply(index, data)
    assert not order.requests
    other = Order()
    other.restore(order.packed())
    other.apply(4, first)
    assert not other.requests


def test_asked_twice_it_is_one_and_done_before_its_turn_is_nothing() -> None:
    order = Order()
    for index, data in enumerate([said("ask", "x"), said("ask", "x"), said("ask", "y"), said("done", "y")], 1):
        order.apply(index, data)
    assert order.granted() == {"x"} and order.requests["y"].state == "waiting"
    order.apply(5, b"\xc1 rubbish")
    order.apply(6, msgspec.msgpack.encode(["explode", "x"]))
    assert order.granted() == {"x"}


@pytest.mark.parametrize("seed", range(200))
def test_whatever_is_asked_no_hall_has_more_out_than_the_careful_say_and_all_members_agree(seed: int) -> None:
    rng, order, other = random.Random(seed), Order(), Order()
    granted: dict[str, str] = {}
    for index in range(1, 80):
        target, do = f"m{rng.randrange(8)}", rng.choice(("ask", "ask", "done", "withdraw"))
        data = said(do, target, "ab"[int(target[1:]) % 2], rng.randrange(3), rng.randrange(1, 4))
        order.apply(index, data)
        other.apply(index, data)
        if index == 40:  # one comes back from a state
            state = other.packed()
            other = Order()
            other.restore(state)
        assert order.packed() == other.packed()
        for hall in "ab":
            in_hall = [r for r in order.requests.values() if r.hall == hall]
            out = [r for r in in_hall if r.state == "granted"]
            new = [r for r in out if r.target not in granted]
            # One that is out stays out when a more careful request comes; none is let out beyond it.
            assert not new or len(out) <= min(r.most for r in in_hall)
            assert bool(out) or not in_hall, "where none is out, whoever waits goes"
        granted = {r.target: r.hall for r in order.requests.values() if r.state == "granted"}


def test_work_that_was_over_before_a_start_leaves_no_machine_cold() -> None:
    """All entries of a log come at a time then; only what is out at their end is drained."""

    async def scenario() -> None:
        told: list[tuple[str, bool]] = []
        one = Work.__new__(Work)
        one.order, one._held, one._changed = Order(), set(), False

        def hold(uid: str, held: bool) -> bool:
            told.append((uid, held))
            return True

        one._ingress = SimpleNamespace(hold=hold)  # type: ignore[assignment]
        for index, data in enumerate([said("ask", "x"), said("done", "x"), said("ask", "y")], 1):
            one._apply(index, data)
        await asyncio.sleep(0)
        assert told == [("y", True)]
        one._apply(4, said("done", "y"))
        await asyncio.sleep(0)
        assert told == [("y", True), ("y", False)]

    asyncio.run(scenario())


def entries(*texts: str) -> tuple[Entry, ...]:
    return tuple(Entry(1, COMMAND, text.encode()) for text in texts)


def test_a_kill_at_every_byte_of_the_log_leaves_what_was_kept_before(tmp_path: Path) -> None:
    store = Store(tmp_path / "whole", "n0", make=True)
    kept = [Keep(1, "n1", 1, entries("a")), Keep(1, "n1", 2, entries("b", "c")), Keep(2, "", 2, entries("B"))]
    known: list[tuple[int, str, list[Entry]]] = [(0, "", [])]
    ends = [0]
    for what in kept:
        store.keep(what)
        known.append((store.stored.term, store.stored.vote, list(store.stored.entries)))
        ends.append((tmp_path / "whole" / "log").stat().st_size)
    store.close()
    whole = (tmp_path / "whole" / "log").read_bytes()
    for cut in range(len(whole) + 1):
        (tmp_path / "whole" / "log").write_bytes(whole[:cut])
        again = Store(tmp_path / "whole", "n0")
        last = max(i for i, end in enumerate(ends) if end <= cut)
        assert (again.stored.term, again.stored.vote, again.stored.entries) == known[last]
        again.close()


def test_a_state_takes_the_place_of_entries(tmp_path: Path) -> None:
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(3, "n2", 1, entries("a", "b", "c")))
    store.keep(KeepState(2, 1, ("n0", "n1"), b"ab", False))
    store.keep(Keep(3, "n2", 4, entries("d")))
    store.close()
    again = Store(tmp_path / "n", "n0")
    assert (again.stored.base, again.stored.state, again.stored.term) == (2, b"ab", 3)
    assert again.stored.entries == list(entries("c", "d"))
    size = (tmp_path / "n" / "log").stat().st_size
    for _ in range(50):
        again.keep(KeepState(2, 1, ("n0", "n1"), b"ab", False))
    assert (tmp_path / "n" / "log").stat().st_size <= size, "what no longer counts does not fill the disk"
    again.close()


def test_a_kill_between_the_writes_of_a_state_harms_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(3, "n2", 1, entries("a", "b", "c")))
    for step, base in ((0, 0), (1, 2)):
        monkeypatch.setattr(Store, "_beside", killed_at(step, Store._beside))
        with pytest.raises(KeyboardInterrupt):
            store.keep(KeepState(2, 1, ("n0",), b"ab", False))
        monkeypatch.undo()
        store.close()
        store = Store(tmp_path / "n", "n0")
        assert store.stored.base == base
        assert store.stored.entries == list(entries("a", "b", "c"))[base:]
    store.keep(Keep(4, "", 4, entries("d")))
    store.close()
    store = Store(tmp_path / "n", "n0")
    assert (store.stored.term, store.stored.entries) == (4, list(entries("c", "d")))
    store.close()


def killed_at(step: int, real: Callable[[Store, str, bytes], None]) -> Callable[[Store, str, bytes], None]:
    """The store's write beside, but for a kill at the `step`-th: before the state's rename, or the log's."""
    calls = iter(range(9))

    def beside(store: Store, name: str, body: bytes) -> None:
        if next(calls) == step:
            raise KeyboardInterrupt
        real(store, name, body)

    return beside


def test_what_lies_there_is_believed_only_whole(tmp_path: Path) -> None:
    with pytest.raises(Lost, match="fleet init"):
        Store(tmp_path / "none", "n0")
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(1, "n0", 1, entries("a")))
    with pytest.raises(BlockingIOError):
        Store(tmp_path / "n", "n0")  # another process has it
    store.close()
    with pytest.raises(FileExistsError):
        Store(tmp_path / "n", "n0", make=True)
    data = bytearray((tmp_path / "n" / "log").read_bytes())
    data[-1] ^= 1
    (tmp_path / "n" / "log").write_bytes(data)
    with pytest.raises(Lost, match="spoilt at byte 0"):
        Store(tmp_path / "n", "n0")


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("members = a=127.0.0.1:1", "listen: is missing"),
        ("listen = nowhere", "listen: 'nowhere' is no address"),
        ("listen = h:1\nmembers = a=h:1, b=h:2\ndirectory = d", "members: names 2"),
        ("listen = h:1\nmembers = a=h:1, b, c=h:3\ndirectory = d", "members: 'b' is no member"),
        ("listen = h:1\nmembers = a=h:1, a=h:2, c=h:3\ndirectory = d", "members: names one twice"),
        ("listen = h:1\nmembers = a=h:1", "directory: is missing"),
        ("listen = h:1\nmembers = a=h:1\ndirectory = d\npatience = 200ms", "patience: is under three beats"),
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
