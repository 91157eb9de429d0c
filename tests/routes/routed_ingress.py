"""An ingress on loopback that applies the routes of a file, and backends that count requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from dockthread.net.ingress import Ingress
from dockthread.routes.table import RouteTable
from dockthread.routes.usage import RouteUsage
from dockthread.section_registry import parse_operator_file
from tests.loopback import Backend, Client, running_ingress

OK = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"
BUSY = b"-BUSY\r\n"
ERROR = b"-ERR failed\r\n"
STATUS = "[route s]\nclass = status\n"
CHECKOUT = "[route c]\nclass = checkout\n"
RETRY_FLOOR = "retry_floor = 100\n"  # so high that the retry budget never refuses an attempt

# Returns a backend's reply to the arguments of a request; None closes the connection.
AnswerFunction = Callable[[list[bytes]], Awaitable[bytes | None]]


class CountingBackend(Backend):
    """A backend that counts how often each request arrives, by the request's id."""

    def __init__(self, answer: AnswerFunction) -> None:
        super().__init__(answer)
        self.arrivals: Counter[bytes] = Counter()

    async def _answer(self, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.arrivals[args[2]] += 1
        await super()._answer(args, writer)

    @property
    def attempts(self) -> int:
        """The number of attempts that arrived."""
        return self.arrivals.total()


def attempts_at(backends: list[CountingBackend]) -> int:
    """Return the number of attempts that arrived at all backends together."""
    return sum(backend.attempts for backend in backends)


def replace_routes(ingress: Ingress, text: str) -> RouteTable:
    """Replace the routes of an ingress by those in the text of an operator's file."""
    read = parse_operator_file(text, "test", ingress.config.policy_settings, ingress.config.names)
    assert not read.errors, read.errors
    table = ingress.routes
    if not isinstance(table, RouteTable):
        table = RouteTable(ingress.config.names, 0, 1)
        ingress.routes = table
    table.replace(read.named_sections("route"), ingress.clock.now() / 1000.0)
    return table


def usage_of(ingress: Ingress, name: str) -> RouteUsage:
    """Return the usage of a route of the ingress."""
    assert isinstance(ingress.routes, RouteTable)
    return ingress.routes.usage_by_route[name]


@asynccontextmanager
async def routed_ingress(
    text: str, *answers: AnswerFunction, **changes: Any
) -> AsyncIterator[tuple[Ingress, Client, list[CountingBackend]]]:
    """Run an ingress with the routes of a file and one backend for each answer function."""
    backends = [CountingBackend(answer) for answer in answers]
    async with running_ingress(*backends, **changes) as (ingress, client, _):
        replace_routes(ingress, text)
        yield ingress, client, backends


def answers_with(reply: bytes) -> AnswerFunction:
    """Return an answer function that always returns `reply`."""

    async def answer(args: list[bytes]) -> bytes | None:
        return reply

    return answer


async def closes_connection(args: list[bytes]) -> bytes | None:
    """Close the connection instead of answering."""
    return None


async def never_answers(args: list[bytes]) -> bytes | None:
    """Wait forever."""
    await asyncio.Event().wait()
    return None


def answers_after(seconds: float, reply: bytes = OK) -> AnswerFunction:
    """Return an answer function that returns `reply` after a delay."""

    async def answer(args: list[bytes]) -> bytes | None:
        await asyncio.sleep(seconds)
        return reply

    return answer
