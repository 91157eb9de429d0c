"""Incremental parser for the HTTP response of a discovery watch, a stream of JSON objects."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

import httptools
import ijson

from dockthread.net.endpoint_list_codec import DiscoveryError

MAX_LISTED_BACKENDS = 50_000  # Maximum number of backends in a list: twice the planned maximum.
MAX_ENTRY_BYTES = 400  # Assumed maximum size of a list entry; the average is 178 bytes.
MAX_OBJECT_BYTES = MAX_LISTED_BACKENDS * MAX_ENTRY_BYTES
# Maximum size of input without a complete entry. Parsed, it takes up to ten times as much memory.
MAX_UNREAD_BYTES = 1024 * 1024
MAX_ERROR_CHARS = 100  # Maximum length of a JSON error's text in the log.

HTTP_OK = 200

JsonObject: TypeAlias = dict[str, Any]  # as built by ijson, before its entries are decoded


class WatchResponseParser:
    """Parses the response of one watch, in chunks of any size.

    Whitespace between the objects serves as a heartbeat. `decode_entry` decodes the entries of an
    object's `targets` while the object is still arriving, and the results replace the entries. So
    the JSON objects of a long list are never all in memory, and the event loop is blocked only for
    one chunk at a time.
    """

    def __init__(self, decode_entry: Callable[[Any], Any] | None = None) -> None:
        self._http = httptools.HttpResponseParser(self)
        self._completed_objects = ijson.sendable_list()
        self._json = ijson.items_coro(
            self._completed_objects,
            "",
            multiple_values=True,
            use_float=True,
            map_type=self._new_object,
        )
        self._decode_entry = decode_entry
        # The members received so far of the current outermost object.
        self._current_object: JsonObject | None = None
        self._completed_before_object = 0  # number of complete objects when the current one began
        self._object_entries_read = 0  # number of decoded entries of the current object
        self.entries_read = 0  # number of decoded entries of all objects
        self._object_bytes = 0  # size of the current object, rounded up to whole chunks
        self._unread_bytes = 0  # size of the input since an entry was last decoded
        self._error: DiscoveryError | None = None
        self.is_inside_object = False
        self.has_body = False  # the status is OK, and a part of the body has arrived
        self.is_complete = False

    def feed(self, data: bytes | memoryview) -> Iterator[Any]:
        """Parse `data` and yield the objects that it completes.

        Raises:
            DiscoveryError: The input after these objects is not valid in a watch.
        """
        try:
            self._http.feed_data(data)
        except httptools.HttpParserError as error:
            self._error = self._error or DiscoveryError(
                f"not an HTTP response: {error.__context__ or error}"
            )
        completed = list(self._completed_objects)
        self._completed_objects.clear()
        yield from completed
        if self._error is not None:
            raise self._error

    def _new_object(self) -> JsonObject:
        """Return a dict for ijson to fill; keep a reference if it is an outermost object."""
        new_object: JsonObject = {}
        if (
            self._current_object is None
            or len(self._completed_objects) > self._completed_before_object
        ):
            self._current_object = new_object
            self._completed_before_object = len(self._completed_objects)
            self._object_entries_read = 0
        return new_object

    def _decode_entries(self) -> None:
        """Decode all new entries but the last, which may be incomplete."""
        targets = self._current_object.get("targets") if self._current_object is not None else None
        if self._decode_entry is None or not isinstance(targets, list):
            return
        start, end = self._object_entries_read, len(targets) - 1
        if end <= start:
            return
        targets[start:end] = map(self._decode_entry, targets[start:end])
        self.entries_read += end - start
        self._object_entries_read = end
        self._unread_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the status code; called by httptools."""
        status = self._http.get_status_code()
        if status != HTTP_OK:
            self._error = DiscoveryError(f"discovery answered {status}")

    def on_body(self, body: bytes) -> None:
        """Parse a part of the body; called by httptools."""
        if self._error is not None:
            return
        self.has_body = True
        completed_before = len(self._completed_objects)
        self._unread_bytes += len(body)
        try:
            self._json.send(body)
            self._decode_entries()
        except DiscoveryError as error:
            self._error = error
            return
        except (ijson.JSONError, UnicodeDecodeError, RecursionError) as error:
            text = " ".join(str(error).split())
            self._error = DiscoveryError(f"not JSON: {text[:MAX_ERROR_CHARS]}")
            return
        self._track_object(
            body, has_completed_object=len(self._completed_objects) > completed_before
        )
        if self._object_bytes > MAX_OBJECT_BYTES or self._unread_bytes > MAX_UNREAD_BYTES:
            self._error = DiscoveryError("an object is too large")

    def _track_object(self, body: bytes, *, has_completed_object: bool) -> None:
        """Update, after a part of the body, whether an object is incomplete and how large it is."""
        text = body.rstrip()
        if has_completed_object:
            self._object_bytes = 0
            self._unread_bytes = 0
            self.is_inside_object = not text.endswith(b"}")
            if not self.is_inside_object:
                self._current_object = None
        elif text:
            self._object_bytes += len(body)
            self.is_inside_object = True

    def on_message_complete(self) -> None:
        """Record the end of the response; called by httptools."""
        self.is_complete = True
