"""`dockthread serve`."""

from __future__ import annotations

import click


@click.command()
@click.option(
    "--config", "file", metavar="FILE", help="The operator's file, before DOCKTHREAD_CONFIG."
)
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Serve as one ingress, until SIGTERM or SIGINT.

    SIGHUP reads both files again; where one is bad, all stays as it was. Exit codes: 0 ended as
    told, 1 cannot listen, 2 a bad configuration.
    """
    from dockthread.daemon import serve as run

    ctx.exit(run(file or ctx.obj))
