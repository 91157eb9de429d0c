"""All backends that an ingress knows: those listed and those delisted recently."""

from __future__ import annotations

from math import inf

from dockthread.policy.backend import Backend
from dockthread.policy.backend_pool import BackendPool
from dockthread.policy.context import Context
from dockthread.policy.latency_estimates import KindEstimates
from dockthread.policy.model import BackendState, Endpoint

# Seconds for which a delisted backend is remembered, because it may be listed again.
DELISTED_RETENTION = 30.0


class BackendRegistry:
    """The known backends.

    Attributes:
        pool: the pool that attempts draw their backend from.
        by_number: the backends by number.
        by_code: the backends by their code in gossip messages; empty without gossip.
        delisted: the backends that are no longer listed, by number.
    """

    __slots__ = ("_context", "_kinds", "by_code", "by_number", "delisted", "pool")

    def __init__(self, context: Context, pool: BackendPool) -> None:
        self._context = context
        self._kinds: dict[int, KindEstimates] = {}
        self.pool = pool
        self.by_number: dict[int, Backend] = {}
        self.by_code: dict[bytes, Backend] = {}
        self.delisted: dict[int, Backend] = {}

    def update(self, endpoint: Endpoint) -> None:
        """Apply a listed entry; its backend may be new, restarted or in a different state."""
        backend = self._get_or_create(endpoint)
        if endpoint.started_at > backend.endpoint.started_at:
            backend.reset_process()
        self._update_listing(backend, endpoint, endpoint.state)

    def remove_unlisted(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Mark the backends that are missing from a full list as removed."""
        listed = {endpoint.backend for endpoint in endpoints}
        unlisted = [backend for number, backend in self.by_number.items() if number not in listed]
        for backend in unlisted:
            self._update_listing(backend, backend.endpoint, BackendState.REMOVED)

    def _get_or_create(self, endpoint: Endpoint) -> Backend:
        """Return the backend of an entry; create it if its number is unknown."""
        backend = self.by_number.get(endpoint.backend)
        if backend is None:
            kind = self._kinds.setdefault(endpoint.kind, KindEstimates())
            backend = Backend(endpoint, kind, self.pool)
            self.by_number[endpoint.backend] = backend
            self.pool.add(backend)
            if self._context.settings.may_gossip:
                self.by_code[backend.code] = backend
        return backend

    def _update_listing(self, backend: Backend, endpoint: Endpoint, state: BackendState) -> None:
        if state is BackendState.REMOVED:
            backend.removed_at = min(backend.removed_at, self._context.now)
            self.delisted[backend.endpoint.backend] = backend
        elif backend.removed_at != inf:
            backend.removed_at = inf
            del self.delisted[backend.endpoint.backend]
        self.pool.update(backend, endpoint, state is BackendState.READY)

    def expire(self) -> None:
        """Drop backends that were delisted long ago and have no attempt in flight."""
        for number, backend in list(self.delisted.items()):
            delisted_time = self._context.now - backend.removed_at
            if delisted_time > DELISTED_RETENTION and not backend.in_flight:
                del self.by_number[number], self.delisted[number]
                self.by_code.pop(backend.code, None)
                self.pool.remove(backend)
