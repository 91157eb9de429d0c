"""Packages import only packages of lower layers, and no modules import each other in a cycle.

Imports inside functions and for type checking count as well, since they are dependencies that a
reader has to know.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
# Packages by layer, the lowest first. A package may import only packages of lower layers.
LAYERS: tuple[frozenset[str], ...] = tuple(
    frozenset(names.split())
    for names in (
        "clock errors process_memory tls_stub",
        "framing",
        "policy",
        "observer config",
        "admin raft logs",
        "net",
        "routes telemetry",
        "maintenance control_plane",
        "section_registry",
        "simulator_wire",
        "daemon control_plane_daemon simulator_adapter",
        "lab",
        "cli",
        "__main__",
    )
)


def module_name(path: Path) -> str:
    """Return the full name of the module in a file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in sorted((ROOT / "dockthread").rglob("*.py"))}


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the modules of this program that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in MODULES)
        elif isinstance(node, ast.ImportFrom) and (node.module or "") in MODULES:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                yield submodule if submodule in MODULES else str(node.module)


def package(module: str) -> str:
    """Return the package or top-level module that contains a module; empty for the root."""
    return module.split(".")[1] if "." in module else ""


def layer(module: str) -> int:
    """Return the number of the layer of a module; 0 is the lowest."""
    return next(number for number, names in enumerate(LAYERS) if package(module) in names)


def cycle_through(start: str, imports: dict[str, set[str]]) -> list[str]:
    """Return the modules of an import cycle that begins at `start`; empty if there is none."""
    paths = [[start]]
    visited: set[str] = set()
    while paths:
        path = paths.pop()
        for module in sorted(imports[path[-1]]):
            if module == start:
                return [*path, start]
            if module not in visited:
                visited.add(module)
                paths.append([*path, module])
    return []


def test_every_package_has_a_layer() -> None:
    assert {package(module) for module in MODULES} - {""} == set().union(*LAYERS)


@pytest.mark.parametrize("module", [module for module in MODULES if "." in module])
def test_a_module_imports_only_its_own_package_and_lower_layers(module: str) -> None:
    upward = {
        imported
        for imported in imported_modules(MODULES[module])
        if package(imported)
        and package(imported) != package(module)
        and layer(imported) >= layer(module)
    }
    assert not upward


def test_no_modules_import_each_other_in_a_cycle() -> None:
    imports = {module: set(imported_modules(path)) - {module} for module, path in MODULES.items()}
    cycles = [cycle for module in MODULES if (cycle := cycle_through(module, imports))]
    assert not cycles
