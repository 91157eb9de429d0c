"""The server side of a connection to collectd's unixsock plugin."""

from __future__ import annotations

from dockthread.telemetry import putval
from dockthread.telemetry.receiver.decode import DecodeError
from dockthread.telemetry.receiver.ledger import Ledger


class CommandServer:
    """Stores the values from the commands of one connection in the ledger, and sends replies."""

    def __init__(self, ledger: Ledger, source: str) -> None:
        """Create the server for a connection; `source` names the protocol in the ledger."""
        self._ledger = ledger
        self._source = source
        self._incomplete_line = b""

    def feed(self, data: bytes) -> bytes:
        """Return the replies to the commands that are completed by the next bytes.

        Raises:
            DecodeError: if a line is too long.
        """
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        if len(self._incomplete_line) > putval.MAX_LINE_BYTES:
            raise DecodeError("a line does not end")
        return "".join(map(self._reply_to, lines)).encode()

    def _reply_to(self, line: bytes) -> str:
        try:
            items = putval.parse_command(line.decode())
        except ValueError as error:
            self._ledger.add_fault(self._source, "a command that cannot be read")
            return f"-1 {error}\n"
        self._ledger.add_collectd_items(self._source, items)
        count = sum(not item.message for item in items)
        plural = "" if count == 1 else "s"
        return f"0 Success: {count} value{plural} has been dispatched.\n"
