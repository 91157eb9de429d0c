"""Keeps OpenSSL out of a process that never speaks TLS, which saves it 4.4 MB of memory.

asyncio and uvloop import `ssl` when they are imported, but use it only for TLS connections. The
stub has the names that they read at import. It must be installed before either is imported.
"""

from __future__ import annotations

import sys
from types import ModuleType


class SSLError(OSError):
    """Base class of TLS errors; never raised."""


class SSLContext:
    """A TLS configuration; never created."""


class MemoryBIO:
    """A TLS buffer; never created."""


def _unavailable(*_arguments: object, **_options: object) -> SSLContext:
    raise SSLError("this process was started without TLS")


def install_tls_stub() -> None:
    """Replace the module `ssl`, unless it has already been imported."""
    if "ssl" in sys.modules:
        return
    module = ModuleType("ssl", "A stub: this process was started without TLS.")
    error_names = (
        "SSLZeroReturnError",
        "SSLWantReadError",
        "SSLWantWriteError",
        "SSLSyscallError",
        "SSLEOFError",
        "CertificateError",
    )
    for name in error_names:
        setattr(module, name, type(name, (SSLError,), {}))
    constants = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}
    for name, value in constants.items():
        setattr(module, name, value)
    module.__dict__.update(
        SSLError=SSLError,
        SSLContext=SSLContext,
        MemoryBIO=MemoryBIO,
        create_default_context=_unavailable,
    )
    sys.modules["ssl"] = module
