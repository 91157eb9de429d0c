"""Dispatches client commands: passes requests to the ingress and answers all other commands."""

from __future__ import annotations

from dockthread.net import resp
from dockthread.net.connection_host import ConnectionHost, RequestSource, ResponseSlot

REQUEST_VERBS = (b"API.READ", b"API.WRITE")
# Client libraries send these after connecting. They are answered with OK and have no effect.
IGNORED_VERBS = (b"CLIENT", b"SELECT")


class CommandHandler:
    """Handles the commands of one client connection.

    `is_surplus` marks a connection beyond the descriptor budget: its first request is rejected,
    and no command after that is served.
    """

    __slots__ = ("_host", "_is_surplus", "invalid_commands", "stops_serving")

    def __init__(self, host: ConnectionHost, is_surplus: bool) -> None:
        self._host = host
        self._is_surplus = is_surplus
        self.invalid_commands = 0  # number of commands that could not be served
        self.stops_serving = False  # no further command is to be served

    def handle(self, connection: RequestSource, message: object) -> ResponseSlot:
        """Handle a complete command and return the slot for its response.

        Raises:
            ProtocolError: The message is not an array of bulk strings.
        """
        if not isinstance(message, list) or not all(type(part) is bytes for part in message):
            raise resp.ProtocolError("a command is an array of bulk strings")
        verb = message[0].upper()
        if verb in REQUEST_VERBS:
            return self._handle_request(connection, message)
        if verb == b"QUIT":
            self.stops_serving = True
            return ResponseSlot(resp.OK)
        return self._handle_other(verb, message)

    def _handle_request(self, connection: RequestSource, arguments: list[bytes]) -> ResponseSlot:
        host = self._host
        try:
            command = host.request_parser.parse(arguments)
        except resp.CommandError as error:
            return self._reject_invalid(resp.encode_error(str(error)))
        if self._is_surplus:
            self.stops_serving = True
            return host.requests.respond_without_policy(command, "surplus", resp.BUSY)
        if host.requests.is_in_flight(command.wire_id):
            self.invalid_commands += 1
            response = resp.encode_error("this id is open already")
            return host.requests.respond_without_policy(command, "duplicate", response)
        return host.requests.accept(connection, command)

    def _handle_other(self, verb: bytes, arguments: list[bytes]) -> ResponseSlot:
        if verb == b"PING":
            if not self._host.ready:
                return ResponseSlot(resp.NOT_READY)
            has_payload = len(arguments) > 1
            return ResponseSlot(resp.encode_value(arguments[1]) if has_payload else resp.PONG)
        if verb in IGNORED_VERBS:
            return ResponseSlot(resp.OK)
        return self._reject_invalid(resp.encode_error("unknown command"))

    def _reject_invalid(self, response: bytes) -> ResponseSlot:
        self.invalid_commands += 1
        self._host.traffic.commands_rejected += 1
        return ResponseSlot(response)
