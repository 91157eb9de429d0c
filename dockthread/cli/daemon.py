"""The command `dockthread serve`, which runs one ingress."""

from __future__ import annotations

import click

from dockthread.cli.options import config_option


@click.command()
@config_option
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Run one ingress until SIGTERM or SIGINT.

    SIGHUP reloads both configuration files; if either is invalid, neither takes effect. Exit codes:
    0 stopped by a signal, 1 cannot listen, 2 invalid configuration.
    """
    from dockthread.daemon import serve as run_daemon

    ctx.exit(run_daemon(file or ctx.obj))
