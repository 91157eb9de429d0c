"""One ingress's part in the order of work, and turns of work on the simulated network."""

from __future__ import annotations

import msgspec
import pytest

from dockthread.lab.maintenance.seeded_defects import NAMES
from dockthread.lab.raft.seeds import play_seed
from dockthread.maintenance.commands import INGRESS, LeaderReport, MaintenanceCommand, ZoneStatus
from dockthread.maintenance.participant import (
    ClusterView,
    MaintenanceOptions,
    MaintenanceParticipant,
    MemberObservation,
    ParticipantActions,
    ZoneObservation,
    combine_observations,
)
from dockthread.raft import messages

MEMBERS = ("n0", "n1", "n2")
FOUND = {
    "out-at-the-first-word": ("work-turns", 2),
    "tick-twice": ("work-turns-five", 4),
    "warm-is-back": ("work-turns", 0),
    "silent-is-dead": ("work-turns-five", 7),
    "one-more-out": ("work-turns-five", 0),
    "ticks-of-a-life": ("work-turns", 6),
    "start-holds-nothing": ("work-turns", 1),
    "held-while-busy": ("work-turns", 0),
    "frees-what-is-overdue": ("work-turns", 0),
    "back-in-the-same-life": ("work-turns-five", 73),
}


def data(do: str, target: str = "", **more: object) -> bytes:
    return msgspec.msgpack.encode(MaintenanceCommand(do, target, "a", **more))  # type: ignore[arg-type]


def tick(number: int, elapsed: float = 500.0) -> bytes:
    return data(
        "tick",
        tick=LeaderReport(
            number, elapsed, MEMBERS, MEMBERS, (ZoneStatus("a", 4),), ("x", "y"), 30_000.0, 5_000.0
        ),
    )


def around(leader: str = "n0", idle: tuple[str, ...] = (), serving: bool = True) -> ClusterView:
    return ClusterView(leader, MEMBERS, MEMBERS, idle, serving)


def out(me: str, held: tuple[str, ...] = MEMBERS) -> tuple[MaintenanceParticipant, int]:
    """A part that was told of a node out, held by some."""
    part, log = (
        MaintenanceParticipant(me, "life", MaintenanceOptions(), 0.0),
        [data("ask", "x"), tick(1)],
    )
    log += [data("held", "x", by=member, epoch=2) for member in held]
    for index, one in enumerate(log, 1):
        part.applied(0.0, index, one)
    return part, len(log)


def said(acts: ParticipantActions) -> list[tuple[str, str]]:
    return [(c.do, c.target) for c in acts.say]


def test_a_part_says_that_it_holds_a_node_once_nothing_is_out_there_and_again_until_it_shows() -> (
    None
):
    part, _ = out("n1", ("n0",))
    assert part.turn(0.0, around()).hold == ["x"] and part.holds == {"x"}
    assert said(part.turn(10.0, around())) == [], "something is still out there"
    assert said(part.turn(20.0, around(idle=("x",)))) == [("held", "x")]
    assert said(part.turn(30.0, around(idle=("x",)))) == []
    assert said(part.turn(1_600.0, around(idle=("x",)))) == [("held", "x")], "it may have been lost"


def test_a_start_holds_all_that_may_be_out_until_its_log_is_known_to_be_agreed() -> None:
    # the end of this log may be replaced: x may still be out
    back = [(6, data("done", "x")), (7, tick(2))]
    log = [(1, data("ask", "x")), (2, tick(1)), *((3 + i, data("held", "x", by=m, epoch=2)) for i, m in
           enumerate(MEMBERS)), *back]  # fmt: skip
    part = MaintenanceParticipant("n1", "again", MaintenanceOptions(), 0.0)
    part.begins(b"", log, 5, 7, 1)
    assert part.turn(0.0, around("")).hold == ["x"]
    for index, one in log:
        part.applied(1.0, index, one)
        part.came_to(index, 1)
    assert part.turn(2.0, around()).free == ["x"]
    sure = MaintenanceParticipant("n1", "again", MaintenanceOptions(), 0.0)
    sure.begins(b"", log, 7, 7, 1)
    assert sure.turn(0.0, around("")).hold == [], "known to be agreed to its end"


@pytest.mark.parametrize(
    ("leader", "life", "state", "wanted"),
    [
        ("n1", "a", "granted", "hand over"),
        ("n0", "a", "granted", "held"),
        ("n0", "a", "out", "stop"),
        ("n0", "b", "out", "back"),
    ],
)
def test_an_ingress_in_its_own_turn(leader: str, life: str, state: str, wanted: str) -> None:
    part = MaintenanceParticipant("n1", life, MaintenanceOptions(), 0.0)
    log = [data("ask", "n1", kind=INGRESS), tick(1)]
    log += [data("held", "n1", by="n1", epoch=2, life="a")] if state == "out" else []
    for index, one in enumerate(log, 1):
        part.applied(0.0, index, one)
    acts = part.turn(10.0, around(leader))
    done = {"hand over": acts.hand_over, "stop": acts.stop, "held": said(acts) == [("held", "n1")]}
    assert done.get(wanted, said(acts) == [("back", "n1")])
    assert sum([acts.hand_over, acts.stop, bool(acts.say)]) == 1


def test_what_is_seen_together_takes_a_majority_and_believes_no_one_member_alone() -> None:
    def view(
        ready: tuple[str, ...],
        ailing: tuple[str, ...] = (),
        pressed: bool = False,
        out: float = 2.0,
    ) -> MemberObservation:
        return MemberObservation((ZoneObservation("a", ready, ailing, out, pressed),), ("x",))

    three = {"n0": view(("x", "y")), "n1": view(("x", "y"), ("y",), True, 4.0), "n2": view(("x",))}
    assert combine_observations(three, 5, 4.0) == (
        (ZoneStatus("a", 1, (), 8 * 5 / 3 / 4, False),),
        ("x",),
    )
    both = {**three, "n3": view(("x", "y"), ("y",), True)}
    assert combine_observations(both, 5, 0.0)[0] == (ZoneStatus("a", 2, ("y",), -1.0, True),)
    assert combine_observations({"n0": three["n0"], "n1": three["n1"]}, 5, 4.0) == ((), ())


def test_a_message_of_a_later_release_is_told_from_spoilt_bytes() -> None:
    later = msgspec.msgpack.encode(["z", 1, "n1"])
    with pytest.raises(messages.UnknownMessageError):
        messages.unpack(messages.FRAME_HEADER.pack(len(later), messages.VERSION, bytes(16)), later)
    whole = messages.pack(messages.StatusReport(1, "n1", b"x"), b"k" * 16)
    with pytest.raises(messages.MalformedFrameError) as spoilt:
        messages.unpack(
            whole[: messages.FRAME_HEADER.size], whole[messages.FRAME_HEADER.size :], b"l" * 16
        )
    assert not isinstance(spoilt.value, messages.UnknownMessageError), (
        "another key: the connection is closed"
    )


@pytest.mark.parametrize("plant", NAMES)
def test_each_planted_bug_of_the_order_of_work_is_found(plant: str) -> None:
    name, seed = FOUND[plant]
    assert play_seed(name, seed, plant).broken and not play_seed(name, seed).broken


def test_a_seed_of_turns_gives_the_same_record_each_time() -> None:
    first, again = (play_seed("work-turns", 3) for _ in range(2))
    assert first == again and any("is pulled" in line for line in first.record)
