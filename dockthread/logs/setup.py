"""Sets up logging as text for people or as JSON lines for a log collector."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from dockthread.errors import SettingsError
from dockthread.logs.sink import LogSink

if TYPE_CHECKING:
    from dockthread.logs.options import LogOptions

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"
STREAMS = ("stderr", "stdout")


def set_up(level: str, options: LogOptions | None = None, **fields: str) -> None:
    """Replace all sinks by the one that the options name.

    `fields` are bound to every line; they appear in JSON lines but not in text lines.

    Raises:
        SettingsError: The level is unknown, or the target cannot be opened.
    """
    form, target = (options.form, options.target) if options else ("text", "stderr")
    logger.remove()
    logger.configure(extra=fields)
    try:
        sink = LogSink(_open_target(target))
        if form == "json":
            logger.add(lambda message: sink.write(f"{format_json(message.record)}\n"), level=level)
        else:
            logger.add(sink, level=level, format=LINE_FORMAT)
    except ValueError as error:
        raise SettingsError(
            str(error), key="DOCKTHREAD_LOG", text=f"DOCKTHREAD_LOG: {error}"
        ) from error
    except OSError as error:
        reason = f"cannot write {target}: {error.strerror}"
        raise SettingsError(reason, section="log", key="target") from error


def _open_target(target: str) -> TextIO:
    """Return the stream of a target; a file stays open until the process exits.

    Raises:
        OSError: The file cannot be opened.
    """
    if target in STREAMS:
        stream: TextIO | None = getattr(sys, target)
        # Python has no stream if its descriptor was closed before the process started.
        return stream or open(os.devnull, "w", encoding="utf-8")
    Path(target).parent.mkdir(parents=True, exist_ok=True)
    return open(target, "a", encoding="utf-8")


def format_json(record: Any) -> str:
    """Return a log record as one line of JSON.

    The line has the time, level, message, module and the bound fields. If the record has an
    exception, the line also has its type and text, and the file and line that raised it.
    """
    line: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **record["extra"],
    }
    exception = record["exception"]
    if exception is not None:
        line["exception"] = (
            f"{exception.type.__name__}: {exception.value}" if exception.type else ""
        )
        traceback = exception.traceback
        if traceback is not None:
            while traceback.tb_next is not None:
                traceback = traceback.tb_next
            line["at"] = f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
    return json.dumps(line, default=str)
