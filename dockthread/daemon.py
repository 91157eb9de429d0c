"""The daemon: one ingress from its configuration, with the operator's file where there is one.

What only an operator's file asks for is imported only where there is such a file.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

from dockthread.admin.prometheus import MetricsSnapshot, render_metrics
from dockthread.clock import Clock
from dockthread.config.ingress_config import IngressConfig
from dockthread.config.platform_settings import read_config, reread_config
from dockthread.errors import SettingsError
from dockthread.logs.setup import set_up
from dockthread.net.endpoint_list_codec import DiscoveryError
from dockthread.net.ingress import Ingress

if TYPE_CHECKING:
    from dockthread.admin import commands
    from dockthread.config.ini_reader import OperatorConfig
    from dockthread.control_plane.ingress import IngressResourceApplier
    from dockthread.control_plane.options import ControlOptions
    from dockthread.maintenance.service import MaintenanceService
    from dockthread.routes.layers import Layers
    from dockthread.telemetry.exporter import Exporter

OK, CANNOT_LISTEN, BAD_CONFIGURATION = 0, 1, 2  # exit codes
# in $TMPDIR: the backends left out by hand, for the next process
HELD_FILE = "dockthread-held.json"


def _read_held(path: Path) -> list[str]:
    """What the process before left out by hand; nothing where it left no file, or a broken one."""
    try:
        held = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return []
    return [uid for uid in held if isinstance(uid, str)] if isinstance(held, list) else []


class Daemon:
    """One ingress and what runs beside it. `file`: the operator's, or None."""

    def __init__(
        self,
        config: IngressConfig,
        file: str | None,
        read: OperatorConfig | None,
        trace: bool = False,
    ) -> None:
        self._file = file
        self.ingress = Ingress(config, Clock())
        if trace:
            from dockthread.logs.trace import Tracer

            self.ingress.observe(Tracer())
        self._exporter: Exporter | None = None
        self._no_part = ""
        self._work: MaintenanceService | None = None  # only where the INI file has [fleet]
        self._fleet = read.named_sections("fleet")[""] if read is not None else None
        self._control: ControlOptions | None = (
            read.named_sections("control")[""] if read is not None else None
        )
        # what receives configuration, where the operator's file has it
        self._controlled: IngressResourceApplier | None = None
        self._routes: Layers | None = None
        self._applied: dict[str, object] = {}
        self._reloading: asyncio.Task[None] | None = None
        self._asked_again = False
        self.applied = self.rejected = 0  # files read again at SIGHUP
        self._held_file = Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / HELD_FILE
        self.ingress.endpoints.excluded_uids.update(_read_held(self._held_file))
        if read is not None:
            self._apply(read)

    # What the management door asks (ops/management.py)

    @property
    def ready(self) -> bool:
        return self.ingress.ready

    def figures(self) -> bytes:
        ingress = self.ingress
        return render_metrics(
            MetricsSnapshot(
                classes=ingress.config.names.classes,
                outcomes=ingress.traffic.outcomes,
                tries=ingress.traffic.attempts_sent,
                active=ingress.unanswered,
                pool_size=ingress.endpoints.listed_count,
                pool_ejected=ingress.endpoints.excluded_count,
                config_applied=self.applied,
                config_rejected=self.rejected,
            )
        )

    def detach(self, target: str) -> bool:
        return self._hold(target, True)

    def attach(self, target: str) -> bool:
        return self._hold(target, False)

    def _hold(self, target: str, held: bool) -> bool:
        if not self.ingress.set_drained(target, held):
            return False
        # For the process that takes over at an upgrade: it starts with what is held here.
        try:
            passing = self._held_file.with_suffix(".new")
            passing.write_text(json.dumps(sorted(self.ingress.endpoints.excluded_uids)))
            os.replace(passing, self._held_file)
        except OSError as error:
            logger.warning(
                "cannot keep the backends held by hand in {}: {}", self._held_file, error
            )
        logger.info("backend {} {} by hand", target, "detached" if held else "attached")
        return True

    async def fleet(self, command: commands.Command) -> commands.Response:
        from dockthread.admin import commands

        if self._work is None:
            if self._no_part:
                return commands.Response(503, f"{self._no_part}\n".encode())
            return commands.Response(404, b"no such call\n")
        return await self._work.answer(command)

    def _apply(self, read: OperatorConfig) -> None:
        """Raises SettingsError, and then nothing has changed."""
        self._apply_telemetry(read)
        self._apply_routes(read)

    def _apply_routes(self, read: OperatorConfig) -> None:
        routes, ingress = read.named_sections("route"), self.ingress
        if self._routes is None and routes:
            self._routes = self._layers()
        if self._routes is not None and routes != self._applied:
            self._routes.set_file(routes, ingress.clock.now() / 1000.0)
            logger.info("routes: {}", ", ".join(routes) or "none")
        self._applied = routes

    def _layers(self) -> Layers:
        from dockthread.routes.layers import Layers
        from dockthread.routes.table import Table

        config = self.ingress.config
        table = self.ingress.routes = Table(config.names, config.policy_settings.zone, config.seed)
        return Layers(table, config.policy_settings, config.names)

    def _receive(self) -> None:
        """Configuration, where [control] names servers: first what the cache holds. Raises
        SettingsError.
        """
        options = self._control
        if options is None or options.role is None:
            return
        if options.role != "ingress":
            wrong = f"{self._file}: [control] role: is {options.role}, and this is an ingress"
            raise SettingsError(f"{wrong}; `dockthread control serve` runs it")
        from dockthread.control_plane.ingress import IngressResourceApplier

        self._routes = self._routes or self._layers()
        try:
            self._controlled = IngressResourceApplier(self.ingress, self._routes, options)
        except ValueError as error:
            raise SettingsError(str(error)) from error
        self._controlled.open()

    def _apply_telemetry(self, read: OperatorConfig) -> None:
        if self._exporter is None and not (
            read.named_sections("graphite") or read.named_sections("collectd")
        ):
            return
        if self._exporter is None:
            from dockthread.telemetry.exporter import Exporter

            self._exporter = Exporter(self.ingress)
        self._exporter.apply(read)

    def stop(self) -> None:
        """End gently; where it leads the fleet, another takes over first, as the last answers may
        take long.
        """
        if self._work is not None:
            self._work.leave()
        self.ingress.stop()

    async def run(self) -> None:
        gc.collect()
        gc.freeze()  # what stands now stands for good: no collection need look at it again
        # requests leave no cycles behind, so the rest need be looked at seldom
        gc.set_threshold(20_000)
        opened = None
        if self.ingress.config.management is not None:
            from dockthread.admin.server import ManagementServer

            opened = ManagementServer(self, self.ingress.config.management)
            opened.open()
        if self._fleet is not None and self._fleet.listen:
            from dockthread.maintenance.service import MaintenanceService
            from dockthread.raft.storage import RaftStorageError

            try:
                self._work = MaintenanceService(self.ingress, self._fleet, self.stop)
                await self._work.open()
            except RaftStorageError as error:  # requests are served all the same
                self._no_part = f"no part in the fleet: {error}"
                logger.error("{}", self._no_part)
            except ValueError as error:
                raise SettingsError(str(error)) from error
        self._receive()
        try:
            await self.ingress.run()
        finally:
            if self._controlled is not None:
                await self._controlled.close()
            if self._work is not None:
                await self._work.close()
            if opened is not None:
                opened.close()
            if self._exporter is not None:
                await self._exporter.farewell()

    def reload(self) -> None:
        """SIGHUP: read both files again. Where either is bad, nothing changes. One that comes while
        files are being read has them read once more.
        """
        self._asked_again = True
        if self._reloading is None or self._reloading.done():
            self._reloading = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        """A thousand routes take half a second to prove: that is done in a thread, and answers go
        on.
        """
        while self._asked_again:
            self._asked_again = False
            try:
                config, read = reread_config(os.environ), None
                if self._file is not None:
                    from dockthread.config.section_registry import load_operator_file

                    read = await asyncio.to_thread(
                        load_operator_file, self._file, config.policy_settings, config.names
                    )
                    self._apply_telemetry(read)
            except SettingsError as error:
                self.rejected += 1
                logger.warning("the old configuration stays: {}", error)
                continue
            self.applied += 1
            self._take_over(config, read)
            logger.info(
                "configuration read again: discovery at {}, counter at {}",
                config.discovery,
                config.counter,
            )

    def _take_over(self, config: IngressConfig, read: OperatorConfig | None) -> None:
        """First the classes, which routes may name."""
        ingress = self.ingress
        before = ingress.config.policy_settings, ingress.config.names
        if self._controlled is not None:
            config = self._controlled.with_published_addresses(config)
        ingress.reload(config)
        if self._routes is not None:
            self._routes.set_settings(ingress.config.policy_settings, ingress.config.names)
        if read is not None:
            self._apply_routes(read)
        if (
            self._controlled is not None
            and (ingress.config.policy_settings, ingress.config.names) != before
        ):
            self._controlled.on_settings_changed()
        if read is not None:
            for section, held in (("fleet", self._fleet), ("control", self._control)):
                if read.named_sections(section)[""] != held:
                    logger.warning("[{}] has changed: it holds from the next start on", section)


