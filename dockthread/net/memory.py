"""Divides the memory of a process: what it holds at the start, and bounds on what it may add.

The bounds are worked out once, from the limit in the configuration and the resident size when the
ingress starts to serve. Each part has a share of what is left, so that all of them at their bounds
together stay within the limit. The sizes of a connection, a request and a customer are upper
estimates of what the process holds for one, the allocator's overhead included.
"""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.net.descriptor_budget import DescriptorBudget
from dockthread.net.resp.limits import MAX_HEAD_BYTES

BYTES_PER_KIB = 1024

BLOCK_BYTES = 16 * BYTES_PER_KIB
# Buffers of a response that is passed on, the smallest and the largest.
MIN_RELAY_BYTES = 4 * BYTES_PER_KIB
MAX_RELAY_BYTES = 64 * BYTES_PER_KIB
AMPLE_REQUESTS = 1_000  # With room for this many requests, their buffers may be larger.
CLIENT_CONNECTION_BYTES = 7 * BYTES_PER_KIB
BACKEND_CONNECTION_BYTES = 9 * BYTES_PER_KIB
REQUEST_BYTES = 5 * BYTES_PER_KIB
BACKEND_BYTES = 2 * BYTES_PER_KIB  # One entry of the endpoint list.
CUSTOMER_BYTES = 5 * BYTES_PER_KIB // 4

# Share of the limit that is left for everything without a bound of its own.
RESERVE_SHARE = 1 / 20
CLIENT_SHARE = 0.25
BACKEND_SHARE = 0.1
REQUEST_SHARE = 0.25
CUSTOMER_SHARE = 0.15
BUFFERED_RESPONSES_SHARE = 0.03
# A smaller bound would let an ingress serve nothing; below it the configured memory is too small.
MIN_CLIENT_CONNECTIONS = 32
MIN_BACKEND_CONNECTIONS = 16
MIN_REQUESTS = 32
MIN_CUSTOMERS = 256
MIN_BLOCKS = 16


def listed_count(known_endpoints: object) -> int:
    """Return the number of entries of an endpoint list; 0 for a malformed one, rejected later."""
    targets = known_endpoints.get("targets") if isinstance(known_endpoints, dict) else None
    return len(targets) if isinstance(targets, list) else 0


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bounds on what an ingress may hold.

    Attributes:
        client_connections: Maximum number of client connections, the surplus included.
        backend_connections: Maximum number of connections to backends.
        requests: Maximum number of requests in flight.
        customers: Maximum number of customers whose state is kept.
        blocks: Maximum number of blocks for bodies and values.
        relay_bytes: Size of the buffer that each request may use to pass on its response.
        buffered_response_bytes: Size of the responses that clients have not read, above which those
            that hold some are served no further commands.
    """

    client_connections: int
    backend_connections: int
    requests: int
    customers: int
    blocks: int
    relay_bytes: int
    buffered_response_bytes: int

    @property
    def body_bytes(self) -> int:
        """Maximum total size of the bodies of all requests."""
        return self.blocks * BLOCK_BYTES + self.requests * MAX_HEAD_BYTES

    @staticmethod
    def of(
        limit_bytes: float, resident_at_start: int, descriptors: DescriptorBudget
    ) -> MemoryBudget:
        """Return the budget of a process that holds `resident_at_start` of its limit at the start."""
        available = max(0.0, limit_bytes * (1 - RESERVE_SHARE) - resident_at_start)

        def count(share: float, size: int, minimum: int) -> int:
            return max(minimum, int(available * share / size))

        clients = min(
            descriptors.client + descriptors.surplus,
            count(CLIENT_SHARE, CLIENT_CONNECTION_BYTES, MIN_CLIENT_CONNECTIONS),
        )
        backends = min(
            descriptors.backend,
            count(BACKEND_SHARE, BACKEND_CONNECTION_BYTES, MIN_BACKEND_CONNECTIONS),
        )
        relay_bytes = MIN_RELAY_BYTES
        while (
            relay_bytes < MAX_RELAY_BYTES
            and count(REQUEST_SHARE, REQUEST_BYTES + 2 * relay_bytes, MIN_REQUESTS)
            >= AMPLE_REQUESTS
        ):
            relay_bytes *= 2
        requests = count(REQUEST_SHARE, REQUEST_BYTES + relay_bytes, MIN_REQUESTS)
        customers = count(CUSTOMER_SHARE, CUSTOMER_BYTES, MIN_CUSTOMERS)
        # What descriptors keep the connections from using goes to the blocks.
        connections_bytes = clients * CLIENT_CONNECTION_BYTES + backends * BACKEND_CONNECTION_BYTES
        others = (REQUEST_SHARE + CUSTOMER_SHARE + BUFFERED_RESPONSES_SHARE) * available
        blocks = max(MIN_BLOCKS, int((available - connections_bytes - others) / BLOCK_BYTES))
        buffered_response_bytes = int(available * BUFFERED_RESPONSES_SHARE)
        return MemoryBudget(
            clients, backends, requests, customers, blocks, relay_bytes, buffered_response_bytes
        )

    def limited(self, descriptors: DescriptorBudget) -> DescriptorBudget:
        """Return the budget of descriptors, reduced to the connections that memory allows."""
        surplus = min(descriptors.surplus, self.client_connections // 8)
        return DescriptorBudget(
            min(descriptors.client, self.client_connections - surplus),
            surplus,
            self.backend_connections,
        )
