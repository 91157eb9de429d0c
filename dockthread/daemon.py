"""The daemon process: runs an ingress and its optional components, and reloads files at SIGHUP.

The optional components are the management server, telemetry, routes, membership in the fleet and a
subscription to the control plane. Modules that only these need are imported when they are first
used, so an ingress without them starts faster and uses less memory.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

from dockthread.admin.ingress_admin import IngressAdmin
from dockthread.clock import Clock
from dockthread.config.platform_settings import read_config, reread_config
from dockthread.errors import SettingsError
from dockthread.logs.failures import logged_failure
from dockthread.logs.setup import set_up
from dockthread.net.endpoint_list_codec import DiscoveryError
from dockthread.net.garbage_collection import tune_garbage_collector
from dockthread.net.ingress import Ingress

if TYPE_CHECKING:
    from dockthread.admin.server import ManagementServer
    from dockthread.config.ingress_config import IngressConfig
    from dockthread.config.ini_reader import OperatorConfig
    from dockthread.control_plane.ingress import IngressResourceApplier
    from dockthread.control_plane.options import ControlOptions
    from dockthread.maintenance.service import MaintenanceService
    from dockthread.raft.options import FleetOptions
    from dockthread.routes.layers import RouteLayers
    from dockthread.routes.options import RouteOptions
    from dockthread.telemetry.exporter import Exporter

# Exit codes.
OK = 0
CANNOT_LISTEN = 1
BAD_CONFIGURATION = 2


class Daemon:
    """One ingress and its optional components.

    Attributes:
        ingress: The ingress.
        admin: Executes the commands of the management endpoint.
        routes: The routes in effect; None until a route is configured or published.
        resource_applier: Applies resources from the control plane; None without a subscription.
    """

    def __init__(
        self,
        config: IngressConfig,
        operator_file: str | None,
        operator_config: OperatorConfig | None,
        trace: bool = False,
    ) -> None:
        """Create the ingress; no socket is opened before `run`.

        Args:
            config: The platform's configuration.
            operator_file: The path of the operator's file, if there is one.
            operator_config: The contents of that file.
            trace: Whether individual events are written to the log.

        Raises:
            SettingsError: A setting in the operator's file cannot be applied.
        """
        self._operator_file = operator_file
        self.ingress = Ingress(config, Clock())
        if trace:
            from dockthread.logs.trace import Tracer

            self.ingress.observe(Tracer())
        self.admin = IngressAdmin(self.ingress)
        self._management_server: ManagementServer | None = None
        self._exporter: Exporter | None = None
        self._maintenance: MaintenanceService | None = None
        self.resource_applier: IngressResourceApplier | None = None
        self._fleet_options: FleetOptions | None = None
        self._control_options: ControlOptions | None = None
        self.routes: RouteLayers | None = None
        self._file_routes: dict[str, RouteOptions] = {}
        self._reload_task: asyncio.Task[None] | None = None
        self._reload_requested = False
        if operator_config is not None:
            self._fleet_options = operator_config.section("fleet")
            self._control_options = operator_config.section("control")
            self._apply_telemetry(operator_config)
            self._apply_routes(operator_config)

    def detach(self, target: str) -> bool:
        """Drain a backend; return False if it is unknown."""
        return self.admin.detach(target)

    def attach(self, target: str) -> bool:
        """Let a detached backend serve again; return False if it is unknown."""
        return self.admin.attach(target)

    async def run(self) -> None:
        """Serve until `stop` is called, then close everything.

        Raises:
            SettingsError: A component configured in the operator's file cannot be started.
            OSError: An address cannot be bound.
        """
        tune_garbage_collector(self.ingress.config.memory_mb)
        self._open_management_server()
        await self._join_fleet()
        self.subscribe_to_control_plane()
        try:
            maintenance = self._maintenance
            await self.ingress.run(maintenance.wait_until_current if maintenance else None)
        finally:
            await self._close_components()

    async def _close_components(self) -> None:
        """Close the optional components; the failure of one is logged and stops no other."""
        if self.resource_applier is not None:
            with logged_failure("close the subscription to the control plane"):
                await self.resource_applier.close()
        if self._maintenance is not None:
            with logged_failure("leave the fleet"):
                await self._maintenance.close()
        if self._management_server is not None:
            with logged_failure("close the management endpoint"):
                self._management_server.close()
        if self._exporter is not None:
            with logged_failure("send the last telemetry report"):
                await self._exporter.shutdown()

    def stop(self) -> None:
        """Start the graceful shutdown.

        If this ingress leads the fleet, it first hands over leadership, because completing the
        requests in flight may take long.
        """
        if self._maintenance is not None:
            with logged_failure("hand over the leadership of the fleet"):
                self._maintenance.transfer_leadership()
        self.ingress.stop()

    def reload(self) -> None:
        """Reload both configuration files. If either is invalid, nothing changes.

        A call during a reload starts another reload after it.
        """
        self._reload_requested = True
        if self._reload_task is None or self._reload_task.done():
            self._reload_task = asyncio.get_running_loop().create_task(self._reload())

    def subscribe_to_control_plane(self) -> None:
        """Subscribe to the control plane, if the operator's file has a `[control]` section.

        Cached resources are applied first.

        Raises:
            SettingsError: The section is for another role, or its key cannot be used.
        """
        options = self._control_options
        if options is None or options.role is None:
            return
        if options.role != "ingress":
            raise SettingsError(
                f"is {options.role}, but this process is an ingress",
                file=self._operator_file or "",
                section="control",
                key="role",
                remedy="start it with `dockthread control serve`",
            )
        from dockthread.control_plane.ingress import IngressResourceApplier

        routes = self._installed_routes()
        try:
            self.resource_applier = IngressResourceApplier(self.ingress, routes, options)
        except ValueError as error:
            raise SettingsError(str(error)) from error
        self.resource_applier.open()

    def _open_management_server(self) -> None:
        if self.ingress.config.management is None:
            return
        from dockthread.admin.server import ManagementServer

        self._management_server = ManagementServer(self.admin, self.ingress.config.management)
        self._management_server.open()
        self.admin.follow_detached_backends()

    async def _join_fleet(self) -> None:
        """Join the fleet, if the operator's file has a `[fleet]` section.

        If the Raft storage is lost or corrupt, the ingress serves requests without joining.
        """
        if self._fleet_options is None or not self._fleet_options.listen:
            return
        from dockthread.maintenance.service import MaintenanceService
        from dockthread.raft.storage import RaftStorageError

        try:
            self._maintenance = MaintenanceService(self.ingress, self._fleet_options, self.stop)
            self.admin.fleet_handler = self._maintenance
            await self._maintenance.open()
        except RaftStorageError as error:
            self.admin.fleet_error = f"no part in the fleet: {error}"
            logger.error("{}", self.admin.fleet_error)
        except ValueError as error:
            raise SettingsError(str(error)) from error

    def _apply_telemetry(self, operator_config: OperatorConfig) -> None:
        """Apply the telemetry receivers of the file.

        Raises:
            SettingsError: The receivers cannot be applied; nothing has changed.
        """
        if self._exporter is None:
            if not (
                operator_config.named_sections("graphite")
                or operator_config.named_sections("collectd")
            ):
                return
            from dockthread.telemetry.exporter import Exporter

            self._exporter = Exporter(self.ingress)
        self._exporter.apply(operator_config)

    def _apply_routes(self, operator_config: OperatorConfig) -> None:
        routes = operator_config.named_sections("route")
        if routes:
            self._installed_routes()
        if self.routes is not None and routes != self._file_routes:
            self.routes.set_file_routes(routes, self.ingress.clock.now() / 1000.0)
            logger.info("routes: {}", ", ".join(routes) or "none")
        self._file_routes = routes

    def _installed_routes(self) -> RouteLayers:
        if self.routes is None:
            from dockthread.routes.layers import RouteLayers

            self.routes = RouteLayers.for_config(self.ingress.config)
            self.ingress.routes = self.routes.table
        return self.routes

    async def _reload(self) -> None:
        while self._reload_requested:
            self._reload_requested = False
            try:
                config = reread_config(os.environ)
                operator_config = await self._reread_operator_file(config)
                if operator_config is not None:
                    self._apply_telemetry(operator_config)
            except SettingsError as error:
                self.admin.reloads.rejected += 1
                logger.warning("reload rejected, old configuration stays in effect: {}", error)
                continue
            except Exception:  # noqa: BLE001 - a file that cannot be read must not end reloads
                self.admin.reloads.rejected += 1
                logger.exception("reload failed, old configuration stays in effect")
                continue
            self.admin.reloads.applied += 1
            self._apply_reloaded(config, operator_config)
            logger.info(
                "configuration read again: discovery at {}, counter at {}",
                config.discovery,
                config.counter,
            )

    async def _reread_operator_file(self, config: IngressConfig) -> OperatorConfig | None:
        """Read the operator's file, if there is one, and check it against the settings of `config`.

        Checking a thousand routes takes half a second, so it is done in a thread while the event
        loop continues to serve requests.
        """
        if self._operator_file is None:
            return None  # no file, so no thread is needed
        return await asyncio.to_thread(_load_operator_file, self._operator_file, config)

    def _apply_reloaded(
        self, config: IngressConfig, operator_config: OperatorConfig | None
    ) -> None:
        """Apply reloaded files: the request classes first, because routes may refer to them."""
        ingress = self.ingress
        settings_before = ingress.config.policy_settings
        names_before = ingress.config.names
        if self.resource_applier is not None:
            config = self.resource_applier.with_published_addresses(config)
        ingress.reload(config)
        settings = ingress.config.policy_settings
        names = ingress.config.names
        if self.routes is not None:
            self.routes.set_settings(settings, names)
        if operator_config is not None:
            self._apply_routes(operator_config)
        if self.resource_applier is not None and (settings, names) != (
            settings_before,
            names_before,
        ):
            self.resource_applier.on_settings_changed()
        if operator_config is not None:
            self._warn_restart_required(operator_config)

    def _warn_restart_required(self, operator_config: OperatorConfig) -> None:
        """Log a warning for each changed section that is read only at the start."""
        in_effect = {"fleet": self._fleet_options, "control": self._control_options}
        for name, options in in_effect.items():
            if operator_config.section(name) != options:
                logger.warning("[{}] has changed; this takes effect at the next start", name)


async def _run_daemon(
    config: IngressConfig,
    operator_file: str | None,
    operator_config: OperatorConfig | None,
    trace: bool,
    early_sighups: list[int],
) -> None:
    """Run a daemon until a signal stops it.

    `early_sighups` holds the SIGHUPs received before the daemon existed.
    """
    daemon = Daemon(config, operator_file, operator_config, trace)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)

    def on_sighup(*_: object) -> None:
        with suppress(RuntimeError):  # the loop may have been closed in the meantime
            loop.call_soon_threadsafe(daemon.reload)

    # This is not a signal handler of the loop, because closing the loop would restore the default
    # action, and SIGHUP would then kill the process.
    signal.signal(signal.SIGHUP, on_sighup)
    if early_sighups:  # the files may have been read before the signal arrived
        daemon.reload()
    await daemon.run()


def serve(operator_file: str | None = None) -> int:
    """Serve until a signal stops the process, and return its exit code.

    `operator_file` is the path of the operator's file; it takes precedence over
    `DOCKTHREAD_CONFIG`.
    """
    early_sighups: list[int] = []  # SIGHUPs received before the daemon has been created
    signal.signal(signal.SIGHUP, lambda number, _: early_sighups.append(number))
    try:
        config = read_config(os.environ)
        operator_file = operator_file or os.environ.get("DOCKTHREAD_CONFIG") or None
        operator_config = _load_operator_file(operator_file, config)
        is_tracing = _set_up_log(config, operator_config)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(
                _run_daemon(config, operator_file, operator_config, is_tracing, early_sighups)
            )
        # Ignore SIGHUP from here on: the interpreter's exit would restore the default action.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    except (SettingsError, DiscoveryError) as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"dockthread: cannot listen: {error}", file=sys.stderr)
        return CANNOT_LISTEN
    return OK


def _load_operator_file(operator_file: str | None, config: IngressConfig) -> OperatorConfig | None:
    """Read the operator's file, if there is one.

    Raises:
        SettingsError: The file has an error.
    """
    if operator_file is None:
        return None
    from dockthread.section_registry import load_operator_file

    return load_operator_file(operator_file, config.policy_settings, config.names)


def _set_up_log(config: IngressConfig, operator_config: OperatorConfig | None) -> bool:
    """Set up logging, and return whether the level is TRACE.

    Raises:
        SettingsError: The level is unknown, or the log file cannot be written.
    """
    options = operator_config.section("log") if operator_config is not None else None
    level = os.environ.get("DOCKTHREAD_LOG") or (options.level if options else "INFO")
    set_up(level.upper(), options, ingress=config.name)
    return bool(level.upper() == "TRACE")
