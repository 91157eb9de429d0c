"""Divides the file descriptors of an ingress between client and backend connections."""

from __future__ import annotations

from dataclasses import dataclass

# Descriptors reserved for the standard streams, the event loop, the listener and the discovery
# watch.
RESERVED_DESCRIPTORS = 24
# Maximum number of client connections beyond the client budget. They are accepted only to reject
# their first request.
MAX_SURPLUS = 32
MAX_SURPLUS_SHARE = 1 / 16  # Maximum share of all descriptors used for surplus connections.
CLIENT_SHARE = 1 / 3  # Share of all descriptors used for clients with a request in flight.
# Share of the remaining descriptors used for idle client connections. Backend connections use all
# others.
IDLE_CLIENT_SHARE = 1 / 4


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Maximum numbers of client connections, surplus client connections and backend connections."""

    client: int
    surplus: int
    backend: int

    @staticmethod
    def of(descriptors: int) -> DescriptorBudget:
        """Return the budget of an ingress that may open `descriptors` file descriptors."""
        surplus = min(MAX_SURPLUS, int(descriptors * MAX_SURPLUS_SHARE))
        available = descriptors - RESERVED_DESCRIPTORS - surplus
        active_clients = int(descriptors * CLIENT_SHARE)
        client = active_clients + int((available - active_clients) * IDLE_CLIENT_SHARE)
        return DescriptorBudget(client, surplus, available - client)
