"""The settings in effect as text: every key of both files with its value and its source."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from dockthread.config.ini_reader import OperatorConfig
from dockthread.config.platform_settings import read_config
from dockthread.errors import SettingsError
from dockthread.section_registry import SECTION_KINDS


@dataclass(frozen=True, slots=True)
class PlatformSetting:
    """A setting of the ingress that the platform provides.

    Attributes:
        key: Name of the setting.
        value: Its value.
        variable: The environment variable that overrides the platform's JSON; empty if none does.
    """

    key: str
    value: object
    variable: str = ""


def operator_lines(operator_config: OperatorConfig, path: str | None) -> Iterator[str]:
    """Yield every section with all its keys, in the format of the operator's file.

    Args:
        operator_config: The parsed operator's file.
        path: Path of the file; None if there is no file, so that all keys have their defaults.
    """
    for kind in SECTION_KINDS:
        for name, section in operator_config.named_sections(kind).items():
            yield f"[{kind} {name}]" if name else f"[{kind}]"
            explicit_keys = operator_config.explicit_keys.get((kind, name), set())
            for field in msgspec.structs.fields(section):
                key = field.encode_name
                source = path if key in explicit_keys else "default"
                yield _operator_line(key, getattr(section, field.name), source)
            yield ""


def _operator_line(key: str, value: object, source: str | None) -> str:
    if value is None:
        return f"# {key} is not set  # {source}"
    return f"{key} = {_format_value(value)}  # {source}"


def _format_value(value: object) -> str:
    """Return a value in the syntax of the operator's file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(map(_format_value, value))
    return str(value)


def platform_lines() -> Iterator[str]:
    """Yield the ingress settings of the platform's JSON and the environment, as INI comments."""
    json_path = os.environ.get("NODE_CONFIG")
    if not json_path:
        yield "# NODE_CONFIG is not set: the platform's settings are unknown"
        return
    try:
        settings = _platform_settings()
    except SettingsError as error:
        yield f"# the platform's settings cannot be read: {error}"
        return
    yield "# the platform's settings"
    for setting in settings:
        is_overridden = bool(setting.variable and os.environ.get(setting.variable))
        source = setting.variable if is_overridden else json_path
        yield f"# {setting.key} = {setting.value}  # {source}"


def _platform_settings() -> list[PlatformSetting]:
    """Return the platform's settings; raise SettingsError if they cannot be read."""
    config = read_config(os.environ)
    return [
        PlatformSetting("name", config.name, "NODE_NAME"),
        PlatformSetting("listen", config.listen, "NODE_LISTEN"),
        PlatformSetting("discovery", config.discovery, "NODE_DISCOVERY"),
        PlatformSetting("counter", config.counter or "none"),
        PlatformSetting("memory_mb", f"{config.memory_mb:g}"),
        PlatformSetting("sockets", config.max_sockets),
    ]
