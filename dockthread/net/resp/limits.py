"""Limits on RESP messages."""

BYTES_PER_KIB = 1024

MAX_VALUE_BYTES = 4 * 1024 * BYTES_PER_KIB  # Maximum size of a request's body or a reply's value.
# Maximum size of a value that is read whole into a message. Larger ones are read in blocks.
MAX_WHOLE_VALUE_BYTES = 4 * BYTES_PER_KIB
# Maximum size of a command without the body that is read in blocks.
MAX_HEAD_BYTES = 2 * BYTES_PER_KIB
MAX_COMMAND_ARGUMENTS = 16  # Maximum number of arguments, including the verb.
# A value over this size is timed by its first byte, and is passed on while it is being received.
MAX_TIMED_WHOLE_BYTES = 64 * BYTES_PER_KIB
