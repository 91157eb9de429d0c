"""RESP2, the protocol spoken with clients, backends and the quota counter.

hiredis parses the messages. This package checks the framing of the input before it is passed to
hiredis, and interprets the parsed messages. The byte strings sent and received are part of the
wire protocol, so their text must not change.
"""

from dockthread.net.resp.command_reader import (
    REQUEST_VERBS,
    Command,
    CommandReader,
    CommandWithBody,
)
from dockthread.net.resp.commands import (
    CommandError,
    RequestCommand,
    RequestParser,
    encode_command,
)
from dockthread.net.resp.counter import (
    CounterReply,
    encode_counter_addition,
    parse_counter_reply,
)
from dockthread.net.resp.framing import (
    INCOMPLETE,
    FramingGuard,
    ProtocolError,
    counter_reply_guard,
    new_parser,
    reply_guard,
)
from dockthread.net.resp.replies import (
    BUSY,
    COMMAND_TIMEOUT,
    FAILED,
    NOT_READY,
    OK,
    PONG,
    PROTOCOL_ERROR,
    TOO_MANY_COMMANDS,
    BackendReply,
    ReplyParser,
    encode_busy,
    encode_error,
    encode_value,
)
from dockthread.net.resp.reply_reader import LongReplyTail, ReplyReader

__all__ = [
    "BUSY",
    "COMMAND_TIMEOUT",
    "FAILED",
    "INCOMPLETE",
    "NOT_READY",
    "OK",
    "PONG",
    "PROTOCOL_ERROR",
    "REQUEST_VERBS",
    "TOO_MANY_COMMANDS",
    "BackendReply",
    "Command",
    "CommandError",
    "CommandReader",
    "CommandWithBody",
    "CounterReply",
    "FramingGuard",
    "LongReplyTail",
    "ProtocolError",
    "ReplyParser",
    "ReplyReader",
    "RequestCommand",
    "RequestParser",
    "counter_reply_guard",
    "encode_busy",
    "encode_command",
    "encode_counter_addition",
    "encode_error",
    "encode_value",
    "new_parser",
    "parse_counter_reply",
    "reply_guard",
]
