"""The entry point of `python -m dockthread` and of the command `dockthread`.

Without arguments the daemon serves, as the platform starts it.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the daemon, or the command that the arguments name, and return the exit code."""
    if len(sys.argv) < 2:
        # The daemon does not load the command line, which would only slow its start.
        from dockthread.daemon import serve

        return serve()
    from dockthread.cli.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
