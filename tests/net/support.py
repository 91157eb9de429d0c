"""Helpers for tests of the ingress on real sockets: backends, attempts and client sockets."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from dockthread.clock import ManualClock
from dockthread.config.platform_settings import parse_policy_settings
from dockthread.net.backend_connection import Attempt
from dockthread.net.ingress import Ingress
from dockthread.net.lifecycle import Phase
from dockthread.policy import Outcome
from tests.loopback import CUSTOMER_KEY, FIRST_REQUEST_ID, SETTINGS, Backend, until
from tests.loopback import command as encode_command

# A deadline in ms that no test reaches, so that it cannot interfere with the rule under test.
UNREACHED_DEADLINE_MS = 600_000
VALUE_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class GatedBackend(Backend):
    """A backend that replies only once `may_reply` is set."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.may_reply = asyncio.Event()

    async def _reply(self, args: list[bytes]) -> bytes | None:
        await self.may_reply.wait()
        return VALUE_REPLY


async def never_replies(args: list[bytes]) -> bytes | None:
    """Behave like a backend that hangs."""
    await asyncio.Event().wait()
    return None


async def closes_connection(args: list[bytes]) -> bytes | None:
    """Behave like a backend that closes the connection instead of replying."""
    return None


async def replies_failed(args: list[bytes]) -> bytes | None:
    """Behave like a backend that fails every request."""
    return b"-ERR failed\r\n"


def new_attempt(ingress: Ingress, backend: int = 1, timeout_ms: float = 4000.0) -> Attempt:
    """Return an attempt at the backend with number `backend`, for a test to start."""
    terms = b"c=status,t=gross,d=4000"
    command = ingress.request_parser.parse(
        [b"API.READ", CUSTOMER_KEY, b"%016x" % FIRST_REQUEST_ID, terms]
    )
    now = ingress.clock.now()
    return Attempt(0, 0, backend, command, now, now + timeout_ms)


def collect_outcomes(ingress: Ingress) -> list[tuple[Attempt, Outcome]]:
    """Return a list that collects the outcomes of attempts started by the test itself."""
    outcomes = list[tuple[Attempt, Outcome]]()
    pool = ingress.connection_pool
    pool.on_ended = lambda attempt, reply: outcomes.append((attempt, reply.outcome))
    return outcomes


def with_limits(**changes: Any) -> dict[str, Any]:
    """Return the default test settings with changed limits."""
    return SETTINGS | {"Limits": SETTINGS["Limits"] | changes}


@contextmanager
def pinged_socket(ingress: Ingress) -> Iterator[socket.socket]:
    """Open a blocking client socket, send a PING on it, and yield the socket.

    Data that a test sends on it has reached the ingress's machine when `sendall` returns.
    """
    with socket.create_connection(("127.0.0.1", ingress.address.port)) as sock:
        sock.settimeout(10)
        sock.sendall(encode_command(b"PING"))
        yield sock


@contextmanager
def slow_event_loop(seconds: float) -> Iterator[None]:
    """Make each iteration of the event loop take `seconds` longer."""
    loop = asyncio.get_running_loop()
    is_slowed = True

    def block() -> None:
        time.sleep(seconds)
        if is_slowed:
            loop.call_soon(block)

    loop.call_soon(block)
    try:
        yield
    finally:
        is_slowed = False


def reset_on_close(sock: socket.socket) -> None:
    """Make the system reset the connection when the socket is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reload_settings(ingress: Ingress, settings: dict[str, Any]) -> None:
    """Apply settings in the platform's JSON form, as after a SIGHUP."""
    class_names = tuple(request_class["Name"] for request_class in settings["Classes"])
    ingress.reload(
        replace(
            ingress.config,
            policy_settings=parse_policy_settings(json.dumps(settings).encode()),
            names=replace(ingress.config.names, classes=class_names),
        )
    )


async def stop_until(ingress: Ingress, clock: ManualClock, phase: Phase) -> None:
    """Begin the graceful shutdown, and advance the clock until the ingress enters `phase`."""
    ingress.stop()
    await until(lambda: ingress.lifecycle.phase is Phase.LINGERING)
    while ingress.lifecycle.phase is not phase:
        clock.advance(10)
        ingress.timers.run_due()
        await asyncio.sleep(0.001)


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Let this process open no further descriptor."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    next_descriptor = os.dup(0)
    os.close(next_descriptor)
    resource.setrlimit(resource.RLIMIT_NOFILE, (next_descriptor, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class ScriptedBackend(Backend):
    """A backend that writes its reply in parts, and waits for an event that stands between two.

    None in a script closes the connection. The first request gets the first script, and so on; the
    last script serves all further requests.
    """

    def __init__(self, *scripts: list[bytes | asyncio.Event | None]) -> None:
        super().__init__()
        self._scripts = scripts

    async def _answer(self, args: list[bytes], writer: asyncio.StreamWriter) -> None:
        script = self._scripts[min(len(self.received_commands), len(self._scripts)) - 1]
        for part in script:
            if isinstance(part, asyncio.Event):
                await part.wait()
            elif part is None:
                writer.close()
            else:
                writer.write(part)
                await writer.drain()


class DeafBackend(Backend):
    """A backend that accepts connections and reads nothing."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.Event().wait()
