"""Parses the requests of clients, and encodes the commands that forward them to backends."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from dockthread.config.ingress_config import Names
from dockthread.errors import DockthreadError
from dockthread.policy import Effect, RequestClass

CUSTOMER_LIMIT = 1 << 33  # Upper bound (exclusive) of customer numbers.
MAX_TIME_LEFT_MS = 1e7  # Longest time budget that is accepted from a client.

_HEX_ID = re.compile(rb"[0-9a-fA-F]{16}")
_INTEGER = re.compile(rb"[0-9]{1,9}")
_DURATION = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class CommandError(DockthreadError):
    """A complete command that cannot be served; its text is sent to the client."""


class Body(Protocol):
    """The body of a request that is held in blocks."""

    size: int

    def pieces(self) -> list[memoryview]:
        """Return the body by block."""
        ...

    def release(self) -> None:
        """Return the blocks; may be called again."""
        ...


@dataclass(slots=True)
class RequestCommand:
    """A client's request, with its original arguments for forwarding it to a backend.

    The fourth argument is a list of terms such as `c=CLASS,t=PLAN,d=250`; `d` is the time left
    until the deadline in milliseconds. `body` is a body that is not among the arguments, because
    it is large.
    """

    arguments: list[bytes]
    terms_before_deadline: bytes  # the terms up to the value of `d`
    terms_after_deadline: bytes  # the terms after the value of `d`
    request_class: int
    plan: int
    customer: int
    time_left_ms: float
    latency_objective_ms: float  # that of the class when the request arrived
    units: float
    spread: int
    first: int
    is_retry: bool = False  # whether the client marked it as a retry
    body: Body | None = None

    @property
    def wire_id(self) -> bytes:
        """The request's id in the client's spelling."""
        return self.arguments[2]

    @property
    def may_be_repeated(self) -> bool:
        """Whether it is of a class that is safe to repeat."""
        return self.arguments[0].upper() == b"API.READ"

    @property
    def body_bytes(self) -> int:
        """The size of the body in bytes."""
        return sum(map(len, self.arguments[4:])) + (self.body.size if self.body else 0)

    def release_body(self) -> None:
        """Return the memory of a large body, which is not forwarded any more."""
        if self.body is not None:
            self.body.release()

    def parts_for_backend(self, time_left_ms: float) -> Iterator[bytes | memoryview]:
        """Yield the parts of the command that forwards the request; see `encode_for_backend`."""
        body = self.body
        if body is None:
            yield self.encode_for_backend(time_left_ms)
            return
        # The header of the array tells the body as well.
        head = self.encode_for_backend(time_left_ms).partition(b"\r\n")[2]
        yield b"*%d\r\n%b$%d\r\n" % (len(self.arguments) + 1, head, body.size)
        yield from body.pieces()
        yield b"\r\n"

    def encode_for_backend(self, time_left_ms: float) -> bytes:
        """Return the command that forwards the request to a backend, without a large body.

        Only the value of `d` may differ from the client's command: a backend answers any other
        difference with -SYNTAX.
        """
        verb, customer, wire_id, _, *body = self.arguments
        terms = b"%b%d%b" % (
            self.terms_before_deadline,
            max(1, int(time_left_ms)),
            self.terms_after_deadline,
        )
        return encode_command(verb, customer, wire_id, terms, *body)


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


class RequestParser:
    """Parses requests, and maps their class and plan names to the policy engine's numbers.

    `offered_classes` are the names of the classes that clients may request; None for all classes.
    """

    def __init__(
        self,
        names: Names,
        classes: tuple[RequestClass, ...],
        ingress_count: int,
        max_units: int,
        offered_classes: frozenset[str] | None = None,
    ) -> None:
        self._class_numbers = {
            name.encode(): number
            for number, name in enumerate(names.classes)
            if offered_classes is None or name in offered_classes
        }
        self._plan_numbers = {name.encode(): number for number, name in enumerate(names.plans)}
        self._verbs = [
            b"API.READ" if request_class.effect is Effect.SAFE else b"API.WRITE"
            for request_class in classes
        ]
        self._objectives_ms = [
            request_class.latency_objective * 1000.0 for request_class in classes
        ]
        self._ingress_count = ingress_count
        self._max_units = max_units

    def parse(self, arguments: list[bytes]) -> RequestCommand:
        """Parse the arguments of a request command.

        Raises:
            CommandError: The command is not a valid request.
        """
        self._check_arguments(arguments)
        text = arguments[3]
        pairs = text.split(b",")
        try:
            terms = dict(pair.split(b"=", 1) for pair in pairs)
            request_class = self._class_numbers[terms[b"c"]]
            plan = self._plan_numbers[terms[b"t"]]
            duration = terms[b"d"]
        except KeyError as error:
            raise CommandError("a term is missing, or names an unknown class or plan") from error
        except ValueError as error:
            raise CommandError("a term cannot be read") from error
        if len(terms) < len(pairs):
            raise CommandError("a term stands twice")
        if arguments[0].upper() != self._verbs[request_class]:
            raise CommandError("this class goes by the other command")
        deadline_start = 2 if text.startswith(b"d=") else text.index(b",d=") + 3
        deadline_end = text.find(b",", deadline_start)
        command = RequestCommand(
            arguments,
            text[:deadline_start],
            text[deadline_end:] if deadline_end >= 0 else b"",
            request_class,
            plan,
            customer=int(arguments[1], 16),
            time_left_ms=float(duration) if _DURATION.fullmatch(duration) else 0.0,
            latency_objective_ms=self._objectives_ms[request_class],
            units=self._integer(terms, b"units", b"1"),
            spread=self._integer(terms, b"spread", b"1"),
            first=self._integer(terms, b"first", b"0"),
            is_retry=terms.get(b"r") == b"1",
        )
        self._check_ranges(command)
        return command

    @staticmethod
    def _check_arguments(arguments: list[bytes]) -> None:
        if len(arguments) not in (4, 5):
            raise CommandError("wrong number of arguments")
        if not _HEX_ID.fullmatch(arguments[1]) or not _HEX_ID.fullmatch(arguments[2]):
            raise CommandError("a customer or an id is not 16 hex digits")

    def _check_ranges(self, command: RequestCommand) -> None:
        if not (
            0 < command.time_left_ms <= MAX_TIME_LEFT_MS
            and 1 <= command.units <= self._max_units
            and 1 <= command.spread <= self._ingress_count
            and command.first < self._ingress_count
            and command.customer < CUSTOMER_LIMIT
        ):
            raise CommandError("a figure is out of range")

    @staticmethod
    def _integer(terms: dict[bytes, bytes], name: bytes, default: bytes) -> int:
        text = terms.get(name, default)
        if not _INTEGER.fullmatch(text):
            raise CommandError("a figure is not a whole number")
        return int(text)
