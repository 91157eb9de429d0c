"""Builds responses of a fake discovery service: HTTP with a chunked body."""

from __future__ import annotations

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked(*pieces: bytes) -> list[bytes]:
    """Encode each piece as one chunk of an HTTP body."""
    return [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
