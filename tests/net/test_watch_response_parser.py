"""The response of a discovery watch: objects are parsed in any layout and from any chunks."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from dockthread.net.endpoint_list_codec import DiscoveryError
from dockthread.net.watch_response_parser import WatchResponseParser
from tests.loopback import message, target
from tests.net.discovery_responses import RESPONSE_HEAD, chunked


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([RESPONSE_HEAD + b'8\r\n{"a":1}\n\r\n'], [{"a": 1}]),
        ([RESPONSE_HEAD, b"4\r\n", b'{"a"', b"\r\n4\r\n:1}\n\r\n1\r\n\n\r\n"], [{"a": 1}]),
        ([RESPONSE_HEAD + b"1\r\n\n\r\n1\r\n\n\r\n"], []),
        ([RESPONSE_HEAD + b"6\r\n{}\n[]\n\r\n3\r\n{}\n\r\n"], [{}, [], {}]),
        ([b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"], DiscoveryError),
        ([b"+PONG\r\n"], DiscoveryError),
        ([RESPONSE_HEAD + b"3\r\n{]\n\r\n"], DiscoveryError),
    ],
)
def test_objects_are_parsed_when_complete_and_other_responses_raise(
    pieces: list[bytes], expected: Any
) -> None:
    parser = WatchResponseParser()
    if expected is DiscoveryError:
        with pytest.raises(DiscoveryError):
            [parsed for piece in pieces for parsed in parser.feed(piece)]
    else:
        assert [parsed for piece in pieces for parsed in parser.feed(piece)] == expected


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_lists_are_parsed_in_any_layout_and_with_any_chunk_boundary(indent: int | None) -> None:
    messages = [message(number, target('s-ü{["', 6379), full=number == 1) for number in (1, 2)]
    text = b"\n\n".join(
        json.dumps(update, indent=indent, ensure_ascii=False).encode() for update in messages
    )
    for split_at in range(1, len(text)):
        parser, parsed_objects = WatchResponseParser(), list[Any]()
        for piece in (RESPONSE_HEAD, *chunked(text[:split_at], text[split_at:])):
            parsed_objects += parser.feed(piece)
        assert parsed_objects == messages
        assert not parser.is_inside_object
    parser, parsed_objects = WatchResponseParser(), []
    for piece in (
        RESPONSE_HEAD,
        *chunked(*(text[offset : offset + 1] for offset in range(len(text)))),
    ):
        before = len(parsed_objects)
        parsed_objects += parser.feed(piece)
        # An object is yielded with its own last byte, not with the first byte of the next one.
        assert len(parsed_objects) == before or piece[3:4] == b"}"
    assert parsed_objects == messages


def test_complete_objects_are_yielded_before_an_error_and_the_object_size_is_limited() -> None:
    parser, parsed_objects = WatchResponseParser(), list[Any]()
    with pytest.raises(DiscoveryError, match="not JSON"):
        for piece in (RESPONSE_HEAD, *chunked(b'{"rev": 1}\n}')):
            for parsed in parser.feed(piece):
                parsed_objects.append(parsed)
    assert parsed_objects == [{"rev": 1}]
    parser = WatchResponseParser()
    with pytest.raises(DiscoveryError, match="an object is too large"):
        for piece in (RESPONSE_HEAD, *chunked(b'{"a": [', *[b"1, " * 10_000] * 200)):
            list(parser.feed(piece))


def test_parsing_a_list_byte_by_byte_takes_linear_time() -> None:
    targets = [target(f"s-{number}", 6379) for number in range(3_000)]
    text = json.dumps(message(1, *targets, full=True), indent=2).encode()
    parser, started_at = WatchResponseParser(), time.monotonic()
    pieces = (RESPONSE_HEAD, *chunked(*(text[offset : offset + 1] for offset in range(len(text)))))
    parsed_objects = [parsed for piece in pieces for parsed in parser.feed(piece)]
    assert len(parsed_objects[0]["targets"]) == 3_000
    # This takes half a second. Parsing the whole input again for each byte would take minutes.
    assert time.monotonic() - started_at < 20
