"""The actions of one ingress: draining, confirming, and restarting itself."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    TargetKind,
    ZoneStatus,
)
from dockthread.maintenance.model import FleetView, MaintenanceOptions
from dockthread.maintenance.participant import MaintenanceParticipant, ParticipantActions

MEMBERS = ("n0", "n1", "n2")


def command(action: CommandAction, target: str = "", **fields: Any) -> bytes:
    return msgspec.msgpack.encode(MaintenanceCommand(action, target, "a", **fields))


def report(number: int, elapsed_ms: float = 500.0) -> bytes:
    leader_report = LeaderReport(
        number, elapsed_ms, MEMBERS, MEMBERS, (ZoneStatus("a", 4),), ("x", "y"), 30_000.0, 5_000.0
    )
    return command(CommandAction.REPORT, report=leader_report)


def fleet(leader: str = "n0", idle: tuple[str, ...] = (), is_serving: bool = True) -> FleetView:
    return FleetView(leader, MEMBERS, MEMBERS, idle, is_serving)


def new_participant(name: str, incarnation: str = "life") -> MaintenanceParticipant:
    return MaintenanceParticipant(name, incarnation, MaintenanceOptions(), 0.0)


def drained_log(members: tuple[str, ...]) -> list[bytes]:
    """Return the log of a granted backend `x` that these members have drained."""
    confirmations = [
        command(CommandAction.DRAINED, "x", sender=member, epoch=2) for member in members
    ]
    return [command(CommandAction.REQUEST, "x"), report(1), *confirmations]


def proposals(actions: ParticipantActions) -> list[tuple[str, str]]:
    return [(proposal.action, proposal.target) for proposal in actions.propose]


def test_a_drained_backend_is_confirmed_once_idle_and_again_if_the_proposal_is_lost() -> None:
    participant = new_participant("n1")
    for index, data in enumerate(drained_log(("n0",)), 1):
        participant.on_entry_applied(0.0, index, data)
    assert participant.update(0.0, fleet()).drain == ["x"]
    assert participant.drained == {"x"}
    assert proposals(participant.update(10.0, fleet())) == [], "a request is still in flight"
    idle = fleet(idle=("x",))
    assert proposals(participant.update(20.0, idle)) == [("held", "x")]
    assert proposals(participant.update(30.0, idle)) == []
    assert proposals(participant.update(1_600.0, idle)) == [("held", "x")], (
        "a proposal without effect may have been lost"
    )


def test_at_startup_possibly_unavailable_backends_are_drained_until_the_log_is_committed() -> None:
    # Only 5 of the 7 entries are known to be committed. The last two, which end the maintenance of
    # x, may be replaced, so x may still be unavailable.
    log = [*drained_log(MEMBERS), command(CommandAction.COMPLETE, "x"), report(2)]
    entries = list(enumerate(log, 1))
    participant = new_participant("n1", "again")
    participant.recover(b"", entries, 5, 7, 1)
    assert participant.update(0.0, fleet("")).drain == ["x"]
    for index, data in entries:
        participant.on_entry_applied(1.0, index, data)
        participant.on_log_advanced(index, 1)
    assert participant.update(2.0, fleet()).release == ["x"]
    participant_with_committed_log = new_participant("n1", "again")
    participant_with_committed_log.recover(b"", entries, 7, 7, 1)
    assert participant_with_committed_log.update(0.0, fleet("")).drain == [], (
        "the complete log is known to be committed"
    )


@pytest.mark.parametrize(
    ("leader", "incarnation", "state", "expected_action"),
    [
        ("n1", "a", "granted", "transfer"),
        ("n0", "a", "granted", "held"),
        ("n0", "a", "out", "stop"),
        ("n0", "b", "out", "back"),
    ],
)
def test_an_ingress_takes_exactly_one_step_towards_its_own_restart(
    leader: str, incarnation: str, state: str, expected_action: str
) -> None:
    participant = new_participant("n1", incarnation)
    log = [command(CommandAction.REQUEST, "n1", kind=TargetKind.INGRESS), report(1)]
    if state == "out":
        drained = command(CommandAction.DRAINED, "n1", sender="n1", epoch=2, incarnation="a")
        log.append(drained)
    for index, data in enumerate(log, 1):
        participant.on_entry_applied(0.0, index, data)
    actions = participant.update(10.0, fleet(leader))
    actions_by_name = {
        "transfer": actions.transfer_leadership,
        "stop": actions.stop,
        "held": proposals(actions) == [("held", "n1")],
    }
    assert actions_by_name.get(expected_action, proposals(actions) == [("back", "n1")])
    assert sum([actions.transfer_leadership, actions.stop, bool(actions.propose)]) == 1
