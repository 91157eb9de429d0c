"""The ingress: owns the one decision module, tells it what happens, carries out what it decides."""

from __future__ import annotations

import asyncio
import resource
from dataclasses import replace

from loguru import logger

from dockthread.admin import reload
from dockthread.clock import Clock
from dockthread.config.ingress_config import IngressConfig
from dockthread.net import resp
from dockthread.net.client_connection import ClientConnection, ResponseSlot
from dockthread.net.connection_pool import Attempt, ConnectionPool
from dockthread.net.discovery_watch import DiscoveryWatch
from dockthread.net.endpoint_list import EndpointList
from dockthread.net.event_loop_lag import HEARTBEAT_INTERVAL_MS, EventLoopLagMonitor
from dockthread.net.gossip_transport import GossipTransport
from dockthread.net.lifecycle import Lifecycle, Phase
from dockthread.net.listener import DescriptorBudget, Listener
from dockthread.net.policy_host import PolicyHost
from dockthread.net.quota_counter import QuotaCounterClient
from dockthread.net.request import Request, RouteLookup
from dockthread.net.timers import Timers
from dockthread.observer import FAILED, REJECTED, SERVED, Observer, Traffic
from dockthread.policy import (
    AddToCounter,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    Fail,
    Outcome,
    PolicyEngine,
    PollEndpoints,
    Reject,
    RequestArrived,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
)

MAINTENANCE_INTERVAL_MS = 250.0  # between rounds of it
GUARDED = (
    2 * MAINTENANCE_INTERVAL_MS
)  # time left from which a request's deadline has a timer of its own
LINGER = 500.0  # after SIGTERM, in which the front still sends
LAST_READS = 20.0  # for what has reached the last accepted connections to be read
# of a request's time: where no more can be left, it is refused at once, unsent and so harmless
LATE_PART = 0.1
WAY_BACK = 5.0  # of a request's time: its way here, the answer's back, and the lateness of an alarm
HELD_PART = 1 / 8  # of the memory, for requests' bodies


