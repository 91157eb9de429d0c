"""The command `dockthread serve`, which runs one ingress."""

from __future__ import annotations

import click

from dockthread.cli.options import config_option


@click.command()
@config_option
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Serve as one ingress, until SIGTERM or SIGINT.

    SIGHUP reads both files again; where one is bad, all stays as it was. Exit codes: 0 ended as
    told, 1 cannot listen, 2 a bad configuration.
    """
    from dockthread.daemon import serve as run_daemon

    ctx.exit(run_daemon(file or ctx.obj))
