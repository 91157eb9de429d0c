"""The keys of a route in a running ingress: the attempts at the backends and the client's reply."""

from __future__ import annotations

import asyncio

import pytest

from dockthread.routes.table import RouteTable
from tests.loopback import CUSTOMER_KEY, message, run, target, until
from tests.routes.routed_ingress import (
    BUSY,
    CHECKOUT,
    ERROR,
    OK,
    RETRY_FLOOR,
    STATUS,
    AnswerFunction,
    answers_with,
    attempts_at,
    closes_connection,
    never_answers,
    routed_ingress,
)

# The operator's file, the answer function of the backends, the request's class, the number of
# attempts that reach the backends, and the start of the client's reply.
CASES = [
    (STATUS + "attempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (STATUS + "attempts = 2\n" + RETRY_FLOOR, answers_with(ERROR), "status", 2, "BUSY"),
    (STATUS + "attempts = 3\n" + RETRY_FLOOR, answers_with(ERROR), "status", 3, "BUSY"),
    (STATUS + "attempts = 4\n" + RETRY_FLOOR, answers_with(ERROR), "status", 4, "BUSY"),
    (
        STATUS + "attempts = 3\nbackoff = 20ms\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        3,
        "BUSY",
    ),
    (STATUS + "retry_on = turned-away\n" + RETRY_FLOOR, answers_with(ERROR), "status", 1, "BUSY"),
    (
        STATUS + "attempts = 2\nretry_on = error\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        2,
        "BUSY",
    ),
    (
        STATUS + "attempts = 2\nretry_on = reset\n" + RETRY_FLOOR,
        closes_connection,
        "status",
        2,
        "BUSY",
    ),
    (STATUS + "retry_on = error\n" + RETRY_FLOOR, closes_connection, "status", 1, "BUSY"),
    (
        STATUS + "attempts = 2\nretry_on = turned-away\n" + RETRY_FLOOR,
        answers_with(BUSY),
        "status",
        2,
        "BUSY",
    ),
    (STATUS + "retry_on = reset, timeout\n" + RETRY_FLOOR, answers_with(BUSY), "status", 1, "BUSY"),
    (
        STATUS + "attempts = 2\nattempt_timeout = 100ms\n" + RETRY_FLOOR,
        never_answers,
        "status",
        2,
        "BUSY",
    ),
    (
        STATUS + "attempt_timeout = 100ms\nretry_on = error\n" + RETRY_FLOOR,
        never_answers,
        "status",
        1,
        "BUSY",
    ),
    (STATUS + "timeout = 200ms", never_answers, "status", 1, "BUSY"),
    (STATUS + "retry_budget = 0\nattempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (
        STATUS + "copies = yes\ncopy_after = 50ms\nattempts = 2\ntimeout = 400ms\n" + RETRY_FLOOR,
        never_answers,
        "status",
        2,
        "BUSY",
    ),
    (
        STATUS + "copies = yes\ncopy_after = 50ms\nattempts = 3\ntimeout = 400ms\n" + RETRY_FLOOR,
        never_answers,
        "status",
        3,
        "BUSY",
    ),
    (STATUS + "copies = no\ntimeout = 300ms", never_answers, "status", 1, "BUSY"),
    (
        CHECKOUT + "attempts = 3\nretry_on = unreachable, turned-away\n" + RETRY_FLOOR,
        answers_with(BUSY),
        "checkout",
        3,
        "BUSY",
    ),
    (
        CHECKOUT + "attempts = 3\nretry_on = unreachable, turned-away\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "checkout",
        1,
        "ERR",
    ),
    (CHECKOUT + "attempts = 1", answers_with(BUSY), "checkout", 1, "BUSY"),
    (CHECKOUT + "timeout = 200ms", never_answers, "checkout", 1, "ERR"),
    (
        CHECKOUT + "attempt_timeout = 100ms\nattempts = 2\n" + RETRY_FLOOR,
        never_answers,
        "checkout",
        1,
        "ERR",
    ),
    ("[route x]\nplan = gross\nunits = 2\nattempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nunits = 3..4\nattempts = 1\n" + STATUS + "attempts = 2\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nfirm = b4d65521\nattempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nfirm = 1\nattempts = 1\n" + STATUS + "attempts = 2\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        2,
        "BUSY",
    ),
    (
        "[route x]\nverb = write\nattempts = 1\n" + STATUS + "attempts = 2\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nretry = no\nattempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nhall = hall-b\nattempts = 1\n" + STATUS + "attempts = 2\n" + RETRY_FLOOR,
        answers_with(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nhall = hall-a\nattempts = 1", answers_with(ERROR), "status", 1, "BUSY"),
    (
        STATUS + "limit = 10\nqueue = 3\nqueue_wait = 50ms\nattempts = 1",
        answers_with(OK),
        "status",
        1,
        "value",
    ),
    (
        STATUS + "limit = adaptive\nlimit_min = 5\nlimit_max = 10\nattempts = 1",
        answers_with(OK),
        "status",
        1,
        "value",
    ),
]


@pytest.mark.parametrize(("text", "answer", "request_class", "attempts", "expected"), CASES)
def test_the_keys_of_a_route_determine_the_number_of_attempts(
    text: str, answer: AnswerFunction, request_class: str, attempts: int, expected: str
) -> None:
    async def scenario() -> None:
        async with routed_ingress(text, *[answer] * 4) as (ingress, client, backends):
            reply = await asyncio.wait_for(client.call(request_class), 3)
            shown = reply.decode() if isinstance(reply, bytes) else reply
            assert shown.startswith(expected)
            await until(lambda: not ingress.requests)
            assert attempts_at(backends) == attempts
            assert isinstance(ingress.routes, RouteTable)
            usages = ingress.routes.usage_by_route.values()
            assert sum(usage.open + usage.limit.admitted for usage in usages) == 0

    run(scenario())


def test_other_backends_serve_only_if_the_nodes_of_the_route_match_no_backend() -> None:
    async def scenario() -> None:
        text = STATUS + "nodes = hall-b"
        answers = (answers_with(OK), answers_with(OK))
        async with routed_ingress(text, *answers) as (ingress, client, backends):
            for _ in range(10):
                await client.call()
            assert attempts_at(backends) == 10, "no backend is in hall-b, so all backends serve"
            moved_target = target("s-1", int(backends[1].server.sockets[0].getsockname()[1]))
            ingress.dispatch(ingress.endpoints.apply(message(2, {**moved_target, "az": "hall-b"})))
            backends[0].arrivals.clear()
            for _ in range(20):
                await client.call()
            assert not backends[0].arrivals

    run(scenario())


def test_a_route_for_retries_matches_only_requests_with_the_retry_mark() -> None:
    async def scenario() -> None:
        retries = "[route again]\nretry = yes\nattempts = 1\n"
        text = retries + STATUS + "attempts = 3\n" + RETRY_FLOOR
        async with routed_ingress(text, *[answers_with(ERROR)] * 4) as (_, client, backends):
            client.send(b"API.READ", CUSTOMER_KEY, b"%016x" % 77, b"c=status,t=gross,d=4000,r=1")
            await client.answer()
            client.send(b"API.READ", CUSTOMER_KEY, b"%016x" % 78, b"c=status,t=gross,d=4000")
            await client.answer()
            attempts = [
                sum(backend.arrivals[b"%016x" % number] for backend in backends)
                for number in (77, 78)
            ]
            assert attempts == [1, 3]

    run(scenario())
