"""The HTTP response of a watch on discovery: bytes in, JSON objects out as they are complete."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

import httptools
import ijson

from dockthread.net.endpoint_list_codec import DiscoveryError

MAX_LISTED_BACKENDS = 50_000  # in one list: twice the longest planned
MAX_ENTRY_BYTES = 400  # of a backend in a list; they take 178 on average
MAX_OBJECT_BYTES = MAX_LISTED_BACKENDS * MAX_ENTRY_BYTES
MAX_UNREAD_BYTES = 4 * 1024 * 1024  # without the end of an entry; parsed they take up to ten times
MAX_ERROR_CHARS = 100  # of a JSON error's text in the log

HTTP_OK = 200

JsonObject: TypeAlias = dict[str, Any]  # as ijson builds it, before its entries are read


class WatchResponseParser:
    """Parses one watch's response, however its objects are laid out and cut into pieces.

    Blanks between the objects are signs of life. `read_entry` replaces the entries of an object's
    `targets` while the rest of the object is still arriving: the members of a long list never
    stand in memory together, and reading them holds the event loop for one piece at a time.
    """

    def __init__(self, read_entry: Callable[[Any], Any] | None = None) -> None:
        self._http = httptools.HttpResponseParser(self)
        self._found = ijson.sendable_list()
        self._json = ijson.items_coro(
            self._found, "", multiple_values=True, use_float=True, map_type=self._new_members
        )
        self._read_entry = read_entry
        self._members: JsonObject | None = None  # of the current outermost object, so far
        self._found_before = 0  # complete objects when the current one began
        self._object_entries = 0  # entries of the current object that were read
        self.entries_read = 0  # of all objects
        self._object_bytes = 0  # of the current object, and a little more
        self._unread_bytes = 0  # since the last entry was read
        self._failure: DiscoveryError | None = None
        self.is_inside_object = False
        self.has_body = False  # the response is a watch, and a part of its body has arrived
        self.is_complete = False

    def feed(self, data: bytes | memoryview) -> Iterator[Any]:
        """Yield the objects that are complete now.

        Raises:
            DiscoveryError: What follows these objects cannot be part of a watch.
        """
        try:
            self._http.feed_data(data)
        except httptools.HttpParserError as error:
            self._failure = self._failure or DiscoveryError(
                f"not an HTTP answer: {error.__context__ or error}"
            )
        found = list(self._found)
        self._found.clear()
        yield from found
        if self._failure is not None:
            raise self._failure

    def _new_members(self) -> JsonObject:
        """Return a new object for ijson, and note whether it is an outermost one."""
        members: JsonObject = {}
        if self._members is None or len(self._found) > self._found_before:
            self._members = members
            self._found_before = len(self._found)
            self._object_entries = 0
        return members

    def _read_entries(self) -> None:
        """Read the complete entries: all but the last, which may still be arriving."""
        targets = self._members.get("targets") if self._members is not None else None
        if self._read_entry is None or not isinstance(targets, list):
            return
        first, end = self._object_entries, len(targets) - 1
        if end <= first:
            return
        targets[first:end] = map(self._read_entry, targets[first:end])
        self.entries_read += end - first
        self._object_entries = end
        self._unread_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the status; called by httptools."""
        status = self._http.get_status_code()
        if status != HTTP_OK:
            self._failure = DiscoveryError(f"discovery answered {status}")

    def on_body(self, body: bytes) -> None:
        """Parse a part of the body; called by httptools."""
        if self._failure is not None:
            return
        self.has_body = True
        found_before = len(self._found)
        self._unread_bytes += len(body)
        try:
            self._json.send(body)
            self._read_entries()
        except DiscoveryError as error:
            self._failure = error
            return
        except (ijson.JSONError, UnicodeDecodeError, RecursionError) as error:
            text = " ".join(str(error).split())
            self._failure = DiscoveryError(f"not JSON: {text[:MAX_ERROR_CHARS]}")
            return
        self._track_object(body, is_any_found=len(self._found) > found_before)
        if self._object_bytes > MAX_OBJECT_BYTES or self._unread_bytes > MAX_UNREAD_BYTES:
            self._failure = DiscoveryError("an object does not end")

    def _track_object(self, body: bytes, *, is_any_found: bool) -> None:
        """Note after a part of the body whether an object has begun and how long it is."""
        text = body.rstrip()
        if is_any_found:
            self._object_bytes = 0
            self._unread_bytes = 0
            self.is_inside_object = not text.endswith(b"}")
            if not self.is_inside_object:
                self._members = None
        elif text:
            self._object_bytes += len(body)
            self.is_inside_object = True

    def on_message_complete(self) -> None:
        """Note the end of the response; called by httptools."""
        self.is_complete = True
