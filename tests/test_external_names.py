"""Names that other processes, files or operators see do not change when the code is renamed.

`data/external_names.txt` lists these names, one per line. Each one must be a string, tag, field,
class or command of the program, a key of the deploy file, or a shipped scenario. The list must
contain every key of the INI file, every command and option, and every metric of the catalogue.
"""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec

from dockthread.cli.main import cli
from dockthread.lab.maintenance.scenario import shipped_scenarios
from dockthread.section_registry import SECTION_KINDS
from dockthread.telemetry.catalogue import METRICS

ROOT = Path(__file__).parents[1]
NAMES = frozenset(
    line
    for line in (ROOT / "tests" / "data" / "external_names.txt").read_text().splitlines()
    if line and not line.startswith("#")
)
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def command_names(command: click.Command) -> Iterator[str]:
    """Yield the options of a command, and the names and options of all its subcommands."""
    for parameter in command.params:
        for option in (*parameter.opts, *parameter.secondary_opts):
            if option.startswith("-"):
                yield option
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            yield name
            subcommand = command.get_command(context, name)
            assert subcommand is not None
            yield from command_names(subcommand)


def docstrings(tree: ast.Module) -> set[ast.AST]:
    """Return the nodes of all docstrings of a module."""
    return {
        node.body[0].value
        for node in ast.walk(tree)
        if isinstance(node, DOCUMENTED)
        and node.body
        and isinstance(node.body[0], ast.Expr)
        and isinstance(node.body[0].value, ast.Constant)
    }


def names_in_source(text: str) -> Iterator[str]:
    """Yield all strings except docstrings, the words in them, and names of fields and classes."""
    tree = ast.parse(text)
    passed_over = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            if node not in passed_over:
                value = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
                yield value
                yield from re.findall(r"[\w.:-]*\w", value)
        elif isinstance(node, ast.AnnAssign):
            yield ast.unparse(node.target)
        elif isinstance(node, ast.ClassDef):
            yield node.name


def test_every_listed_name_is_still_in_the_program() -> None:
    found = set(command_names(cli)) | set(shipped_scenarios())
    found |= set(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text()))
    for path in (ROOT / "dockthread").rglob("*.py"):
        found |= set(names_in_source(path.read_text()))
    assert sorted(NAMES - found) == []


def test_the_list_holds_every_key_of_the_ini_file() -> None:
    keys = set(SECTION_KINDS)
    for kind in SECTION_KINDS.values():
        keys |= {field.encode_name for field in msgspec.structs.fields(kind.struct)}
    assert sorted(keys - NAMES) == []


def test_the_list_holds_every_command_and_option() -> None:
    assert sorted(set(command_names(cli)) - NAMES) == []


def test_the_list_holds_every_metric() -> None:
    assert sorted({metric.path for metric in METRICS} - NAMES) == []
