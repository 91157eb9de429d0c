"""The content of a table at one point in time, split into the chunks of a snapshot."""

from __future__ import annotations

from collections.abc import Mapping

from dockthread.control_plane.messages import Update
from dockthread.control_plane.packed_resource import packed_size, unpack


class FrozenTable:
    """The content of a table at one point in time, with tombstones, oldest revision first.

    Resources are not copied: keys and packed resources are shared with the table.
    """

    def __init__(  # noqa: PLR0913  the fields of a table, only passed by `ResourceTable.freeze`
        self,
        epoch: str,
        revision: int,
        horizon: int,
        digest: bytes,
        size: int,
        packed: Mapping[str, bytes],
    ) -> None:
        self.epoch = epoch
        self.revision = revision
        self.horizon = horizon
        self.digest = digest
        self.size_bytes = size
        self._keys = list(packed)
        self._values = list(packed.values())
        self._next_index = 0
        self._has_begun = False

    @property
    def exhausted(self) -> bool:
        """Whether all chunks have been returned."""
        return self._has_begun and self._next_index == len(self._keys)

    def next_chunk(self, max_bytes: int) -> Update:
        """Return the next chunk; the first is marked `snapshot`, the last is marked `complete`."""
        start = self._next_index
        end = self._advance(max_bytes)
        entries = zip(self._keys[start:end], self._values[start:end], strict=True)
        resources = tuple(unpack(key, packed) for key, packed in entries)
        is_first = not self._has_begun
        self._has_begun = True
        if not self.exhausted:
            revision = resources[-1].revision
            return Update(self.epoch, revision, resources, snapshot=is_first, complete=False)
        return Update(
            self.epoch, self.revision, resources, is_first, True, self.digest, self.horizon
        )

    def _advance(self, max_bytes: int) -> int:
        """Advance past the next chunk of at least one resource, and return its end index."""
        start = self._next_index
        remaining_bytes = max_bytes
        while self._next_index < len(self._keys):
            remaining_bytes -= packed_size(
                self._keys[self._next_index], self._values[self._next_index]
            )
            if remaining_bytes < 0 and self._next_index > start:
                break
            self._next_index += 1
        return self._next_index
