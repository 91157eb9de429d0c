"""The ingress: assembles its components, and runs them from start through draining to exit."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Awaitable, Callable
from dataclasses import replace

from loguru import logger

from dockthread import process_memory
from dockthread.admin import reload as settings_reload
from dockthread.clock import Clock
from dockthread.config.ingress_config import IngressConfig
from dockthread.net import resp
from dockthread.net.action_executor import ActionExecutor
from dockthread.net.backend_exchange import BackendExchange
from dockthread.net.block_pool import BlockPool
from dockthread.net.connection_pool import ConnectionPool, ConnectionPoolLimits
from dockthread.net.context import MAINTENANCE_INTERVAL_MS, IngressContext
from dockthread.net.descriptor_budget import DescriptorBudget
from dockthread.net.discovery_watch import DiscoveryWatch
from dockthread.net.endpoint_list import EndpointList, ExclusionReason
from dockthread.net.event_loop_lag import HEARTBEAT_INTERVAL_MS, EventLoopLagMonitor
from dockthread.net.gossip_transport import GossipTransport
from dockthread.net.ingress_settings import engine_settings, request_parser
from dockthread.net.lifecycle import Lifecycle, Phase
from dockthread.net.listener import Listener
from dockthread.net.memory import BACKEND_BYTES, MemoryBudget, listed_count
from dockthread.net.memory_guard import MemoryGuard
from dockthread.net.policy_host import PolicyHost
from dockthread.net.quota_counter import QuotaCounterClient
from dockthread.net.request import RouteLookup
from dockthread.net.request_ids import RequestIds
from dockthread.net.requests_in_flight import RequestLimits, RequestTable
from dockthread.net.response_queue import BufferedResponses
from dockthread.net.supervision import keep_running
from dockthread.net.timers import Timers
from dockthread.observer import IsolatedObserver, Observer, Traffic
from dockthread.policy import PolicyEngine, PolicySettings
from dockthread.process_memory import BYTES_PER_MB

# Time after the signal to stop during which the load balancer may still send new clients here.
LINGER_MS = 500.0
# Share of the client connections whose requests may wait for blocks.
WAITING_FOR_BLOCKS_SHARE = 1 / 8
MAX_CANCELLED_TIMERS = 1_000  # Timers kept although they may be cancelled; each is 0.3 KB.
FINAL_READ_MS = 20.0  # Time to read the requests that wait on the connections accepted last.


class Ingress:
    """One ingress: the policy engine, and the components that feed it events and run its actions.

    It is the `ConnectionHost` of its client connections. Times are in milliseconds on `clock`; the
    policy engine uses seconds.
    """

    def __init__(
        self, config: IngressConfig, clock: Clock, observer: Observer | None = None
    ) -> None:
        self.config = config
        self.clock = clock
        self.address = config.listen  # replaced by the bound address when it listens
        self.lifecycle = Lifecycle()
        self.traffic = Traffic()
        self.traffic.ensure_classes(len(config.names.classes))
        self.request_parser = request_parser(config)
        self.timers = Timers(clock, config.policy_settings.clock_tick * 1000.0)
        self.call_at = self.timers.call_at
        self.event_loop_lag = EventLoopLagMonitor(clock.now())
        self.endpoints = EndpointList(config.names, clock)
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        self._heartbeat_timer: asyncio.TimerHandle | None = None

        descriptors = min(config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        descriptor_budget = DescriptorBudget.of(descriptors)
        self.memory = MemoryBudget.of(
            config.memory_mb * BYTES_PER_MB,
            process_memory.resident_bytes() + listed_count(config.known_endpoints) * BACKEND_BYTES,
            descriptor_budget,
        )
        self.budget = self.memory.limited(descriptor_budget)
        settings = engine_settings(config, clock, self.memory.customers)
        self.engine = PolicyEngine(settings, config.seed, clock.now() / 1000.0)
        policy_host = PolicyHost(self.engine, clock, lambda number: self.requests.abandon(number))
        self.dispatch = policy_host.dispatch
        context = IngressContext(
            self.clock,
            self.timers,
            self.lifecycle,
            self.traffic,
            self.endpoints,
            self.event_loop_lag,
            self.dispatch,
        )
        self._assemble_request_path(context)
        self._assemble_remote_clients(settings)
        self._executor = ActionExecutor(
            context, self.requests, self.connection_pool, self.counter, self.peers
        )
        policy_host.action_handlers = self._executor.handlers()
        self.observe(observer or Observer())

    def _assemble_request_path(self, context: IngressContext) -> None:
        """Create the components between a client's command and a backend's reply."""
        config = self.config
        self.body_blocks = BlockPool(
            self.memory.blocks, int(self.budget.client * WAITING_FOR_BLOCKS_SHARE)
        )
        self.memory_guard = MemoryGuard(config.memory_mb * BYTES_PER_MB)
        self.buffered_responses = BufferedResponses(self.memory.buffered_response_bytes)
        exchange = BackendExchange(
            self.clock,
            self.traffic,
            resp.ReplyParser(config.policy_settings.load_report_fields),
            self.body_blocks,
            self.memory.relay_bytes,
        )
        self.connection_pool = ConnectionPool(
            context,
            exchange,
            ConnectionPoolLimits(
                self.budget.backend, config.connection_idle_ms, config.connect_timeout_ms
            ),
        )
        self.endpoints.on_moved = self.connection_pool.close_idle_to
        limits = RequestLimits(
            max_requests=min(config.max_open_requests, self.memory.requests),
            max_body_bytes=self.memory.body_bytes,
            max_retry_after_ms=config.policy_settings.max_retry_after * 1000.0,
        )
        is_shared = config.inherited_listener_fd is not None  # an upgrade runs two processes
        self.request_ids = (
            RequestIds.shared(self.clock, config.name)
            if is_shared
            else RequestIds.private(self.clock)
        )
        self.requests = RequestTable(context, self.connection_pool, limits, self.request_ids)
        self.connection_pool.on_ended = self.requests.on_attempt_ended
        exchange.responses = self.requests
        self.listener = Listener(self, self.budget, self.connection_pool)

    def _assemble_remote_clients(self, settings: PolicySettings) -> None:
        """Create the components that talk to discovery, the quota counter and other ingresses."""
        config = self.config
        self.watch = DiscoveryWatch(
            config.discovery,
            self.endpoints,
            self.clock,
            self.dispatch,
            config.policy_settings,
            config.seed,
        )
        self.counter = QuotaCounterClient(
            config.counter,
            self.clock,
            self.dispatch,
            self.call_at,
            timeout=config.counter_timeout_ms,
        )
        self.peers = GossipTransport(
            config.peers if settings.may_gossip else None,
            settings.ingress_number,
            self.dispatch,
            self.traffic,
        )

    # State

    @property
    def ready(self) -> bool:
        """Whether requests are served: the ingress listens and has an endpoint list."""
        return self.lifecycle.ready and self.watch.has_list

    @property
    def draining(self) -> bool:
        """Whether the ingress drains and accepts no new requests."""
        return self.lifecycle.draining

    @property
    def client_connection_count(self) -> int:
        """The number of open client connections."""
        return len(self.listener.connections)

    @property
    def unanswered(self) -> int:
        """The number of requests without a response."""
        return self.requests.unanswered

    @property
    def routes(self) -> RouteLookup | None:
        """The table that finds the route of a request; None if there are no routes."""
        return self.requests.routes

    @routes.setter
    def routes(self, routes: RouteLookup | None) -> None:
        """Replace the table of routes."""
        self.requests.routes = routes

    # Runtime changes

    def observe(self, observer: Observer) -> None:
        """Replace the observer that is notified of events; its exceptions are only logged."""
        if type(observer) is not Observer:
            observer = IsolatedObserver(observer, self.clock)
        self.observer = observer
        self.requests.observer = observer
        self._executor.observer = observer
        self.connection_pool.observer = observer
        self.counter.observer = observer
        self.watch.observer = observer
        self.lifecycle.on_phase_entered = observer.phase

    def set_drained(
        self, uid: str, drained: bool, reason: ExclusionReason = ExclusionReason.DETACHED
    ) -> bool:
        """Drain a backend for a reason, or end that reason; it serves again once none is left.

        The policy engine sees a change of the endpoint list. A backend that serves again is assumed
        to have been restarted, so it warms up. Returns False for an unknown backend.
        """
        event = self.endpoints.set_excluded(uid, drained, self.clock.now(), reason)
        if event is None:
            return False
        self.dispatch(event)
        return True

    def reload(self, config: IngressConfig) -> None:
        """Apply the settings that may change at runtime; see `dockthread.admin.reload`.

        These are the addresses of discovery and of the quota counter, the request classes and the
        maximum number of attempts. A request in flight keeps the class with which it arrived.
        """
        names = self.config.names
        merged_settings = settings_reload.merge_settings(
            self.engine.settings, names, config.policy_settings, config.names
        )
        self.engine.apply_settings(merged_settings.settings)
        settings = replace(
            self.config.policy_settings,
            classes=merged_settings.settings.classes,
            max_attempts=merged_settings.settings.max_attempts,
        )
        self.config = replace(
            self.config,
            discovery=config.discovery,
            counter=config.counter,
            policy_settings=settings,
            names=merged_settings.names,
        )
        self.request_parser = request_parser(self.config, merged_settings.offered_classes)
        class_count = len(merged_settings.names.classes)
        self.traffic.ensure_classes(class_count)
        self.observer.classes_added(class_count)
        self.watch.change_address(config.discovery)
        self.counter.change_address(config.counter)

    # Lifecycle

    def stop(self) -> None:
        """Begin the graceful shutdown; `run` returns when it is complete."""
        self._stop_requested.set()

    @property
    def is_stop_requested(self) -> bool:
        """Whether `stop` has been called."""
        return self._stop_requested.is_set()

    async def run(self, catch_up: Callable[[], Awaitable[None]] | None = None) -> None:
        """Serve until `stop` is called, then drain, answering every request in flight.

        `catch_up` is awaited before the ingress listens: a client that connects is served.
        """
        self._start()
        watch_task = self._loop.create_task(keep_running("watching discovery", self.watch.run))
        try:
            if catch_up is not None:
                await catch_up()
            await self._serve()
        finally:
            watch_task.cancel()
            self._close()
            self.lifecycle.enter(Phase.STOPPED)

    async def _serve(self) -> None:
        self.listener.listen(self.config.name)
        accept_task = self._loop.create_task(
            keep_running("accepting clients", self.listener.accept)
        )
        self.lifecycle.enter(Phase.SERVING)
        try:
            await self._stop_requested.wait()
            await self._linger(accept_task)
            await self._drain()
        finally:
            accept_task.cancel()

    def _start(self) -> None:
        config = self.config
        self.address = self.listener.bind(config.listen, config.inherited_listener_fd)
        logger.info("memory of {} MB: {}", config.memory_mb, self.memory)
        self.watch.start(config.known_endpoints, self.call_at)
        for name, plan in zip(config.names.plans, config.policy_settings.plans, strict=True):
            self.observer.event(
                "plan", name=name, rate=plan.rate, burst=plan.burst, ceiling=plan.ceiling_burst
            )
        self._run_periodic_maintenance()
        self._record_heartbeat()

    async def _linger(self, accept_task: asyncio.Task[None]) -> None:
        """Keep accepting clients for `LINGER_MS`, empty the accept queue, and stop listening."""
        self.lifecycle.enter(Phase.LINGERING)
        await self.timers.sleep(LINGER_MS)
        accept_task.cancel()
        self.listener.accept_remaining()
        await self.timers.sleep(FINAL_READ_MS)
        self.listener.accept_remaining()
        self.listener.close()

    async def _drain(self) -> None:
        """Accept no new requests, and wait until every client connection has closed."""
        self.lifecycle.enter(Phase.DRAINING)
        self.peers.close()  # during an upgrade the next process binds this address
        self.listener.end_all()
        self.call_at(self._drain_deadline_ms(), self._end_drain)
        await self.listener.wait_until_all_closed()

    def _drain_deadline_ms(self) -> float:
        """Return the time by which every request must have been answered and read by its client.

        A request keeps the deadline with which it arrived. The classes may have been changed since
        then, so their deadlines bound only the time in which clients read responses.
        """
        classes = self.config.policy_settings.classes
        reading_time_ms = max(request_class.deadline for request_class in classes) * 1000.0
        read_by_ms = self.clock.now() + reading_time_ms
        return max(read_by_ms, self.requests.latest_deadline_ms) + LINGER_MS

    def _end_drain(self) -> None:
        """Close the connections on which nothing is outstanding, and wait for the others."""
        connections = self.client_connection_count
        if not connections:
            return
        unanswered = self.requests.unanswered
        logger.bind(connections=connections, unanswered=unanswered).warning(
            "closing {} client connections at the end of the drain, {} requests unanswered",
            connections,
            unanswered,
        )
        self._close_unless_outstanding()

    def _close_unless_outstanding(self) -> None:
        """Close all connections but those with something outstanding, and try again later."""
        if not self.listener.close_all():
            next_ms = self.clock.now() + MAINTENANCE_INTERVAL_MS
            self.call_at(next_ms, self._close_unless_outstanding)

    def _close(self) -> None:
        self.listener.close()
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self.connection_pool.close()
        self.counter.close()
        self.peers.close()
        self.request_ids.close()

    def _record_heartbeat(self) -> None:
        self.event_loop_lag.record_heartbeat(self.clock.now())
        interval_s = HEARTBEAT_INTERVAL_MS / 1000.0
        self._heartbeat_timer = self._loop.call_later(interval_s, self._record_heartbeat)

    def _run_periodic_maintenance(self) -> None:
        now = self.clock.now()
        self.call_at(now + MAINTENANCE_INTERVAL_MS, self._run_periodic_maintenance)
        pending_timers = self.engine.timers.pending
        if len(self.timers) > 2 * len(pending_timers) + MAX_CANCELLED_TIMERS:
            self._executor.discard_cancelled_timers(pending_timers)
        self.memory_guard.check()
        self.body_blocks.pause(self.memory_guard.is_short)
        if self.memory_guard.is_short:
            self.listener.evict_idle()
        self.connection_pool.close_expired()
        self.connection_pool.end_stalled()
        self.endpoints.forget_expired()
        self.watch.enforce_timeouts()
        self.counter.enforce_timeouts()
        self.peers.open()
        self.requests.start_deadline_timers(now)
        self.listener.enforce_timeouts(now)
