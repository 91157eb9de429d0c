"""Sign, encrypt, verify and decrypt packets.

A signed packet begins with a part of type 0x0200, which holds an HMAC-SHA-256 and the user name.
The HMAC covers the user name and all parts that follow. An encrypted packet is one part of type
0x0210. It holds the length of the user name, the user name and the initialization vector in clear
text, followed by the SHA-1 of the parts and the parts, both encrypted. The cipher is AES-256 in OFB
mode; its key is the SHA-256 of the password.
"""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from dockthread.telemetry.collectd.parts import (
    CHECKSUM_BYTES,
    ENCRYPTION_HEADER,
    IV_BYTES,
    MAX_PACKET_BYTES,
    PART_HEADER,
    SIGNATURE_BYTES,
    PacketError,
    PartType,
)

# Size in bytes of a signature part without the user name.
SIGNATURE_OVERHEAD = PART_HEADER.size + SIGNATURE_BYTES
# Size in bytes of an encrypted packet without the user name and the parts.
ENCRYPTION_OVERHEAD = ENCRYPTION_HEADER.size + IV_BYTES + CHECKSUM_BYTES


@dataclass(frozen=True, slots=True)
class PacketSealer:
    """Signs or encrypts packets, or leaves them unprotected.

    Attributes:
        seal: Returns the packet with the given encoded parts.
        capacity: Maximum size in bytes of the parts in one packet.
    """

    seal: Callable[[bytes], bytes]
    capacity: int


def packet_sealer(security: str, user: str, password: bytes) -> PacketSealer:
    """Return the sealer for a security level: `none`, `sign` or `encrypt`.

    Raises:
        ImportError: if the level is `encrypt` and the extra `collectd` is not installed.
    """
    user_name = user.encode()
    if security == "sign":
        return PacketSealer(
            lambda parts: _sign(parts, user_name, password),
            MAX_PACKET_BYTES - SIGNATURE_OVERHEAD - len(user_name),
        )
    if security == "encrypt":
        cipher = _import_cipher()
        return PacketSealer(
            lambda parts: _encrypt(parts, user_name, password, cipher),
            MAX_PACKET_BYTES - ENCRYPTION_OVERHEAD - len(user_name),
        )
    return PacketSealer(lambda parts: parts, MAX_PACKET_BYTES)


def _sign(parts: bytes, user_name: bytes, password: bytes) -> bytes:
    digest = hmac.new(password, user_name + parts, hashlib.sha256).digest()
    length = SIGNATURE_OVERHEAD + len(user_name)
    return PART_HEADER.pack(PartType.SIGNATURE, length) + digest + user_name + parts


def _encrypt(parts: bytes, user_name: bytes, password: bytes, cipher: Callable[..., Any]) -> bytes:
    iv = os.urandom(IV_BYTES)
    encryptor = cipher(hashlib.sha256(password).digest(), iv).encryptor()
    clear_text = hashlib.sha1(parts).digest() + parts
    encrypted: bytes = encryptor.update(clear_text) + encryptor.finalize()
    length = ENCRYPTION_HEADER.size + len(user_name) + IV_BYTES + len(encrypted)
    header = ENCRYPTION_HEADER.pack(PartType.ENCRYPTION, length, len(user_name))
    return header + user_name + iv + encrypted


def _import_cipher() -> Callable[..., Any]:
    """Return a function that creates an AES-256 cipher in OFB mode from a key and an IV.

    Raises:
        ImportError: if the extra `collectd` is not installed.
    """
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:  # older releases of cryptography
        from cryptography.hazmat.primitives.ciphers.modes import OFB

    return lambda key, iv: Cipher(algorithms.AES(key), OFB(iv))


def verify(packet: bytes, passwords: Mapping[str, bytes], is_required: bool) -> bytes:
    """Verify the signature of a packet and return its parts.

    Raises:
        PacketError: if the signature is wrong or truncated, or the user is unknown.
    """
    length = PART_HEADER.unpack_from(packet)[1]
    if not SIGNATURE_OVERHEAD < length <= len(packet):
        raise PacketError("a signature that is cut short")
    digest = packet[PART_HEADER.size : SIGNATURE_OVERHEAD]
    user_name = packet[SIGNATURE_OVERHEAD:length]
    parts = packet[length:]
    if not is_required and not passwords:
        # Like collectd, accept a signature that is not required and cannot be verified.
        return parts
    password = _find_password(user_name, passwords)
    expected = hmac.new(password, user_name + parts, hashlib.sha256).digest()
    if not hmac.compare_digest(digest, expected):
        raise PacketError("a wrong signature")
    return parts


def decrypt(packet: bytes, passwords: Mapping[str, bytes]) -> bytes:
    """Decrypt a packet and return its parts.

    Raises:
        PacketError: if the password is wrong, the user is unknown or the packet is truncated.
        ImportError: if the extra `collectd` is not installed.
    """
    if len(packet) < ENCRYPTION_HEADER.size:
        raise PacketError("an encrypted part that is cut short")
    _, length, user_name_bytes = ENCRYPTION_HEADER.unpack_from(packet)
    if length != len(packet) or ENCRYPTION_OVERHEAD + user_name_bytes > length:
        raise PacketError("an encrypted part that is cut short")
    iv_start = ENCRYPTION_HEADER.size + user_name_bytes
    user_name = packet[ENCRYPTION_HEADER.size : iv_start]
    iv = packet[iv_start : iv_start + IV_BYTES]
    encrypted = packet[iv_start + IV_BYTES :]
    cipher = _import_cipher()
    key = hashlib.sha256(_find_password(user_name, passwords)).digest()
    decryptor = cipher(key, iv).decryptor()
    clear_text: bytes = decryptor.update(encrypted) + decryptor.finalize()
    checksum = clear_text[:CHECKSUM_BYTES]
    parts = clear_text[CHECKSUM_BYTES:]
    if hashlib.sha1(parts).digest() != checksum:
        raise PacketError("a wrong password, or spoilt bytes")
    return parts


def _find_password(user_name: bytes, passwords: Mapping[str, bytes]) -> bytes:
    password = passwords.get(user_name.decode("utf-8", "replace"))
    if password is None:
        raise PacketError("an unknown user")
    return password
