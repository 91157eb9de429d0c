"""State transitions and backoffs of the sender."""

from __future__ import annotations

import random

import pytest

from dockthread.telemetry.delivery_queue import DeliveryQueue
from dockthread.telemetry.sender import TRANSITIONS, Action, ActionKind, Event, Sender, SenderState
from tests.telemetry.samples import report


def drive_sender(*events: Event) -> tuple[Sender, list[Action]]:
    sender = Sender(DeliveryQueue(10_000), random.Random(1))
    actions = [sender.enqueue(report(1.0))]
    for event in events:
        if event is Event.DELIVERED:
            oldest = sender.delivery_queue.peek()
            assert oldest is not None
            sender.delivery_queue.mark_delivered(oldest)
        actions.append(sender.handle(event))
    return sender, actions


def test_a_queued_report_is_sent_and_the_sender_is_idle_afterwards() -> None:
    sender, actions = drive_sender(Event.CONNECTED, Event.DELIVERED)
    assert [action.kind for action in actions] == [
        ActionKind.CONNECT,
        ActionKind.SEND,
        ActionKind.NOTHING,
    ]
    assert (sender.state, sender.reports_sent) == (SenderState.IDLE, 1)


def test_backoffs_double_up_to_a_maximum_with_jitter_until_a_delivery() -> None:
    failure_events = [Event.FAILED, Event.BACKOFF_ELAPSED] * 12
    sender, actions = drive_sender(*failure_events)
    backoffs = [action.backoff_ms for action in actions if action.kind is ActionKind.BACK_OFF]
    assert all(
        0.1 * 250 * 2**failures <= backoff_ms <= 250 * 2**failures
        for failures, backoff_ms in enumerate(backoffs[:6])
    )
    assert max(backoffs) <= 15_000.0
    assert len(set(backoffs)) == 12
    sender.handle(Event.CONNECTED)
    oldest = sender.delivery_queue.peek()
    assert oldest is not None
    sender.delivery_queue.mark_delivered(oldest)
    sender.handle(Event.DELIVERED)
    assert sender.consecutive_failures == 0


@pytest.mark.parametrize(
    ("events", "expected_kinds"),
    [
        ((), [ActionKind.NOTHING]),  # continues to connect, then sends and closes
        ((Event.CONNECTED, Event.DELIVERED), [ActionKind.CLOSE]),
        ((Event.FAILED,), [ActionKind.CONNECT]),  # the drain ends the backoff
    ],
)
def test_drain_sends_all_queued_reports_and_then_closes(
    events: tuple[Event, ...], expected_kinds: list[ActionKind]
) -> None:
    sender, _ = drive_sender(*events)
    assert [sender.drain().kind] == expected_kinds
    if sender.state is SenderState.CLOSING:
        assert sender.handle(Event.FAILED).kind is ActionKind.BACK_OFF, (
            "the last reports must be sent again when the connection breaks while closing"
        )
        assert len(sender.delivery_queue) == 1


def test_every_state_but_ended_has_transitions_and_connection_states_handle_failure() -> None:
    states_with_transitions = {state for state, _ in TRANSITIONS}
    assert states_with_transitions == set(SenderState) - {SenderState.ENDED}
    for state in (
        SenderState.CONNECTING,
        SenderState.SENDING,
        SenderState.IDLE,
        SenderState.CLOSING,
    ):
        assert (state, Event.FAILED) in TRANSITIONS
