"""Routes as they run: what the file says is what a stand-in node sees, also when it changes under
load.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from dockthread.clock import ManualClock
from dockthread.net.ingress import Ingress
from dockthread.routes.table import Table
from dockthread.section_registry import parse_operator_file
from tests.loopback import (
    KEY,
    SETTINGS,
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    run,
    serving,
    target,
    until,
)
from tests.test_daemon import start_program, wait_until_ready

ROOT = Path(__file__).parents[2]
OK = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$24\r\ninflight=7,qps=2,queue=1\r\n"
BUSY, ERROR = b"-BUSY\r\n", b"-ERR failed\r\n"
Answer = Callable[[list[bytes]], Awaitable[bytes | None]]


class Node(Backend):
    """Keeps a ledger: how often each request's id came, and when."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(answer)
        self.runs: Counter[bytes] = Counter()
        self.at: dict[bytes, list[float]] = {}

    async def _answer(self, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.runs[args[2]] += 1
        self.at.setdefault(args[2], []).append(asyncio.get_running_loop().time())
        await super()._answer(args, writer)


def obey(ingress: Ingress, text: str) -> Table:
    """Have an ingress obey a file's routes."""
    read = parse_operator_file(text, "test", ingress.config.policy_settings, ingress.config.names)
    assert not read.errors, read.errors
    table = ingress.routes
    if not isinstance(table, Table):
        table = Table(ingress.config.names, 0, 1)
        ingress.routes = table
    table.replace(read.named_sections("route"), ingress.clock.now() / 1000.0)
    return table


@asynccontextmanager
async def routed(
    text: str, *answers: Answer, **changes: Any
) -> AsyncIterator[tuple[Ingress, Client, list[Node]]]:
    nodes = [Node(answer) for answer in answers]
    async with serving(*nodes, **changes) as (ingress, client, _):
        obey(ingress, text)
        yield ingress, client, nodes


def always(answer: bytes | None) -> Answer:
    async def says(args: list[bytes]) -> bytes | None:
        return answer

    return says


async def hangs(args: list[bytes]) -> bytes | None:
    await asyncio.Event().wait()
    return None


def after(seconds: float, answer: bytes = OK) -> Answer:
    async def says(args: list[bytes]) -> bytes | None:
        await asyncio.sleep(seconds)
        return answer

    return says


S, C = "[route s]\nclass = status\n", "[route c]\nclass = checkout\n"
FLOOR = "retry_floor = 100\n"

# What the file says, what the nodes do, which class is asked, how often a node sees the request,
# what comes back.
GOOD = [
    (S + "attempts = 1", always(ERROR), "status", 1, "BUSY"),
    (S + "attempts = 2\n" + FLOOR, always(ERROR), "status", 2, "BUSY"),
    (S + "attempts = 3\n" + FLOOR, always(ERROR), "status", 3, "BUSY"),
    (S + "attempts = 4\n" + FLOOR, always(ERROR), "status", 4, "BUSY"),
    (S + "attempts = 3\nbackoff = 20ms\n" + FLOOR, always(ERROR), "status", 3, "BUSY"),
    (S + "retry_on = turned-away\n" + FLOOR, always(ERROR), "status", 1, "BUSY"),
    (S + "attempts = 2\nretry_on = error\n" + FLOOR, always(ERROR), "status", 2, "BUSY"),
    (S + "attempts = 2\nretry_on = reset\n" + FLOOR, always(None), "status", 2, "BUSY"),
    (S + "retry_on = error\n" + FLOOR, always(None), "status", 1, "BUSY"),
    (S + "attempts = 2\nretry_on = turned-away\n" + FLOOR, always(BUSY), "status", 2, "BUSY"),
    (S + "retry_on = reset, timeout\n" + FLOOR, always(BUSY), "status", 1, "BUSY"),
    (S + "attempts = 2\nattempt_timeout = 100ms\n" + FLOOR, hangs, "status", 2, "BUSY"),
    (S + "attempt_timeout = 100ms\nretry_on = error\n" + FLOOR, hangs, "status", 1, "BUSY"),
    (S + "timeout = 200ms", hangs, "status", 1, "BUSY"),
    (S + "retry_budget = 0\nattempts = 1", always(ERROR), "status", 1, "BUSY"),
    (
        S + "copies = yes\ncopy_after = 50ms\nattempts = 2\ntimeout = 400ms\n" + FLOOR,
        hangs,
        "status",
        2,
        "BUSY",
    ),
    (
        S + "copies = yes\ncopy_after = 50ms\nattempts = 3\ntimeout = 400ms\n" + FLOOR,
        hangs,
        "status",
        3,
        "BUSY",
    ),
    (S + "copies = no\ntimeout = 300ms", hangs, "status", 1, "BUSY"),
    (
        C + "attempts = 3\nretry_on = unreachable, turned-away\n" + FLOOR,
        always(BUSY),
        "checkout",
        3,
        "BUSY",
    ),
    (
        C + "attempts = 3\nretry_on = unreachable, turned-away\n" + FLOOR,
        always(ERROR),
        "checkout",
        1,
        "ERR",
    ),
    (C + "attempts = 1", always(BUSY), "checkout", 1, "BUSY"),
    (C + "timeout = 200ms", hangs, "checkout", 1, "ERR"),
    (C + "attempt_timeout = 100ms\nattempts = 2\n" + FLOOR, hangs, "checkout", 1, "ERR"),
    ("[route x]\nplan = gross\nunits = 2\nattempts = 1", always(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nunits = 3..4\nattempts = 1\n" + S + "attempts = 2\n" + FLOOR,
        always(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nfirm = b4d65521\nattempts = 1", always(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nfirm = 1\nattempts = 1\n" + S + "attempts = 2\n" + FLOOR,
        always(ERROR),
        "status",
        2,
        "BUSY",
    ),
    (
        "[route x]\nverb = write\nattempts = 1\n" + S + "attempts = 2\n" + FLOOR,
        always(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nretry = no\nattempts = 1", always(ERROR), "status", 1, "BUSY"),
    (
        "[route x]\nhall = hall-b\nattempts = 1\n" + S + "attempts = 2\n" + FLOOR,
        always(ERROR),
        "status",
        2,
        "BUSY",
    ),
    ("[route x]\nhall = hall-a\nattempts = 1", always(ERROR), "status", 1, "BUSY"),
    (
        S + "limit = 10\nqueue = 3\nqueue_wait = 50ms\nattempts = 1",
        always(OK),
        "status",
        1,
        "value",
    ),
    (
        S + "limit = adaptive\nlimit_min = 5\nlimit_max = 10\nattempts = 1",
        always(OK),
        "status",
        1,
        "value",
    ),
]


@pytest.mark.parametrize(("text", "answer", "kind", "seen", "says"), GOOD)
def test_a_good_file_is_obeyed(text: str, answer: Answer, kind: str, seen: int, says: str) -> None:
    async def scenario() -> None:
        async with routed(text, *[answer] * 4) as (ingress, client, nodes):
            got = await asyncio.wait_for(client.call(kind), 3)
            assert (got.decode() if isinstance(got, bytes) else got).startswith(says)
            await until(lambda: not ingress.requests)
            assert sum(sum(n.runs.values()) for n in nodes) == seen
            assert sum(s.open + s.limit.inside for s in ingress.routes.spent.values()) == 0  # type: ignore[union-attr]

    run(scenario())


def test_nodes_of_the_share_are_taken_and_others_only_where_it_is_empty() -> None:
    async def scenario() -> None:
        async with routed(S + "nodes = hall-b", always(OK), always(OK)) as (ingress, client, nodes):
            for _ in range(10):
                await client.call()
            assert sum(sum(n.runs.values()) for n in nodes) == 10, (
                "no node of hall-b: the others serve"
            )
            moved = target("s-1", int(nodes[1].server.sockets[0].getsockname()[1]))
            ingress.dispatch(ingress.endpoints.apply(message(2, {**moved, "az": "hall-b"})))
            nodes[0].runs.clear()
            for _ in range(20):
                await client.call()
            assert not nodes[0].runs

    run(scenario())


def test_a_request_beyond_the_limit_waits_by_worth_and_no_longer_than_stated() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def waits(args: list[bytes]) -> bytes | None:
            await gate.wait()
            return OK

        text = "[route all]\nlimit = 2\nqueue = 2\nqueue_wait = 1s\n"
        clock = ManualClock()
        status, checkout = SETTINGS["Classes"]
        settings = {**SETTINGS, "Classes": [dict(status, Points=1), dict(checkout, Points=5)]}
        settings["Packages"] = [{"Name": "gross", "Refill": 1.0, "PeakUnits": 1000.0}]
        async with routed(text, waits, clock=clock, settings=settings) as (ingress, client, nodes):
            spent = ingress.routes.spent["all"]  # type: ignore[union-attr]
            for _ in range(4):
                client.ask()  # two inside, two in the queue
            await until(lambda: len(spent.queue) == 2)
            dear = await Client.open(ingress.address.port)
            dear.asked += 1000
            dear.ask("checkout")  # takes the place of a cheap one, which hears so at once
            await until(lambda: spent.refused_limit == 1)
            assert len(spent.queue) == 2
            clock.advance(1001)  # the wait is over for the one that is left and for the dear one
            ingress.timers.run_due()
            assert (await dear.answer()).startswith("BUSY")
            assert spent.refused_limit == 3
            gate.set()
            got = [await client.answer() for _ in range(4)]
            assert [g if isinstance(g, bytes) else g[:4] for g in got] == [
                b"value",
                b"value",
                "BUSY",
                "BUSY",
            ]
            assert sum(nodes[0].runs.values()) == 2

    run(scenario())


def test_room_in_the_limit_goes_to_who_waits() -> None:
    async def scenario() -> None:
        text = "[route all]\nlimit = 1\nqueue = 20\nqueue_wait = 3s\nplan = gross\n"
        plans = [{"Name": "gross", "Refill": 1.0, "PeakUnits": 1000.0}]
        async with routed(text, after(0.01), settings={**SETTINGS, "Packages": plans}) as (
            ingress,
            client,
            nodes,
        ):
            for _ in range(15):
                client.ask()
            assert [await client.answer() for _ in range(15)] == [b"value"] * 15
            spent = ingress.routes.spent["all"]  # type: ignore[union-attr]
            assert (spent.queued, spent.limit.inside, len(spent.queue)) == (14, 0, 0)

    run(scenario())


@pytest.mark.parametrize(("answer", "least"), [(BUSY, 0), (ERROR, 300)])
def test_where_all_nodes_refuse_or_fail_the_load_stays_within_the_budgets_bound(
    answer: bytes, least: int
) -> None:
    """Turned away by all, the module itself soon sends on little; after errors only the budget
    holds it.
    """

    async def scenario() -> None:
        text = S + "attempts = 4\nretry_budget = 20%\nretry_floor = 1\n"
        async with routed(text, *[always(answer)] * 3) as (ingress, client, nodes):
            count, begun = 400, asyncio.get_running_loop().time()
            for _ in range(count):
                assert str(await client.call()).startswith("BUSY")
            spent = asyncio.get_running_loop().time() - begun
            seen = sum(sum(n.runs.values()) for n in nodes)
            firsts = len({i for n in nodes for i in n.runs})
            assert firsts > least
            assert seen <= firsts + 0.2 * firsts + 1.0 * spent + 10, (
                "10: what 10 s of the floor put in"
            )
            budget = ingress.routes.spent["s"].budget  # type: ignore[union-attr]
            assert 0 < seen - firsts <= budget.drawn
            assert budget.refused or answer is BUSY

    run(scenario())


def test_a_copy_and_the_first_that_answer_at_once_give_one_answer() -> None:
    async def scenario() -> None:
        gate = asyncio.Event()

        async def waits(args: list[bytes]) -> bytes | None:
            await gate.wait()
            return OK

        text = S + "copies = yes\ncopy_after = 20ms\nattempts = 2\n" + FLOOR
        async with routed(text, waits, waits) as (ingress, client, nodes):
            for _ in range(20):
                gate.clear()
                client.ask()
                await until(
                    lambda: sum(sum(n.runs.values()) for n in nodes) % 2 == 0 and ingress.requests
                )
                await until(
                    lambda: sum(len(r.attempts) for r in ingress.requests.by_number.values()) == 2
                )
                gate.set()
                assert await client.answer() == b"value"
                await until(lambda: not ingress.requests)
            client.send(b"PING")
            assert await client.answer() == b"PONG", "and no second answer came before it"

    run(scenario())


@pytest.mark.parametrize("lag", [0.095, 0.1, 0.105])
def test_a_node_that_answers_as_the_attempts_time_ends_gives_one_answer(lag: float) -> None:
    async def scenario() -> None:
        text = S + "attempts = 2\nattempt_timeout = 100ms\n" + FLOOR
        async with routed(text, after(lag), after(lag)) as (ingress, client, _):
            for _ in range(10):
                got = await client.call()
                assert got == b"value" or got.startswith("BUSY")
                await until(lambda: not ingress.requests)
            client.send(b"PING")
            assert await client.answer() == b"PONG"

    run(scenario())


def test_a_time_out_while_the_connection_comes_up_is_tried_elsewhere() -> None:
    async def scenario() -> None:
        text = (
            S + "attempts = 2\nattempt_timeout = 100ms\nretry_on = timeout, unreachable\n" + FLOOR
        )
        async with routed(text, always(OK)) as (ingress, client, nodes):
            # A listener whose queue is full never lets a connection come up.
            import socket

            full = socket.socket()
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            held = []
            for _ in range(4):
                held.append(one := socket.socket())
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            ingress.dispatch(
                ingress.endpoints.apply(message(2, target("full", full.getsockname()[1])))
            )
            got = [await client.call() for _ in range(20)]
            assert got == [b"value"] * 20
            for one in (full, *held):
                one.close()

    run(scenario())


def test_copies_shorten_the_tail_of_slow_answers_at_the_stated_load() -> None:
    """One request in twelve meets a node that takes thirty times as long; the choice of node can't
    foresee it.
    """

    async def scenario() -> None:
        seen: set[bytes] = set()

        async def odd(args: list[bytes]) -> bytes | None:
            first = args[2] not in seen
            seen.add(args[2])
            await asyncio.sleep(0.3 if first and int(args[2], 16) % 12 == 0 else 0.01)
            return OK

        async def tail(text: str) -> tuple[int, int]:
            async with routed(text, *[odd] * 10) as (ingress, client, nodes):
                clients, times = (
                    [await Client.open(ingress.address.port) for _ in range(4)],
                    list[float](),
                )

                async def ask(one: Client, number: int) -> None:
                    one.asked += number << 20
                    for _ in range(60):
                        begun = asyncio.get_running_loop().time()
                        assert await one.call() == b"value"
                        times.append(asyncio.get_running_loop().time() - begun)

                await asyncio.gather(*(ask(one, n) for n, one in enumerate(clients, 1)))
                return sum(t > 0.25 for t in times), sum(sum(n.runs.values()) for n in nodes)

        slow, load = await tail(S + "attempts = 1\n")
        seen.clear()
        left, more = await tail(
            S + "attempts = 2\ncopies = yes\ncopy_after = 60ms\ncopy_share = 15%\n" + FLOOR
        )
        assert (slow, load) == (20, 240)
        assert more <= 240 * 1.15 + 2
        assert left <= slow / 3

    run(scenario())


def test_a_class_that_turns_unsafe_in_service_is_never_run_twice(tmp_path: Path) -> None:
    """200 requests in flight with attempts out, waiting between attempts, and answered meanwhile:
    the program's own reload, by SIGHUP, of both files.
    """

    async def scenario() -> None:
        turned = asyncio.Event()

        async def odd(args: list[bytes]) -> bytes | None:
            number = int(args[2], 16)
            if number % 4 == 0:
                return OK
            if number % 4 == 1:
                return ERROR  # then it waits for its next attempt
            await turned.wait()
            return ERROR if number % 4 == 2 else None

        nodes, discovery = [Node(odd) for _ in range(3)], Discovery()
        known = message(
            1, *[target(f"s-{n}", await node.start()) for n, node in enumerate(nodes)], full=True
        )
        limits = {**SETTINGS["Limits"], "SecondCopies": True}
        # Aims so long that 150 unanswered requests are no pressure, however slow the machine is.
        long = {"Aim": 30_000_000, "HardLimit": 30_000_000}
        classes = [dict(one, **long) for one in SETTINGS["Classes"]]
        plans = [{"Name": "gross", "Refill": 1e5, "PeakUnits": 1e5}]
        path, ini = tmp_path / "config.json", tmp_path / "my.ini"

        def write(effect: str, text: str) -> None:
            settings = {
                **SETTINGS,
                "Limits": limits,
                "Packages": plans,
                "Classes": [dict(classes[0], Effect=effect)],
            }
            settings["Classes"].append(classes[1])
            path.write_text(json.dumps(raw_config(known, port, settings=settings)))
            ini.write_text(text)

        port = await discovery.start()
        text = (
            S
            + "attempts = 4\nbackoff = 2s\nbackoff_max = 2s\nretry_floor = 1000\nretry_budget = 1\n"
        )
        write("pure", text)
        environ = {"NODE_CONFIG": str(path), "DOCKTHREAD_CONFIG": str(ini)}
        with start_program("-m", "dockthread", address_label="listens on", **environ) as (
            process,
            address,
        ):
            await wait_until_ready(address)
            others = [await Client.open(int(address.rsplit(":")[-1])) for _ in range(4)]
            for n, one in enumerate(others):
                one.asked += (n + 1) * 1000
                for _ in range(50):
                    one.ask(d=6000)
            # Each has begun, at whichever node; a second attempt may have by now, as some were
            # answered by an error.
            await until(lambda: len({number for n in nodes for number in n.runs}) == 200)
            write("side_effect", S + "attempts = 1\nretry_on =\n")
            assert process.stdout is not None
            process.send_signal(signal.SIGHUP)
            while "configuration read again" not in await asyncio.to_thread(
                process.stdout.readline
            ):
                assert process.poll() is None
            await asyncio.sleep(0.3)  # what was sent before the change has arrived
            before = sum((n.runs for n in nodes), Counter[bytes]())
            turned.set()
            answers = [await one.answer() for one in others for _ in range(50)]
            assert len(answers) == 200 and all(a is not None for a in answers)
            # Nothing that may have run was sent again after the change.
            assert sum((n.runs for n in nodes), Counter[bytes]()) == before
            # As a checkout it goes by the other command now.
            client = await Client.open(int(address.rsplit(":")[-1]))
            client.asked += 9000
            client.ask()
            assert "other command" in await client.answer()
            for one in (client, *others):
                one.send(b"PING")
                assert await one.answer() == b"PONG", "one answer to each, and no more"

    run(scenario())


def test_reloads_under_load_fail_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        plans = [{"Name": "gross", "Refill": 100.0, "PeakUnits": 1e6}]
        changes = {"settings": {**SETTINGS, "Packages": plans}}
        async with routed(S + "attempts = 2\n", after(0.002), after(0.002), **changes) as (
            ingress,
            client,
            _,
        ):
            stop = False

            async def ask(number: int) -> int:
                one, served = await Client.open(ingress.address.port), 0
                one.asked += number << 20
                while not stop:
                    assert await one.call() == b"value"
                    served += 1
                return served

            asking = [asyncio.create_task(ask(n)) for n in range(1, 5)]
            for n in range(100):
                text = S + f"attempts = {1 + n % 4}\nlimit = {20 + n}\n[route x{n}]\nplan = gross\n"
                table = obey(ingress, text)
                await asyncio.sleep(0.005)
            stop = True
            assert min(await asyncio.gather(*asking)) > 10
            assert set(table.spent) == {"s", "x99"}, "routes that are gone have drained"

    run(scenario())


def test_a_bad_route_in_a_reload_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "my.ini"
    path.write_text(C + "retry_on = timeout\n")

    async def scenario() -> None:
        discovery, node = Discovery(), Node(always(ERROR))
        known = message(1, target("s", await node.start()), full=True)
        config = tmp_path / "config.json"
        config.write_text(json.dumps(raw_config(known, await discovery.start())))
        environ = {"NODE_CONFIG": str(config), "DOCKTHREAD_CONFIG": str(path)}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dockthread",
            env=environ,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        assert process.stderr is not None
        said = (await process.stderr.read()).decode()
        assert await process.wait() == 2
        assert said.count("\n") == 1 and "[route c] retry_on: timeout would repeat" in said
        path.write_text(C + "attempts = 1\n")
        with start_program("-m", "dockthread", address_label="listens on", **environ) as (
            daemon,
            address,
        ):
            await wait_until_ready(address)
            path.write_text(C + "copies = yes\n")
            daemon.send_signal(signal.SIGHUP)
            assert daemon.stdout is not None
            while "old configuration stays" not in (
                line := await asyncio.to_thread(daemon.stdout.readline)
            ):
                assert daemon.poll() is None
            assert "[route c] copies: yes would run a request twice" in line
            client = await Client.open(int(address.rsplit(":")[-1]))
            assert (await client.call("checkout")).startswith("ERR")
            assert sum(node.runs.values()) == 1

    run(scenario())


def test_a_retry_mark_is_matched() -> None:
    async def scenario() -> None:
        text = "[route again]\nretry = yes\nattempts = 1\n" + S + "attempts = 3\n" + FLOOR
        async with routed(text, *[always(ERROR)] * 4) as (_, client, nodes):
            client.send(b"API.READ", KEY, b"%016x" % 77, b"c=status,t=gross,d=4000,r=1")
            await client.answer()
            client.send(b"API.READ", KEY, b"%016x" % 78, b"c=status,t=gross,d=4000")
            await client.answer()
            assert [sum(n.runs[b"%016x" % number] for n in nodes) for number in (77, 78)] == [1, 3]

    run(scenario())
