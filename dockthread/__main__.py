"""The entry point of `python -m dockthread` and of the command `dockthread`.

Without arguments it runs the daemon; this is how the platform starts it.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the daemon, or the command that the arguments name, and return the exit code."""
    if len(sys.argv) < 2:
        # The command-line modules are not imported here, because the daemon does not need them
        # and would start more slowly.
        from dockthread.tls_stub import install_tls_stub

        install_tls_stub()
        from dockthread.daemon import serve

        return serve()
    from dockthread.cli.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
