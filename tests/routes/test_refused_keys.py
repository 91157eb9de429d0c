"""Invalid routes in the operator's file are refused with a reason and a remedy."""

from __future__ import annotations

import pytest

from tests.routes.site_settings import CHECKOUT, KEYED, STATUS, parse_problems

# The keys of a route, and a part of the error line that they cause.
INVALID_ROUTES = [
    # unsafe classes
    (CHECKOUT + "retry_on = timeout", "retry_on: timeout would repeat a request that may have run"),
    (CHECKOUT + "retry_on = reset, unreachable", "reset would repeat"),
    (
        CHECKOUT + "attempts = 3\nretry_on = error",
        "seat-checkout must never run twice; turned-away, unreachable",
    ),
    (CHECKOUT + "retry_on = error, reset, timeout", "error, reset, timeout would repeat"),
    ("retry_on = error", "error would repeat a request that may have run: seat-checkout"),
    ("class = seat-status, seat-checkout\nretry_on = timeout", "timeout would repeat"),
    ("verb = write\nretry_on = timeout", "timeout would repeat"),
    ("plan = gross\nretry_on = reset", "reset would repeat"),
    (
        CHECKOUT + "copies = yes",
        "copies: yes would run a request twice: seat-checkout must never run twice; no",
    ),
    ("copies = yes", "yes would run a request twice"),
    ("verb = write\ncopies = yes\ncopy_after = 300ms", "yes would run a request twice"),
    # times against the deadline
    (
        STATUS + "timeout = 5s",
        "timeout: 5s is longer than the client's deadline for seat-status, 4s; at most 4s",
    ),
    (CHECKOUT + "timeout = 13s", "13s is longer than the client's deadline for seat-checkout, 12s"),
    ("timeout = 10s", "10s is longer than the client's deadline for seat-status"),
    (
        STATUS + "attempt_timeout = 4500ms",
        "attempt_timeout: 4500ms is longer than the client's deadline",
    ),
    (
        STATUS + "attempts = 3\nattempt_timeout = 2s",
        "3 attempts of 2s = 6s exceeds the client's deadline",
    ),
    (STATUS + "attempts = 3\nattempt_timeout = 2s", "attempt_timeout = 1333ms"),
    (STATUS + "attempt_timeout = 2s", "4 attempts of 2s = 8s exceeds"),
    (
        STATUS + "attempts = 2\nattempt_timeout = 2s\nbackoff = 100ms",
        "+ 100ms of backoff = 4100ms exceeds",
    ),
    (
        STATUS + "attempts = 4\nattempt_timeout = 900ms\nbackoff = 200ms\nbackoff_max = 300ms",
        "+ 800ms of backoff",
    ),
    (
        STATUS
        + "attempts = 2\nattempt_timeout = 1900ms\nlimit = 50\nqueue = 5\nqueue_wait = 300ms",
        "in the queue",
    ),
    (
        CHECKOUT + "attempts = 4\nattempt_timeout = 4s\nretry_on = unreachable",
        "4 attempts of 4s = 16s exceeds",
    ),
    (
        STATUS + "limit = 50\nqueue = 5\nqueue_wait = 4s",
        "queue_wait: 4s leaves seat-status no time for an attempt",
    ),
    (
        STATUS + "timeout = 2s\nattempt_timeout = 3s",
        "attempt_timeout: 3s is longer than timeout; at most 2s",
    ),
    # times shorter than the network's round trip
    (
        STATUS + "timeout = 2ms",
        "timeout: 2ms is shorter than the network's round trip; at least 5ms",
    ),
    (
        STATUS + "attempt_timeout = 500us",
        "attempt_timeout: 500us is shorter than the network's round trip",
    ),
    (
        STATUS + "copies = yes\ncopy_after = 1ms",
        "copy_after: 1ms is shorter than the network's round trip",
    ),
    # hedges
    (
        STATUS + "copies = yes\ncopy_after = 4s",
        "copy_after: 4s is not before the attempt timeout for seat-status; below 4s",
    ),
    (
        STATUS + "copies = yes\nattempt_timeout = 500ms\ncopy_after = 500ms",
        "500ms is not before attempt_timeout",
    ),
    (STATUS + "copies = yes\ntimeout = 1s\ncopy_after = 2s", "2s is not before timeout = 1s"),
    (STATUS + "copies = yes\ncopy_after = soon", "copy_after: 'soon' is not a delay"),
    (STATUS + "copies = yes\ncopy_after = p100", "'p100' is not a delay"),
    (STATUS + "copies = no\ncopy_after = p95", "copy_after: is set, but copies is not yes"),
    (STATUS + "copy_share = 5%", "copy_share: is set, but copies is not yes"),
    (STATUS + "copies = yes\ncopy_share = 0", "copy_share: 0 is out of range"),
    (STATUS + "copies = yes\ncopy_share = 80%", "copy_share: 0.8 is out of range"),
    (STATUS + "copies = yes\nattempts = 1", "copies: yes needs a second attempt"),
    (STATUS + "copies = perhaps", "'perhaps' is neither yes nor no"),
    # attempts
    (STATUS + "attempts = 5", "attempts: 5 is more than the settings allow; at most 4"),
    (STATUS + "attempts = 0", "attempts: 0 would never forward a request; at least 1"),
    (STATUS + "attempts = many", "attempts: 'many' is not valid"),
    (STATUS + "attempts = 1\nretry_on = error", "retry_on: names outcomes, but attempts = 1"),
    (STATUS + "retry_on = errors", "'errors' is not one of error, reset, timeout"),
    # backoff and budgets
    (STATUS + "backoff = 10", "backoff: '10' is not a duration"),
    (STATUS + "backoff_max = 1s", "backoff_max: needs backoff, which is not set"),
    (STATUS + "backoff = 1s\nbackoff_max = 500ms", "backoff_max: 500ms is shorter than backoff"),
    (
        STATUS + "retry_budget = 150%",
        "retry_budget: 1.5 allows a load of 2.5 times the first attempts",
    ),
    (
        STATUS + "attempts = 3\nretry_budget = 0\nretry_floor = 0",
        "retry_budget: 0 without retry_floor allows no retry",
    ),
    (STATUS + "retry_budget = some", "'some' is not a share"),
    (STATUS + "retry_floor = -1", "retry_floor: -1 is out of range"),
    # limits
    (STATUS + "limit = 0", "limit: '0' is not a limit; 1 to 100000, or adaptive"),
    (STATUS + "limit = adaptiv", "'adaptiv' is not a limit"),
    (STATUS + "limit = 10\nlimit_max = 20", "limit_max: bounds an adaptive limit"),
    (STATUS + "limit_min = 5", "limit_min: needs a limit"),
    (STATUS + "limit = adaptive\nlimit_min = 0", "limit_min: 0 would block all requests"),
    (
        STATUS + "limit = adaptive\nlimit_min = 9\nlimit_max = 5",
        "limit_max: 5 is below limit_min = 9",
    ),
    (STATUS + "queue = 5", "queue: needs a limit"),
    (STATUS + "limit = 50\nqueue = 5", "queue: needs a longest wait; set queue_wait"),
    (
        STATUS + "limit = 50\nqueue_wait = 1s",
        "queue_wait: needs queue, which is not set",
    ),
    (
        STATUS + "plan = gross\nlimit = 2",
        "limit: 2 concurrent requests serve 6.67 seat-status a second; one firm of gross",
    ),
    (
        STATUS + "plan = gross\nlimit = adaptive\nlimit_max = 3",
        "limit_max: 3 concurrent requests serve",
    ),
    # names
    ("class = seat-state", "class: 'seat-state' is not a known class; did you mean seat-status?"),
    ("plan = mittel", "plan: 'mittel' is not a known plan; known: klein, gross"),
    ("hall = hall-c", "hall: 'hall-c' is not a known hall; did you mean hall-"),
    (
        "nodes = type-x",
        "nodes: 'type-x' is neither a kind of node nor a hall, so no node could match",
    ),
    ("verb = delete", "'delete' is not one of read, write"),
    (CHECKOUT + "verb = read", "verb: read matches none of seat-checkout"),
    ("firm = nobody", "firm: 'nobody' is not a firm's number; write a number below 2^33"),
    ("firm = fffffffff", "'fffffffff' is not a firm's number"),
    ("units = 3..1", "units: '3..1' is not a number of units; write 2, or 1..3"),
    ("units = few", "'few' is not a number of units"),
    ("clas = seat-status", "clas: is not a key of this section; did you mean class?"),
    # keyed classes
    (
        KEYED + "attempts = 3\nattempt_timeout = 1s",
        "attempts: 3 attempts of 1s exceed the window of 2s",
    ),
    (KEYED + "nodes = hall-a", "nodes: may leave the zone within which repeats are dropped"),
]


@pytest.mark.parametrize(("keys", "expected"), INVALID_ROUTES)
def test_an_invalid_route_is_refused_with_a_reason(keys: str, expected: str) -> None:
    errors = [
        str(problem) for problem in parse_problems(f"[route r]\n{keys}\n") if not problem.is_warning
    ]
    assert any(expected in line and line.startswith("r.ini: [route r] ") for line in errors), errors
