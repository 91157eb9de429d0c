"""Several processes of the program as one fleet, with faults between them: never more out than may
be.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest.mock import ANY

from dockthread.lab.maintenance.rig import Rig
from tests.loopback import SETTINGS, target

TARGETS = [target(f"s-{i}", 6000 + i) for i in range(4)]  # all of hall-a
SOON = "dead = 1500ms\nlapse = 20s\n"  # a member that is silent for so long is not waited for
TAKEN = ("granted", "draining", "out")
ALL_OUT = 40.0  # s: a generous bound on any progress


async def until(what: Callable[[], Awaitable[Any]], most: float = ALL_OUT) -> Any:
    async with asyncio.timeout(most):
        while not (found := await what()):
            await asyncio.sleep(0.05)
    return found


def fleet(
    folder: Path, scenario: Callable[[Rig], Awaitable[None]], size: int = 3, watched: bool = True
) -> None:
    """Runs it on real processes. All the while no member may hold more than one for granted, nor
    two members hold unlike ones at the same place of the log.
    """

    async def bounded() -> None:
        rig = Rig(folder, size, SETTINGS, TARGETS, more=SOON)
        await rig.open()
        watching = asyncio.create_task(watch(rig) if watched else asyncio.sleep(1_000))
        try:
            await until(rig.leader)
            await asyncio.wait_for(scenario(rig), 100)
            assert not watching.done(), watching.exception()
        finally:
            watching.cancel()
            await rig.close()

    asyncio.run(bounded())


async def watch(rig: Rig) -> None:
    while True:
        for name in list(rig.processes):
            out = await rig.away(name)
            assert out is None or len(out) <= 1, f"{name} holds {out} for granted"
        await asyncio.sleep(0.02)


async def ask(rig: Rig, name: str, uid: str, do: str = "ask") -> tuple[int, Any]:
    return await rig.call(name, "POST", f"/_work/{do}", {"target": uid, "why": "test"})


async def settled(rig: Rig, uid: str, names: list[str]) -> bool:
    return all([await rig.away(name) == {uid} for name in names])


def test_two_asked_for_at_the_same_moment_go_one_after_the_other(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        said = await asyncio.gather(ask(rig, "n0", "s-0"), ask(rig, "n1", "s-1"))
        assert {status for status, _ in said} == {200}
        states = {answer["target"]: answer["state"] for _, answer in said}
        assert sum(state in TAKEN for state in states.values()) == 1, states
        first = next(uid for uid, state in states.items() if state in TAKEN)
        second = next(uid for uid, state in states.items() if state == "waiting")
        waits = next(answer for _, answer in said if answer["target"] == second)
        assert waits["reason"] == f"{first} of hall-a is out, and 1 may be"
        await until(lambda: settled(rig, first, rig.names))
        assert (await ask(rig, "n2", first, "done"))[0] == 200
        await until(lambda: settled(rig, second, rig.names))
        assert (await ask(rig, "n0", "no-such"))[0] == 404

    fleet(tmp_path, scenario)


async def both_know(rig: Rig) -> bool:
    said = [await rig.call(name, "GET", "/_fleet") for name in rig.names]
    return all(status == 200 and one["leader"] for status, one in said)


def test_what_was_granted_outlives_its_leader_and_all_of_them(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        await until(lambda: taken(rig, leader, "s-0"))
        rig.kill(leader)  # right after its yes
        rest = [name for name in rig.names if name != leader]
        await until(lambda: rig.leader(rest))
        await until(lambda: settled(rig, "s-0", rest))
        for name in rest:
            rig.kill(name)
        for name in rig.names:
            rig.start(name)
        await until(lambda: settled(rig, "s-0", rig.names))

    fleet(tmp_path, scenario)


def test_a_minority_grants_nothing_and_comes_back_to_what_was_agreed(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        rest = [name for name in rig.names if name != leader]
        rig.cut({leader})
        status, _ = await ask(rig, leader, "s-0")
        assert status == 503, "cut off, it cannot have a majority"
        other = await until(lambda: rig.leader(rest))
        await until(lambda: taken(rig, other, "s-1"))
        await until(lambda: settled(rig, "s-1", rest))
        assert await rig.away(leader) == set()
        rig.heal()
        await until(lambda: settled(rig, "s-1", rig.names))

    fleet(tmp_path, scenario)


def test_five_cut_three_to_two_where_the_cut_then_moves(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        few = {leader, next(name for name in rig.names if name != leader)}
        many = [name for name in rig.names if name not in few]
        rig.cut(few)
        other = await until(lambda: rig.leader(many))
        await until(lambda: taken(rig, other, "s-0"))
        assert {
            status for status, _ in await asyncio.gather(*(ask(rig, name, "s-1") for name in few))
        } == {503}
        rig.heal()
        await until(lambda: settled(rig, "s-0", rig.names))
        few = {other, many[0] if other != many[0] else many[1]}
        many = [name for name in rig.names if name not in few]
        rig.cut(few)
        other = await until(lambda: rig.leader(many))
        assert (await ask(rig, other, "s-0", "done"))[0] == 200
        await until(lambda: none_out(rig, many, but="s-1"))
        rig.heal()
        await until(lambda: none_out(rig, rig.names, but="s-1"))

    fleet(tmp_path, scenario, size=5)


async def none_out(rig: Rig, names: list[str], but: str = "") -> bool:
    """`but`: one that was asked for in a minority; it may have been agreed on since, and is then
    out alone.
    """
    return all([await rig.away(name) in (set(), {but}) for name in names])


def test_a_leader_heard_by_nobody_is_replaced_and_slow_links_only_slow(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        rest = [name for name in rig.names if name != leader]
        rig.cut({leader}, both=False)  # it hears the others, who do not hear it
        other = await until(lambda: rig.leader(rest))
        await until(lambda: taken(rig, other, "s-0"))
        rig.heal()
        for link in rig.links.values():
            link.delay = 200.0
        await until(lambda: settled(rig, "s-0", rig.names))

    fleet(tmp_path, scenario)


def test_an_ingress_in_a_crash_loop_does_not_stop_the_others(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        bad = next(name for name in rig.names if name != leader)
        rest = [name for name in rig.names if name != bad]
        for turn in range(4):
            rig.kill(bad)
            uid = f"s-{turn}"
            assert await until(lambda uid=uid: taken(rig, rest[0], uid))  # type: ignore[misc]
            rig.start(bad)
            await until(lambda uid=uid: settled(rig, uid, rest))  # type: ignore[misc]
            assert (await ask(rig, rest[1], uid, "done"))[0] == 200
        await until(lambda: none_out(rig, rig.names))

    fleet(tmp_path, scenario)


async def taken(rig: Rig, name: str, uid: str) -> bool:
    """Asked for again until its turn has come: asked twice it is one request."""
    status, said = await ask(rig, name, uid)
    return status == 200 and said["state"] in TAKEN


def test_a_leader_held_still_grants_nothing_when_it_goes_on(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        rest = [name for name in rig.names if name != leader]
        rig.signal(leader, signal.SIGSTOP)
        # read once it goes on, by one that led in its time
        asked = asyncio.create_task(ask(rig, leader, "s-0"))
        other = await until(lambda: rig.leader(rest))
        await until(lambda: taken(rig, other, "s-1"))
        rig.signal(leader, signal.SIGCONT)
        await asked
        await until(lambda: settled(rig, "s-1", rig.names))

    fleet(tmp_path, scenario)


async def out_at(rig: Rig, uid: str, name: str) -> bool:
    """Whether one member says that it is out: all hold it, so that staff may pull the plug."""
    return await rig.away(name, ("out",)) == {uid}


async def refused(rig: Rig, name: str) -> str:
    status, said = await rig.call(name, "GET", "/_fleet")
    return str(said) if status == 503 else ""


def test_an_ingress_that_is_no_member_says_so_and_does_not_start(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        rig.kill("n2")
        ini = rig.folder / "n2" / "dockthread.ini"
        rig.start("n2", f"{ini.read_text()}".replace("n2=", "n9="))
        assert await asyncio.to_thread(rig.processes["n2"].wait, 30) == 2
        assert (
            b"members: n2, this ingress, is not among" in (rig.folder / "n2" / "out").read_bytes()
        )

    fleet(tmp_path, scenario)


def test_staff_go_through_a_night_of_work_by_the_commands(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        for words, said in (
            ("work ask s-0 --why fan --for 1h", "s-0  "),
            ("work ask s-1", "s-1  waiting: s-0 of hall-a is out, and 1 may be"),
            ("work list", "s-0  out (fan)\ns-1  waiting: s-0 of hall-a is out, and 1 may be"),
            ("work withdraw s-1", "s-1  withdrawn"),
            ("work done s-0", "s-0  returning"),
        ):
            if words == "work list":
                await until(lambda: out_at(rig, "s-0", "n1"))
            command = [
                sys.executable,
                "-m",
                "dockthread",
                *words.split(),
                "--at",
                str(rig.door["n1"]),
            ]
            done = await asyncio.to_thread(
                subprocess.run, command, capture_output=True, text=True, timeout=30
            )
            assert done.returncode == 0 and done.stdout.startswith(said), (
                words,
                done.stdout,
                done.stderr,
            )

    fleet(tmp_path, scenario)


def test_a_log_that_was_spoilt_is_not_believed(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        victim = next(name for name in rig.names if name != leader)
        rig.kill(victim)
        path = rig.folder / victim / "log" / "log"
        data = bytearray(path.read_bytes())
        data[24] ^= 0xFF
        path.write_bytes(data)
        rig.start(victim)
        said = await until(lambda: refused(rig, victim))
        assert "is spoilt at byte 0" in said
        assert (await rig.call(victim, "GET", "/_ready"))[0] == 200, (
            "requests are served all the same"
        )
        leader = await until(rig.leader)
        await until(lambda: taken(rig, leader, "s-0"))

    fleet(tmp_path, scenario)


async def state_of(rig: Rig, name: str, target: str) -> str:
    """Of a request at one member, over or not; empty where it does not answer or knows none."""
    status, said = await rig.call(name, "GET", "/_work", most=0.5)
    known = [*said["over"], *said["work"]] if status == 200 else []
    return next((r["state"] for r in reversed(known) if r["target"] == target), "")


def test_ingresses_go_one_after_another_each_back_before_the_next_and_the_leader_hands_over(
    tmp_path: Path,
) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        for name in rig.names:
            assert (await ask(rig, leader, name))[0] == 200
        gone: list[str] = []

        async def supervised() -> bool:
            """As staff's supervisor would: whoever has ended is started again."""
            ended = [name for name, process in rig.processes.items() if process.poll() is not None]
            assert len(ended) <= 1, f"{ended} are away at once"
            for name in ended:
                assert rig.processes[name].returncode == 0, "its turn ends it gently"
                gone.append(name)
                rig.start(name)
            states = [await state_of(rig, rig.names[0], name) for name in rig.names]
            return states == ["done"] * len(rig.names)

        await until(supervised, 90.0)
        assert sorted(gone) == rig.names

    fleet(tmp_path, scenario, watched=False)


