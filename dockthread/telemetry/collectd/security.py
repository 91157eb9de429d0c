"""Sign, encrypt, verify and decrypt packets.

A signed packet begins with a part of type 0x0200: HMAC-SHA-256 over the user's name and all that
follows, then the user's name. An encrypted packet is one part of type 0x0210: the length of the
user's name, the name and the initialization vector in clear text, then, encrypted, the SHA-1 of
the parts and the parts. The cipher is AES-256 in OFB mode; its key is the password's SHA-256.
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

# A signature's bytes but the user's name.
SIGNATURE_OVERHEAD = PART_HEADER.size + SIGNATURE_BYTES
# An encrypted packet's bytes but the user's name and the parts.
ENCRYPTION_OVERHEAD = ENCRYPTION_HEADER.size + IV_BYTES + CHECKSUM_BYTES


@dataclass(frozen=True, slots=True)
class PacketSealer:
    """How packets are protected.

    Attributes:
        seal: Makes a packet of encoded parts.
        capacity: The bytes that a packet has for parts.
    """

    seal: Callable[[bytes], bytes]
    capacity: int


def packet_sealer(security: str, user: str, password: bytes) -> PacketSealer:
    """Return the sealer for a security level: `none`, `sign` or `encrypt`.

    Raises:
        ImportError: if encryption is asked for without the extra `collectd`.
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
    """Return AES-256 in OFB mode of the package `cryptography`, as a function of key and IV.

    Raises:
        ImportError: if the extra `collectd` is not installed.
    """
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:  # older releases have it among the other modes
        from cryptography.hazmat.primitives.ciphers.modes import OFB

    return lambda key, iv: Cipher(algorithms.AES(key), OFB(iv))


def verify(packet: bytes, passwords: Mapping[str, bytes], is_required: bool) -> bytes:
    """Return the parts of a signed packet.

    Raises:
        PacketError: if the signature is wrong, cut short or by an unknown user.
    """
    length = PART_HEADER.unpack_from(packet)[1]
    if not SIGNATURE_OVERHEAD < length <= len(packet):
        raise PacketError("a signature that is cut short")
    digest = packet[PART_HEADER.size : SIGNATURE_OVERHEAD]
    user_name = packet[SIGNATURE_OVERHEAD:length]
    parts = packet[length:]
    if not is_required and not passwords:
        # Like collectd: a signature that is not required and cannot be checked is accepted.
        return parts
    password = _password_of(user_name, passwords)
    expected = hmac.new(password, user_name + parts, hashlib.sha256).digest()
    if not hmac.compare_digest(digest, expected):
        raise PacketError("a wrong signature")
    return parts


def decrypt(packet: bytes, passwords: Mapping[str, bytes]) -> bytes:
    """Return the parts of an encrypted packet.

    Raises:
        PacketError: if the password is wrong, the user unknown or the packet cut short.
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
    key = hashlib.sha256(_password_of(user_name, passwords)).digest()
    decryptor = cipher(key, iv).decryptor()
    clear_text: bytes = decryptor.update(encrypted) + decryptor.finalize()
    checksum = clear_text[:CHECKSUM_BYTES]
    parts = clear_text[CHECKSUM_BYTES:]
    if hashlib.sha1(parts).digest() != checksum:
        raise PacketError("a wrong password, or spoilt bytes")
    return parts


def _password_of(user_name: bytes, passwords: Mapping[str, bytes]) -> bytes:
    password = passwords.get(user_name.decode("utf-8", "replace"))
    if password is None:
        raise PacketError("an unknown user")
    return password
