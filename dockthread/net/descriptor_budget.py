"""How the file descriptors of an ingress are divided between client and backend connections."""

from __future__ import annotations

from dataclasses import dataclass

# For all but connections: the standard streams, the event loop's own, the listener, the watch.
RESERVED_DESCRIPTORS = 24
# Client connections over their budget, at most; they are accepted only to be rejected.
MAX_SURPLUS = 32
MAX_SURPLUS_SHARE = 1 / 16  # of all descriptors
CLIENT_SHARE = 1 / 3  # of all descriptors, for clients with a request in flight
IDLE_CLIENT_SHARE = 1 / 4  # of what is left then, for clients with an idle connection


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The largest numbers of client connections, of those over that number, and to backends."""

    client: int
    surplus: int
    backend: int

    @staticmethod
    def of(descriptors: int) -> DescriptorBudget:
        """Return the budget of an ingress that may hold so many descriptors."""
        surplus = min(MAX_SURPLUS, int(descriptors * MAX_SURPLUS_SHARE))
        available = descriptors - RESERVED_DESCRIPTORS - surplus
        active_clients = int(descriptors * CLIENT_SHARE)
        client = active_clients + int((available - active_clients) * IDLE_CLIENT_SHARE)
        return DescriptorBudget(client, surplus, available - client)