class Ingress:
    def __init__(
        self, config: IngressConfig, clock: Clock, observer: Observer | None = None
    ) -> None:
        self.config, self.clock, self.lifecycle = config, clock, Lifecycle()
        self.observer, self.traffic = observer or Observer(), Traffic()
        self.traffic.ensure_classes(len(config.names.classes))
        self._loop = asyncio.get_running_loop()
        module = config.policy_settings
        self.request_parser = resp.RequestParser(
            config.names, module.classes, module.ingress_count, config.max_request_units
        )
        # Without a counter there is none to call, and without addresses nobody to tell, whatever is
        # allowed.
        counts = module.may_use_counter and config.counter is not None
        tells = module.may_gossip and config.peers is not None
        module = replace(
            module,
            may_use_counter=counts,
            may_gossip=tells,
            clock_offset=clock.unix_offset / 1000.0,
        )
        self.engine = PolicyEngine(module, config.seed, clock.now() / 1000.0)
        self._policy_host = PolicyHost(self.engine, clock, self._abandon)
        self.dispatch = self._policy_host.dispatch
        self.timers = Timers(clock, config.policy_settings.clock_tick * 1000.0)
        self.call_at = self.timers.call_at
        self._advice = config.policy_settings.max_retry_after * 1000.0
        self.requests: dict[int, Request] = {}
        self._numbers = 0
        self._open_ids: set[bytes] = set()
        self._held = 0
        self._most_held = int(config.memory_mb * HELD_PART * 1024 * 1024)
        self.address = config.listen
        self._stop = asyncio.Event()
        self._beating: asyncio.TimerHandle | None = None
        self.event_loop_lag = EventLoopLagMonitor(clock.now())
        self.budget = DescriptorBudget.of(
            min(config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        )
        self.endpoints = EndpointList(config.names, clock)
        self.connection_pool = ConnectionPool(
            self.endpoints,
            clock,
            resp.ReplyParser(config.policy_settings.load_report_fields),
            self._call_ended,
            self.call_at,
            most=self.budget.backend,
            conn_idle=config.connection_idle_ms,
            connect_timeout=config.connect_timeout_ms,
            traffic=self.traffic,
        )
        self.endpoints.on_moved = self.connection_pool.close_idle_to
        self.listener = Listener(self, self.budget, self.connection_pool)
        self.watch = DiscoveryWatch(
            config.discovery,
            self.endpoints,
            clock,
            self.dispatch,
            config.policy_settings,
            config.seed,
        )
        self.counter = QuotaCounterClient(
            config.counter, clock, self.dispatch, self.call_at, timeout=config.counter_timeout_ms
        )
        self.peers = GossipTransport(
            config.peers if tells else None, module.ingress_number, self.dispatch, self.traffic
        )
        self.observe(self.observer)
        self.routes: RouteLookup | None = None
        self._policy_host.action_handlers = {
            SendAttempt: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._set_timer,
            AddToCounter: lambda action: self.counter.add(
                action.name, action.amount, action.lifetime * 1000.0
            ),
            SendGossip: self.peers.send,
            PollEndpoints: lambda action: None,  # the watch stands anyway
        }

    # Its life

    @property
    def ready(self) -> bool:
        return self.lifecycle.ready and self.watch.has_list

    @property
    def draining(self) -> bool:
        return self.lifecycle.draining

    @property
    def client_connections(self) -> int:
        """Inbound connections that stand."""
        return len(self.listener.connections)

    @property
    def body_bytes(self) -> int:
        """Bytes that the bodies of open requests hold."""
        return self._held

    def on_connection_closed(self, connection: ClientConnection) -> None:
        self.listener.on_closed(connection)

    def observe(self, observer: Observer) -> None:
        """Have another observer told from now on."""
        self.observer = self.counter.observer = self.connection_pool.observer = (
            self.watch.observer
        ) = observer
        self.lifecycle.on_phase_entered = observer.phase

    def stop(self) -> None:
        self._stop.set()

    @property
    def unanswered(self) -> int:
        """Requests taken and not answered yet."""
        return sum(not request.finished for request in self.requests.values())

    def set_drained(self, uid: str, held: bool) -> bool:
        """Leave a backend out by hand, under the rule on drains, or let it serve again, cold; the
        module hears it as a change of the list. False where no such backend is known.
        """
        listed = self.endpoints.set_excluded(uid, held, self.clock.now())
        if listed is None:
            return False
        self.dispatch(listed)
        return True

    def reload(self, config: IngressConfig) -> None:
        """Take over what may change under load: the addresses of discovery and of the counter, the
        classes and the attempts allowed (dockthread/admin/reload.py). A request in flight keeps the
        class it came with.
        """
        merged = reload.merge_settings(
            self.engine.s, self.config.names, config.policy_settings, config.names
        )
        reload.retune(self.engine, merged.settings)
        settings = merged.settings
        module = replace(
            self.config.policy_settings,
            classes=settings.classes,
            max_attempts=settings.max_attempts,
        )
        self.config = replace(
            self.config,
            discovery=config.discovery,
            counter=config.counter,
            policy_settings=module,
            names=merged.names,
        )
        self.request_parser = resp.RequestParser(
            merged.names,
            module.classes,
            module.ingress_count,
            self.config.max_request_units,
            merged.offered,
        )
        self.traffic.ensure_classes(len(merged.names.classes))
        self.watch.change_address(config.discovery)
        self.counter.change_address(config.counter)

    async def run(self) -> None:
        """Serve until told to stop, then answer all that was taken."""
        listener = self.listener
        self.address = listener.listen(
            self.config.name, self.config.listen, self.config.inherited_listener_fd
        )
        self.watch.start(self.config.known_endpoints, self.call_at)
        for name, plan in zip(
            self.config.names.plans, self.config.policy_settings.plans, strict=True
        ):
            self.observer.event(
                "plan", name=name, rate=plan.rate, burst=plan.burst, ceiling=plan.ceiling_burst
            )
        self._run_periodic_maintenance()
        self._beat()
        watching = self._loop.create_task(self.watch.run())
        accepting = self._loop.create_task(listener.accept())
        self.lifecycle.enter(Phase.SERVING)
        try:
            await self._stop.wait()
            self.lifecycle.enter(Phase.LINGERING)
            await self._pause(LINGER)
            accepting.cancel()
            listener.empty_backlog()
            await self._pause(LAST_READS)
            listener.empty_backlog()
            listener.socket.close()
            self.lifecycle.enter(Phase.DRAINING)
            # nothing new is let in; at an upgrade the next process takes the address
            self.peers.close()
            for connection in list(self.listener.connections):
                connection.end_gracefully()
            # By then all is answered; what still stands is a client that does not read.
            longest = max(c.deadline for c in self.config.policy_settings.classes) * 1000.0
            self.call_at(self.clock.now() + longest + LINGER, listener.close_all)
            await listener.empty()
        finally:
            watching.cancel()
            accepting.cancel()
            listener.socket.close()
            if self._beating is not None:
                self._beating.cancel()
            self.connection_pool.close()
            self.counter.close()
            self.peers.close()
            self.lifecycle.enter(Phase.STOPPED)

    def _beat(self) -> None:
        self.event_loop_lag.record_heartbeat(self.clock.now())
        self._beating = self._loop.call_later(HEARTBEAT_INTERVAL_MS / 1000.0, self._beat)

    def _run_periodic_maintenance(self) -> None:
        now = self.clock.now()
        self.call_at(now + MAINTENANCE_INTERVAL_MS, self._run_periodic_maintenance)
        self.connection_pool.close_expired()
        self.endpoints.forget_expired()
        self.watch.enforce_timeouts()
        self.counter.enforce_timeouts()
        self.peers.open()
        # Few requests live that long: a timer for each from its start cost a wake-up for nothing.
        for request in self.requests.values():
            if request.deadline_ms <= now + GUARDED and not request.has_deadline_timer:
                self._guard(request)
        for connection in list(self.listener.connections):
            connection.enforce_timeouts(now)
        self.listener.close_idle(now)

    async def _pause(self, ms: float) -> None:
        over = self._loop.create_future()
        self.call_at(self.clock.now() + ms, over.set_result, None)
        await over

    # What happens, told to the module

    def _abandon(self, number: int) -> None:
        """After a fault: a final answer that is true whatever has run, and no more calls for the
        request.
        """
        request = self.requests.get(number)
        if request is None or request.finished:
            return
        self._answer(request, resp.FAILED, FAILED, "fault")
        for call in request.attempts:
            self.connection_pool.end(call, Outcome.CANCELLED)
        self.dispatch(ClientDisconnected(number))

    def accept(self, connection: ClientConnection, ask: resp.RequestCommand) -> ResponseSlot:
        held = self._held + ask.body_bytes
        if (
            len(self.requests) >= self.config.max_open_requests
            or held > self._most_held
            or self.draining
        ):
            reason = (
                "draining" if self.draining else "bodies" if held > self._most_held else "crowded"
            )
            return self.respond_without_policy(ask, reason, resp.encode_busy(self._advice))
        # The client counts from when it sent. The module answers two ticks before the end, and its
        # timer may
        # ring a tick late: without this some answers came after the client had given up.
        now = self.clock.now()
        late = self.event_loop_lag.lag_ms(connection.earliest_arrival_ms, now)
        left = ask.time_left_ms - min(WAY_BACK, ask.time_left_ms / 10.0) - late
        if late and left < ask.time_left_ms * LATE_PART:
            return self.respond_without_policy(ask, "late", resp.encode_busy(self._advice))
        self._numbers += 1
        route = self.routes.bounds(ask) if self.routes is not None else None
        if route is not None and route.timeout:
            left = min(left, route.timeout)
        request = Request(self._numbers, connection, ask, now + left, left)
        self.requests[request.number] = request
        self._open_ids.add(ask.wire_id)
        self._held = held
        if left <= GUARDED:
            self._guard(request)
        self.dispatch(
            RequestArrived(
                request.number,
                ask.request_class,
                ask.plan,
                ask.customer,
                left / 1000.0,
                ask.units,
                ask.spread,
                ask.first,
                route,
            )
        )
        return request

    def respond_without_policy(
        self, ask: resp.RequestCommand, reason: str, answer: bytes
    ) -> ResponseSlot:
        """The answer to a request that the module never hears of: there is no room for it, or it is
        open.
        """
        outcome = REJECTED if answer.startswith(resp.BUSY[:5]) else FAILED
        self.traffic.outcomes[outcome][ask.request_class] += 1
        self.observer.request_completed(
            ask.request_class, ask.plan, ask.customer, outcome, reason, 0.0, ask.units, False
        )
        return ResponseSlot(answer)

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        if isinstance(slot, Request) and not slot.finished:
            slot.is_abandoned = True
            ask = slot.command
            self.observer.client_disconnected(
                ask.request_class, ask.plan, ask.customer, ask.units, bool(slot.attempts)
            )
            self.dispatch(ClientDisconnected(slot.number))
            for call in slot.attempts:  # what has not begun would begin for nobody
                if not call.has_started:
                    self.connection_pool.end(call, Outcome.NOT_SENT)
            self._close_id(slot)
            self._settle(slot)

    def is_in_flight(self, wire_id: bytes) -> bool:
        return wire_id in self._open_ids

    def _close_id(self, request: Request) -> None:
        self._open_ids.discard(request.command.wire_id)

    def _call_ended(self, call: Attempt, reply: resp.BackendReply) -> None:
        request = self.requests[call.request_number]
        request.attempts_in_flight -= 1
        first = reply.outcome is Outcome.OK and not request.finished
        if self.observer.active:
            self.observer.attempt_ended(reply.outcome)
        if self.observer.tracing:
            self.observer.event(
                "ended",
                node=self.endpoints.uid_of(call.backend),
                outcome=reply.outcome.value.replace(" ", "-"),
                took=round(self.clock.now() - call.started_ms, 1),
                load=",".join(f"{figure:.4g}" for figure in reply.load_report) or "-",
            )
        if first:
            self._answer(request, resp.encode_value(reply.value), SERVED)
        self.dispatch(
            AttemptEnded(
                call.request_number,
                call.number,
                call.backend,
                reply.outcome,
                request.finished,
                (self.clock.now() - call.started_ms) / 1000.0,
                reply.cost if first else 0.0,
                reply.utilization,
                reply.load_report,
            )
        )
        self._settle(request)

    def _guard(self, request: Request) -> None:
        request.has_deadline_timer = True
        self.call_at(request.deadline_ms, self._overdue, request)

    def _overdue(self, request: Request) -> None:
        """The client has given up by now. The module has answered long before, unless it failed."""
        for call in request.attempts:
            self.connection_pool.end(call, Outcome.TIMEOUT)
        if not request.finished:
            logger.error("request {} was not answered in time", request.number)
            self._abandon(request.number)

    # What the module decides, carried out

    def _send(self, action: SendAttempt) -> None:
        request, now = self.requests[action.request], self.clock.now()
        due = (
            min(request.deadline_ms, now + action.timeout * 1000.0)
            if action.timeout > 0
            else request.deadline_ms
        )
        number, begin_by = len(request.attempts), action.start_deadline * 1000.0
        call = Attempt(request.number, number, action.backend, request.command, now, due, begin_by)
        self.traffic.attempts_started += 1
        self.traffic.hedges_started += request.attempts_in_flight > 0
        request.attempts.append(call)
        request.attempts_in_flight += 1
        if self.observer.tracing:
            age = self.endpoints.age_ms(call.backend)
            uid = self.endpoints.uid_of(call.backend)
            self.observer.event(
                "call", node=uid, number=call.number, kind=request.command.request_class, age=age
            )
        if due < request.deadline_ms - 1.0:  # at its deadline a request ends its calls itself
            self.call_at(due, self.connection_pool.end, call, Outcome.TIMEOUT)
        if request.finished:
            self.connection_pool.end(call, Outcome.NOT_SENT)
        else:
            self.connection_pool.start(call)

    def _refuse(self, action: Reject) -> None:
        if (request := self.requests.get(action.request)) and not request.finished:
            answer = resp.encode_busy(min(action.retry_after * 1000.0, self._advice))
            self._answer(request, answer, REJECTED, action.reason or request.last_outcome)

    def _fail(self, action: Fail) -> None:
        if (request := self.requests.get(action.request)) and not request.finished:
            self._answer(request, resp.FAILED, FAILED, request.last_outcome)

    def _cancel(self, action: CancelAttempt) -> None:
        if request := self.requests.get(action.request):
            self.connection_pool.end(request.attempts[action.attempt], Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer) -> None:
        self.call_at(action.at * 1000.0, self.dispatch, TimerFired(action.token))

    def _answer(self, request: Request, answer: bytes, outcome: str, reason: str = "") -> None:
        request.response = answer
        self.traffic.outcomes[outcome][request.command.request_class] += 1
        if self.observer.active:
            ask, took = request.command, self.clock.now() - request.arrived_ms
            self.observer.request_completed(
                ask.request_class,
                ask.plan,
                ask.customer,
                outcome,
                reason,
                took,
                ask.units,
                bool(request.attempts),
            )
        self._close_id(request)
        request.connection.flush()
        self._settle(request)

    def _settle(self, request: Request) -> None:
        """Forget a request once it is finished and no call of it is out."""
        if request.finished and not request.attempts_in_flight and request.number in self.requests:
            del self.requests[request.number]
            self._held -= request.command.body_bytes
