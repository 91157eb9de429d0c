"""A distributor receives the table as a subscriber and serves it to other subscribers."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.client import (
    ControlPlaneClient,
    cache_from_options,
    client_settings_from_options,
)
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.server import ControlPlaneServer, TableSource
from dockthread.control_plane.server_settings import server_settings_from_options
from dockthread.framing import MessageCounts

SLICE_RESOURCES: Final = 4096
"""Resources passed on per iteration of the event loop; large because they are not validated."""


class Distributor:
    """Relays the table without validating resources, so it accepts every kind."""

    def __init__(self, options: ControlOptions, clock: Clock, rng: random.Random) -> None:
        """Load the cached snapshot.

        Raises:
            KeyFileError: The file of the shared key cannot be read or has a wrong length.
        """
        settings = client_settings_from_options(options, options.name, SLICE_RESOURCES)
        cache = cache_from_options(options, options.name)
        self._server: ControlPlaneServer | None = None  # None until the client has loaded the cache
        self._client = ControlPlaneClient(settings, self, clock, rng, cache)
        subscriber = self._client.subscriber
        source = TableSource(subscriber.table, lambda: subscriber.age(clock.now()))
        server_settings = server_settings_from_options(options, settings.key)
        self._server = ControlPlaneServer(server_settings, source, clock, rng)

    async def open(self, listen: Address) -> Address:
        """Start listening and receiving, and return the listening address.

        Raises:
            OSError: The server cannot listen on the address.
        """
        assert self._server is not None
        address = await self._server.open(listen)
        self._client.open()
        return address

    async def close(self) -> None:
        """Stop receiving and serving."""
        assert self._server is not None
        await self._client.close()
        await self._server.close()

    @property
    def messages(self) -> MessageCounts:
        """Counts of messages exchanged with servers and with subscribers."""
        assert self._server is not None
        return self._client.messages + self._server.messages

    # Methods of ResourceApplier

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:  # noqa: ARG002  a distributor applies nothing
        """Return no rejections: a distributor serves the table without applying it."""
        return ()

    def applied_resource(self, kind: str, name: str) -> Resource | None:  # noqa: ARG002  a distributor applies nothing
        """Return None: a distributor applies no resources."""
        return None

    def on_batch_applied(self) -> None:
        """Send the changed table to subscribers."""
        if self._server is not None:
            self._server.on_table_changed()
