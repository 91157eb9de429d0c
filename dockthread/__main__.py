"""`python -m dockthread` and the command `dockthread`. Without a word it serves, as the platform
starts it.
"""

from __future__ import annotations

import sys


def main() -> int:
    """The exit code of the daemon, or of the command that is named."""
    if len(sys.argv) < 2:  # the daemon does not pay for the command line
        from dockthread.daemon import serve

        return serve()
    from dockthread.cli.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
