"""A client that sends commands on one connection at full speed, as a process of its own.

`python -m dockthread.lab.soak.flood PORT KIND SEED SECONDS`
"""

from __future__ import annotations

import random
import socket
import sys
import time
from contextlib import suppress

from dockthread.lab.soak.clients import encode_command
from dockthread.lab.soak.stand_ins import LOOPBACK

BATCH_COMMANDS = 24
READ_BYTES = 256 * 1024
RECONNECT_DELAY_S = 0.02
WAIT_S = 0.001


class Flood:
    """Commands of one kind, drawn from a seed."""

    def __init__(self, kind: str, seed: int) -> None:
        self._kind = kind
        self._random = random.Random(seed)

    def run(self, port: int, seconds: float) -> None:
        """Send until `seconds` are over, and read all answers; connect anew after a close."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            with suppress(OSError), socket.create_connection((LOOPBACK, port)) as sock:
                sock.setblocking(False)
                self._send(sock, ends_at)
            time.sleep(RECONNECT_DELAY_S)

    def _send(self, sock: socket.socket, ends_at: float) -> None:
        unsent = b""
        while time.monotonic() < ends_at:
            unsent = unsent or b"".join(self._command() for _ in range(BATCH_COMMANDS))
            with suppress(BlockingIOError):
                unsent = unsent[sock.send(unsent) :]
            try:
                if not sock.recv(READ_BYTES):
                    return
            except BlockingIOError:
                time.sleep(WAIT_S if unsent else 0)

    def _command(self) -> bytes:
        if self._kind == "ping":
            return encode_command(b"PING")
        if self._kind == "unsound":
            return encode_command(b"API.READ", b"0" * 16, b"x", b"c=none")
        customer = self._random.randrange(1 << 32) if self._kind == "names" else 7
        wire_id = self._random.randrange(1 << 64)
        terms = b"c=read,t=small,d=500,units=1,spread=1,first=0"
        return encode_command(b"API.READ", b"%016x" % customer, b"%016x" % wire_id, terms)


if __name__ == "__main__":
    Flood(sys.argv[2], int(sys.argv[3])).run(int(sys.argv[1]), float(sys.argv[4]))
