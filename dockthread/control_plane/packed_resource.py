"""Compact representation of resources in a table, and the digest of a set of resources.

A resource is stored as a string (kind and name) and a bytes object (revision, live flag, body). An
ingress holds 90,000 resources, and one `Resource` object each would use several times the memory.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from typing import Final

from dockthread.control_plane.messages import Resource

DIGEST_BYTES: Final = 16
"""Size of a digest in bytes."""
MESSAGE_OVERHEAD: Final = 8
"""Approximate number of bytes that a resource takes in a message besides its packed form."""
_SEPARATOR: Final = "\x00"
"""Separator between kind and name; no kind contains it."""
_PACKED_HEADER: Final = struct.Struct("<Q?")
"""Revision of the resource, and whether it is live."""
_DIGEST_MODULUS: Final = 1 << (8 * DIGEST_BYTES)
_KEY_LENGTH_BYTES: Final = 4
"""Size in bytes of the key length that is hashed before the key."""


class LiveSetDigest:
    """Digest of a set of live resources, independent of their order.

    The digest is the sum modulo 2^128 of one BLAKE2b hash per resource, so a changed resource is
    updated by subtracting its old hash and adding the new one.
    """

    def __init__(self) -> None:
        self.count = 0
        self._sum = 0

    def add(self, key: str, packed: bytes) -> None:
        """Include a live resource."""
        self.count += 1
        self._sum = (self._sum + _hash(key, packed)) % _DIGEST_MODULUS

    def remove(self, key: str, packed: bytes) -> None:
        """Exclude a live resource that was included."""
        self.count -= 1
        self._sum = (self._sum - _hash(key, packed)) % _DIGEST_MODULUS

    def value(self) -> bytes:
        """Return the digest."""
        return self._sum.to_bytes(DIGEST_BYTES, "little")


def make_key(kind: str, name: str) -> str:
    """Return the key of a resource."""
    return f"{kind}{_SEPARATOR}{name}"


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name in a key."""
    kind, _, name = key.partition(_SEPARATOR)
    return kind, name


def pack(resource: Resource) -> bytes:
    """Return the packed form of a resource, without its key."""
    is_live = resource.body is not None
    return _PACKED_HEADER.pack(resource.revision, is_live) + (resource.body or b"")


def unpack(key: str, packed: bytes) -> Resource:
    """Return the resource with the given key and packed form."""
    kind, name = split_key(key)
    revision, is_live = _PACKED_HEADER.unpack_from(packed)
    return Resource(kind, name, revision, packed[_PACKED_HEADER.size :] if is_live else None)


def is_live(packed: bytes) -> bool:
    """Return whether a packed resource is live, not a tombstone."""
    return bool(_PACKED_HEADER.unpack_from(packed)[1])


def revision_of(packed: bytes) -> int:
    """Return the revision of a packed resource."""
    return int(_PACKED_HEADER.unpack_from(packed)[0])


def packed_size(key: str, packed: bytes) -> int:
    """Return the approximate size in bytes of a packed resource in a message."""
    return MESSAGE_OVERHEAD + len(key) + len(packed)


def resource_size(resource: Resource) -> int:
    """Return the approximate size in bytes of a resource in a message."""
    key_size = len(resource.kind) + len(_SEPARATOR) + len(resource.name)
    return MESSAGE_OVERHEAD + _PACKED_HEADER.size + key_size + len(resource.body or b"")


def _hash(key: str, packed: bytes) -> int:
    encoded_key = key.encode()
    length = len(encoded_key).to_bytes(_KEY_LENGTH_BYTES, "little")
    hasher = blake2b(length, digest_size=DIGEST_BYTES)
    hasher.update(encoded_key)
    hasher.update(packed)
    return int.from_bytes(hasher.digest(), "little")