async def _serve(
    config: IngressConfig,
    file: str | None,
    read: OperatorConfig | None,
    trace: bool,
    early: list[int],
) -> None:
    daemon = Daemon(config, file, read, trace)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)

    def hung_up(*_: object) -> None:
        with suppress(RuntimeError):  # the loop may have ended just now
            loop.call_soon_threadsafe(daemon.reload)

    # Not by the loop, whose end would give the signal its default back, and that is to kill.
    signal.signal(signal.SIGHUP, hung_up)
    if early:  # the files may have been read before it came
        daemon.reload()
    await daemon.run()


def serve(file: str | None = None) -> int:
    """Serve until told to stop; the exit code. `file`: the operator's, before
    `DOCKTHREAD_CONFIG`.
    """
    early = list[int]()  # one that comes before there is an ingress is heeded once there is
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        config = read_config(os.environ)
        file = file or os.environ.get("DOCKTHREAD_CONFIG") or None
        read = None
        if file is not None:
            from dockthread.config.section_registry import load_operator_file

            read = load_operator_file(file, config.policy_settings, config.names)
        log = read.section("log") if read else None
        level = os.environ.get("DOCKTHREAD_LOG") or (log.level if log else "INFO")
        set_up(level.upper(), log, ingress=config.name)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, file, read, level.upper() == "TRACE", early))
        # the interpreter's end, too, gives defaults back
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    except (SettingsError, DiscoveryError) as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"dockthread: cannot listen: {error}", file=sys.stderr)
        return CANNOT_LISTEN
    return OK