def test_a_machine_that_is_out_is_held_from_the_first_moment_of_a_life_in_a_minority_too(
    tmp_path: Path,
) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        assert (await ask(rig, "n0", "s-0"))[0] == 200
        await until(lambda: out_at(rig, "s-0", "n1"))
        for name in rig.names:
            rig.kill(name)
        rig.start("n1")
        await until(lambda: ready(rig, "n1"))
        log = (rig.folder / "n1" / "out").read_bytes().rpartition(b"management endpoint")[2]
        assert log.index(b"s-0 is drained") < log.index(b"starting -> serving")
        assert await rig.call("n1", "POST", "/_backends/attach", {"target": "no-such"}) == (
            404,
            ANY,
        )

    fleet(tmp_path, scenario, watched=False)


async def ready(rig: Rig, name: str) -> bool:
    return (await rig.call(name, "GET", "/_ready", most=0.5))[0] == 200


def test_a_dead_ingress_is_waited_for_only_until_that_is_agreed(tmp_path: Path) -> None:
    async def scenario(rig: Rig) -> None:
        await until(lambda: both_know(rig))
        leader = await rig.leader()
        rest = [name for name in rig.names if name != leader]
        rig.signal(rest[0], signal.SIGSTOP)
        assert (await ask(rig, leader, "s-0"))[0] == 200
        await until(lambda: out_at(rig, "s-0", leader))
        _, said = await rig.call(leader, "GET", "/_work")
        assert set(said["work"][0]["held"]) == {leader, rest[1]}
        rig.signal(rest[0], signal.SIGCONT)
        await until(lambda: settled(rig, "s-0", rig.names))
        assert (await ask(rig, rest[1], "s-0", "done"))[0] == 200
        await until(lambda: none_out(rig, rig.names))

    fleet(tmp_path, scenario)
