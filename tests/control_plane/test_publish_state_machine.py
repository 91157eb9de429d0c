"""Tests the state machine that accepts published changes."""

from __future__ import annotations

import random

import pytest

from dockthread.control_plane.messages import MAX_BODY_BYTES, PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import PublishStateMachine


def make_state_machine() -> PublishStateMachine:
    return PublishStateMachine(
        {"route": lambda name, body: "no good" if body == b"bad" else ""}, random.Random(1)
    )


def apply_request(
    state_machine: PublishStateMachine, request: PublishRequest
) -> PublishResponse | None:
    state_machine.apply(1, state_machine.encode_proposal(request))
    return state_machine.response_for(request.token)


def test_outcome_of_a_token_is_final_even_after_a_snapshot_is_restored() -> None:
    state_machine = make_state_machine()
    change = PublishRequest("t1", "route", "r1", b"one")
    assert (
        apply_request(state_machine, change)
        == apply_request(state_machine, change)
        == PublishResponse("t1", 1)
    )
    rejected = apply_request(state_machine, PublishRequest("t2", "route", "r1", b"two", expected=7))
    assert rejected is not None and rejected.revision == 0 and "at 1" in rejected.reason
    restored = make_state_machine()
    restored.restore(2, state_machine.state())
    assert (
        restored.table.digest == state_machine.table.digest
        and restored.table.epoch == state_machine.table.epoch
    )
    assert apply_request(restored, change) == PublishResponse("t1", 1)
    for revision in range(2, 8):
        apply_request(restored, PublishRequest(f"u{revision}", "route", "r1", b"x"))
    assert (
        apply_request(restored, PublishRequest("t2", "route", "r1", b"two", expected=7)) == rejected
    )


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (PublishRequest("t", "road", "r", b""), "no such kind"),
        (PublishRequest("t", "route", "r", b"bad"), "no good"),
        (PublishRequest("", "route", "r", b""), "token"),
        (PublishRequest("t", "route", "", b""), "name"),
        (PublishRequest("t", "route", "a\x00b", b""), "name"),
        (PublishRequest("t", "route", "ä" * 65, b""), "name"),
        (PublishRequest("t", "route", "r", bytes(MAX_BODY_BYTES + 1)), "the most"),
    ],
)
def test_request_that_exceeds_a_bound_or_fails_validation_has_a_rejection_reason(
    change: PublishRequest, reason: str
) -> None:
    assert reason in make_state_machine().rejection_reason(change)
    assert not make_state_machine().rejection_reason(PublishRequest("t", "route", "r", b"good"))


def test_undecodable_entry_changes_nothing_and_each_log_has_its_own_epoch() -> None:
    first, second = make_state_machine(), PublishStateMachine({}, random.Random(2))
    first.apply(1, b"\xc1")
    assert first.undecodable == 1 and first.table.epoch == ""
    for state_machine in (first, second):
        apply_request(state_machine, PublishRequest("t", "route", "r", b""))
    assert first.table.epoch != second.table.epoch
