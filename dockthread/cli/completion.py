"""The command `dockthread completion`, which prints a shell's completion script."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print a shell's completion script, to be used as eval "$(dockthread completion bash)"."""
    completion_class = get_completion_class(shell)
    assert completion_class is not None, "click supports all three shells"
    root_command = ctx.find_root().command
    script = completion_class(root_command, {}, "dockthread", "_DOCKTHREAD_COMPLETE")
    click.echo(script.source())
