"""Sets the log up: text for a person, or JSON lines for a collector, with the same fields bound in
both.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from dockthread.errors import SettingsError

if TYPE_CHECKING:
    from dockthread.logs.options import LogOptions

LINE = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"
STREAMS = ("stderr", "stdout")


def set_up(level: str, options: LogOptions | None = None, **fields: str) -> None:
    """Replace every sink by the one that the options name. `fields` are bound to every line; text
    lines show them only where a line binds more of its own. Raises SettingsError for a level or a
    target that is none.
    """
    form, target = (options.form, options.target) if options else ("text", "stderr")
    sink: Any = target if target not in STREAMS else getattr(sys, target)
    logger.remove()
    logger.configure(extra=fields)
    try:
        if form == "json":
            stream: TextIO = sink if target in STREAMS else open(target, "a", buffering=1)  # noqa: SIM115
            logger.add(
                lambda message: print(as_json(message.record), file=stream, flush=True), level=level
            )
        else:
            logger.add(sink, level=level, format=LINE)
    except ValueError as error:
        raise SettingsError(
            str(error), key="DOCKTHREAD_LOG", text=f"DOCKTHREAD_LOG: {error}"
        ) from error
    except OSError as error:
        reason = f"cannot write {target}: {error.strerror}"
        raise SettingsError(reason, section="log", key="target") from error


def as_json(record: Any) -> str:
    """One record as a line: time, level, message, the fields bound, and a fault's kind and
    place.
    """
    said: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **record["extra"],
    }
    if (fault := record["exception"]) is not None:
        said["exception"] = f"{fault.type.__name__}: {fault.value}" if fault.type else ""
        if (place := fault.traceback) is not None:
            while place.tb_next is not None:
                place = place.tb_next
            said["at"] = f"{place.tb_frame.f_code.co_filename}:{place.tb_lineno}"
    return json.dumps(said, default=str)
