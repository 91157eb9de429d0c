"""Dispatches client commands: passes requests to the ingress and answers all other commands."""

from __future__ import annotations

from dockthread.net import resp
from dockthread.net.connection_host import ConnectionHost, RequestSource, ResponseSlot

# Client libraries send these after connecting. They are answered with OK and have no effect.
IGNORED_VERBS = (b"CLIENT", b"SELECT")


class CommandHandler:
    """Handles the commands of one client connection.

    `is_surplus` marks a connection beyond the descriptor budget: its requests are rejected, and it
    ends once those that have been read are answered.
    """

    __slots__ = ("_host", "_is_surplus", "ends_connection", "stops_serving", "unknown_commands")

    def __init__(self, host: ConnectionHost, is_surplus: bool) -> None:
        self._host = host
        self._is_surplus = is_surplus
        self.unknown_commands = 0  # number of commands that are not those of a client
        self.stops_serving = False  # no further command is to be served
        self.ends_connection = False  # to be ended between two requests

    def handle(self, connection: RequestSource, message: list[bytes]) -> ResponseSlot:
        """Handle a complete command and return the slot for its response."""
        verb = message[0].upper()
        if verb in resp.REQUEST_VERBS:
            command = self.check_request(message)
            if isinstance(command, ResponseSlot):
                return command
            return self._host.requests.accept(connection, command)
        if verb == b"QUIT":
            self.stops_serving = True
            return ResponseSlot(resp.OK)
        return self._handle_other(verb, message)

    def check_request(self, arguments: list[bytes]) -> resp.RequestCommand | ResponseSlot:
        """Return a request to be accepted, or the response to one that cannot be.

        `arguments` may lack the body, which may follow.
        """
        host = self._host
        try:
            command = host.request_parser.parse(arguments)
        except resp.CommandError as error:
            return self._reject(resp.encode_error(str(error)))
        if self._is_surplus:
            self.ends_connection = True
            return host.requests.respond_without_policy(command, "surplus", resp.BUSY)
        return command

    def _handle_other(self, verb: bytes, arguments: list[bytes]) -> ResponseSlot:
        if verb == b"PING":
            if not self._host.ready:
                return ResponseSlot(resp.NOT_READY)
            has_payload = len(arguments) > 1
            return ResponseSlot(resp.encode_value(arguments[1]) if has_payload else resp.PONG)
        if verb in IGNORED_VERBS:
            return ResponseSlot(resp.OK)
        self.unknown_commands += 1
        return self._reject(resp.encode_error("unknown command"))

    def _reject(self, response: bytes) -> ResponseSlot:
        self._host.traffic.commands_rejected += 1
        return ResponseSlot(response)
