"""An observer that raises exceptions costs no request its answer."""

from __future__ import annotations

from typing import Any

import pytest
from loguru import logger

from dockthread.clock import ManualClock
from dockthread.net.lifecycle import Phase
from dockthread.observer import LOG_INTERVAL_MS, IsolatedObserver, Observer
from tests.loopback import SETTINGS, Backend, Client, request, run, running_ingress, until
from tests.net.support import replies_failed, stop_until


class FailingObserver(Observer):
    """Raises an exception in every method, or only in the one named `method`."""

    active = True
    tracing = True

    def __init__(self, method: str) -> None:
        def fail(*_: Any, **__: Any) -> None:
            raise KeyError(method)

        setattr(self, method, fail)


METHODS = [
    name for name, member in vars(Observer).items() if callable(member) and not name.startswith("_")
]


@pytest.mark.parametrize("method", METHODS)
def test_every_request_is_answered_whatever_an_observer_raises(method: str) -> None:
    """Guards against an observer's fault that keeps a response from its client."""

    async def scenario() -> None:
        clock = ManualClock()
        counter = Backend()
        changes: dict[str, Any] = {
            "clock": clock,
            "counter": f"127.0.0.1:{await counter.start()}",
            "settings": SETTINGS | {"Domain": SETTINGS["Domain"] | {"MayCount": True}},
        }
        async with running_ingress(Backend(), **changes) as (ingress, client, _):
            ingress.observe(FailingObserver(method))
            leaving_client = await Client.open(ingress.address.port)
            for _ in range(3):
                assert await client.call() == b"value"
            assert "unknown class" in str(await client.call("renew"))
            leaving_client.writer.write(request(90))
            leaving_client.writer.close()
            assert await client.call("checkout") == b"value"
            ingress.reload(ingress.config)
            assert await client.call() == b"value"
            client.send_request("checkout")
            assert await client.answer() == b"value"
            # The phases of the shutdown are events too.
            await stop_until(ingress, clock, Phase.DRAINING)
            assert await client.answer() is None
            client.writer.close()
            await until(lambda: ingress.lifecycle.phase is Phase.STOPPED)

    run(scenario())


def test_a_failed_request_is_answered_whatever_an_observer_raises() -> None:
    """Guards against an observer's fault that keeps the policy engine from the attempt's end."""

    async def scenario() -> None:
        async with running_ingress(Backend(replies_failed)) as (ingress, client, _):
            for method in METHODS:
                ingress.observe(FailingObserver(method))
                assert str(await client.call("checkout")).startswith("ERR")
            await until(lambda: not ingress.requests)

    run(scenario())


def test_failures_of_an_observer_are_counted_and_logged_once_per_interval() -> None:
    clock, lines = ManualClock(), list[str]()
    sink = logger.add(lambda line: lines.append(line.record["message"]), level="ERROR")
    observer = IsolatedObserver(FailingObserver("phase"), clock)
    try:
        for _ in range(5):
            observer.phase("serving")
        clock.advance(LOG_INTERVAL_MS)
        observer.phase("serving")
    finally:
        logger.remove(sink)
    assert observer.failures == 6
    assert lines == [
        "an observer failed in fail, 1 times since the last line",
        "an observer failed in fail, 5 times since the last line",
    ]


def test_a_raising_log_does_not_make_an_observer_raise() -> None:
    def raise_error(_: object) -> None:
        raise OSError("the log cannot be written")

    sink = logger.add(raise_error, level="ERROR", catch=False)
    try:
        IsolatedObserver(FailingObserver("phase"), ManualClock()).phase("serving")
    finally:
        logger.remove(sink)
