"""RESP2: commands of clients, replies of backends and of the counter, and their framing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from dockthread.net import resp
from dockthread.policy import Outcome
from tests.loopback import CUSTOMER_KEY, FIRST_REQUEST_ID, command, config, message

CONFIG = config(message(1, full=True))
REQUEST_PARSER = resp.RequestParser(
    CONFIG.names, CONFIG.policy_settings.classes, ingress_count=4, max_units=4
)
REQUEST_ID = b"%016x" % FIRST_REQUEST_ID
TERMS = b"c=status,t=gross,d=480,units=2,spread=3,first=1"


@pytest.mark.parametrize(
    ("terms", "forwarded_terms"),
    [
        (TERMS, b"c=status,t=gross,d=77,units=2,spread=3,first=1"),
        (b"d=480,c=status,t=gross", b"d=77,c=status,t=gross"),
        (b"c=status,t=gross,r=1,d=480", b"c=status,t=gross,r=1,d=77"),
        (b"c=status,t=gross,d=480,k=x,new=d=480", b"c=status,t=gross,d=77,k=x,new=d=480"),
    ],
)
def test_a_forwarded_command_differs_from_the_clients_command_only_in_its_deadline(
    terms: bytes, forwarded_terms: bytes
) -> None:
    for body in ([], [b"BO\r\nDY"], [b""]):
        request = REQUEST_PARSER.parse([b"API.READ", CUSTOMER_KEY, REQUEST_ID, terms, *body])
        sent = request.encode_for_backend(77.9)
        assert sent == resp.encode_command(
            b"API.READ", CUSTOMER_KEY, REQUEST_ID, forwarded_terms, *body
        )
    assert (request.customer, request.time_left_ms, request.request_class) == (0xB4D65521, 480.0, 0)


@pytest.mark.parametrize(
    "arguments",
    [
        [b"API.READ"],
        [b"API.READ", CUSTOMER_KEY, REQUEST_ID, TERMS, b"a", b"b"],
        [b"API.WRITE", CUSTOMER_KEY, REQUEST_ID, TERMS],
        *([b"API.READ", key, REQUEST_ID, TERMS] for key in (
            b"1", b"xyz", b"-1", b"0x000000b4d65521", b"00000000b4d6_521", b"+0000000b4d65521",
            b"0000000200000000",
        )),
        *([b"API.READ", CUSTOMER_KEY, wire_id, TERMS] for wire_id in (
            b"", b"id", REQUEST_ID + b"0", b"+" + REQUEST_ID[1:],
        )),
        [b"API.READ", CUSTOMER_KEY, REQUEST_ID, b""],
        *([b"API.READ", CUSTOMER_KEY, REQUEST_ID, TERMS.replace(*replacement)] for replacement in [
            (b"status", b"nothing"), (b"gross", b"nothing"), (b"d=480", b"e=480"), (b"d=480", b"d="),
            (b"d=480", b"d=nan"), (b"d=480", b"d=0"), (b"d=480", b"d=inf"), (b"d=480", b"d=1e3"),
            (b"d=480", b"d=999999999"), (b"units=2", b"units=0"), (b"units=2", b"units=2.5"),
            (b"units=2", b"units=5"), (b"units=2", b"units=-400"), (b"units=2", b"units="),
            (b"units=2", b"units"), (b"units=2", b"units=2,units=1"), (b"units=2", b"units=1_0"),
            (b"spread=3", b"spread=0"), (b"spread=3", b"spread=5"), (b"spread=3", b"spread=x"),
            (b"first=1", b"first=-1"), (b"first=1", b"first=4"), (b"first=1", b"first=2.5"),
        ]),
    ],
)  # fmt: skip
def test_an_invalid_request_raises_a_command_error(arguments: list[bytes]) -> None:
    with pytest.raises(resp.CommandError):
        REQUEST_PARSER.parse(arguments)


OK, ERROR, AT_CAPACITY = Outcome.OK, Outcome.ERROR, Outcome.AT_CAPACITY


@pytest.mark.parametrize(
    ("wire", "expected"),
    [
        (b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", (OK, b"v", None, 0.0, ())),
        (b"*3\r\n$0\r\n\r\n$14\r\nused=37,cost=4\r\n$-1\r\n", (OK, b"", 0.37, 4.0, ())),
        (
            b"*3\r\n$1\r\nv\r\n$-1\r\n$24\r\nqueue=1,qps=2,inflight=7\r\n",
            (OK, b"v", None, 0.0, (7, 2, 1)),
        ),
        (b"*3\r\n$1\r\nv\r\n$7\r\nused=no\r\n$-1\r\n", (OK, b"v", None, 0.0, ())),
        (b"*3\r\n$1\r\nv\r\n$8\r\nused=nan\r\n$-1\r\n", (OK, b"v", None, 0.0, ())),
        (b"*3\r\n$1\r\nv\r\n$7\r\nused=-5\r\n$-1\r\n", (OK, b"v", None, 0.0, ())),
        (
            b"*3\r\n$1\r\nv\r\n$-1\r\n$26\r\nqueue=inf,qps=2,inflight=7\r\n",
            (OK, b"v", None, 0.0, ()),
        ),
        (b"*2\r\n$1\r\nv\r\n$7\r\nused=37\r\n", (ERROR, b"", None, 0.0, ())),
        (b"*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n", (ERROR, b"", None, 0.0, ())),
        (b"-ERR failed\r\n", (ERROR, b"", None, 0.0, ())),
        (b"-ERR failed used=12 inflight=7,qps=2,queue=1\r\n", (ERROR, b"", 0.12, 0.0, (7, 2, 1))),
        (b"-BUSY used=150\r\n", (AT_CAPACITY, b"", 1.5, 0.0, ())),
        (b"-BUSY\r\n", (AT_CAPACITY, b"", None, 0.0, ())),
        (b"-SYNTAX\r\n", (ERROR, b"", None, 0.0, ())),
        (b"$-1\r\n", (ERROR, b"", None, 0.0, ())),
        (b"*1\r\n$-1\r\n", (ERROR, b"", None, 0.0, ())),
        (b"+OK\r\n", (ERROR, b"", None, 0.0, ())),
    ],
)
def test_a_backend_reply_is_interpreted_and_implausible_numbers_are_ignored(
    wire: bytes, expected: tuple[Any, ...]
) -> None:
    parser = resp.new_parser()
    parser.feed(wire)
    reply = resp.ReplyParser(("rif", "rate", "q")).parse(parser.gets())
    assert (
        reply.outcome,
        reply.value,
        reply.utilization,
        reply.cost,
        reply.load_report,
    ) == expected


@pytest.mark.parametrize(
    ("wire", "commands", "is_malformed"),
    [
        (b"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI", [[b"PING"]], False),
        (b"*1\r\n$4\r\nPINGS\r\n", [], True),
        (b"*1\r\n$0\r\n\r\n", [[b""]], False),
        *((wire, [], True) for wire in (
            b"PING\r\n", b"*1000000000\r\n", b"*-3\r\n", b"*0\r\n", b"*\r\n", b"*1\n", b"*00000000000001",
            b"$4\r\n", b"-ERR\r\n", b"*_1\r\n",
        )),
        *((b"*1\r\n" + wire, [], True) for wire in (
            b"*1\r\n", b":1\r\n", b"$60000000\r\n", b"$65537\r\n", b"$-1\r\n", b"$-4\r\n", b"$ten\r\n",
        )),
        (command(b"API.READ", b"", b"", b"x" * 5_000, b""), [], True),
        (command(b"GET", b"", b"", b"", b"x" * 5_000), [], True),
        (b"*5\r\n" + command(b"API.READ", b"", b"", b"")[4:] + b"$4194305\r\n", [], True),
        (b"*5\r\n" + command(b"API.READ", b"", b"", b"")[4:] + b"$4194304\r\n", [4_194_304], False),
    ],
)  # fmt: skip
def test_commands_are_read_whole_but_for_a_long_body_and_anything_else_is_malformed(
    wire: bytes, commands: list[object], is_malformed: bool
) -> None:
    for step in (len(wire), 1):
        reader, seen, has_failed = resp.CommandReader(), list[object](), False
        try:
            for position in range(0, len(wire), step):
                reader.feed(wire[position : position + step])
                while (read := reader.next_command()) is not None:
                    seen.append(
                        read.arguments if isinstance(read, resp.Command) else read.body_bytes
                    )
        except resp.ProtocolError:
            has_failed = True
        assert (seen, has_failed) == (commands, is_malformed)


REPLY_GUARD = resp.reply_guard


@pytest.mark.parametrize(
    ("new_guard", "wire", "safe_bytes", "is_broken"),
    [
        (REPLY_GUARD, b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n-BUSY\r\n", 28, False),
        (REPLY_GUARD, b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\nnoise", 21, True),
        (REPLY_GUARD, b"*3\r\n$3000000000\r\n", 4, True),
        *((REPLY_GUARD, wire, 0, True) for wire in (
            b":5\r\n", b"+OK\r\n", b"$5\r\nvalue\r\n", b"*2\r\n", b"*1000000000\r\n", b"xxxx", b"-\xff\r\n",
            b"-" + b"x" * 600,
        )),
    ],
)  # fmt: skip
def test_bytes_after_an_invalid_header_are_not_fed_to_the_parser(
    new_guard: Callable[[], resp.FramingGuard], wire: bytes, safe_bytes: int, is_broken: bool
) -> None:
    whole_input_guard = new_guard()
    assert (whole_input_guard.count_safe_bytes(wire), whole_input_guard.is_broken) == (
        safe_bytes,
        is_broken,
    )
    # Byte by byte the result is the same, except that an invalid line is rejected before its end.
    bytewise_guard, safe_byte_count = new_guard(), 0
    for position in range(len(wire)):
        if not bytewise_guard.is_broken:
            safe_byte_count += bytewise_guard.count_safe_bytes(wire[position : position + 1])
    assert bytewise_guard.is_broken is is_broken
    assert (
        safe_bytes <= safe_byte_count <= len(wire) if is_broken else safe_byte_count == safe_bytes
    )


@pytest.mark.parametrize(
    ("wire", "expected"),
    [
        (b"$4\r\n12.5\r\n", (OK, 12.5)), (b"$2\r\n-3\r\n", (OK, -3.0)), (b"$5\r\n1e+06\r\n", (OK, 1e6)),
        (b"-BUSY\r\n", (AT_CAPACITY, 0.0)), (b"-ERR no such call\r\n", (Outcome.NOT_SENT, 0.0)),
        *((wire, (ERROR, 0.0)) for wire in (
            b"$3\r\nnan\r\n", b"$3\r\ninf\r\n", b"$0\r\n\r\n", b"$4\r\n1_00\r\n", b"-WHAT\r\n",
        )),
    ],
)  # fmt: skip
def test_a_counter_reply_yields_a_total_or_an_outcome_and_other_messages_violate_the_framing(
    wire: bytes, expected: tuple[Any, ...]
) -> None:
    parser, guard = resp.new_parser(), resp.counter_reply_guard()
    assert (guard.count_safe_bytes(wire), guard.is_broken, guard.is_between_messages) == (
        len(wire),
        False,
        True,
    )
    parser.feed(wire)
    assert resp.parse_counter_reply(parser.gets()) == expected
    for invalid in (b":5\r\n", b"*1000000000\r\n", b"$3000000000\r\n", b"noise", b"+OK\r\n"):
        guard = resp.counter_reply_guard()
        guard.count_safe_bytes(invalid)
        assert guard.is_broken
