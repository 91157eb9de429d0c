"""Limits that the protocol sets on RESP messages."""

MAX_VALUE_BYTES = 64 * 1024  # Maximum size of a bulk string.
MAX_COMMAND_ARGUMENTS = 16  # Maximum number of arguments, including the verb.
