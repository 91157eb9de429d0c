"""A simulated distributor, which receives the table from a voter and serves it to ingresses."""

from __future__ import annotations

from dockthread.control_plane.resource_table import ResourceTable
from dockthread.control_plane.subscriber_actions import ResourcesChanged
from dockthread.lab.control_plane.network import Connection
from dockthread.lab.control_plane.nodes import FanOutAdapter, ServingProcess, SubscriberAdapter


class Distributor(ServingProcess):
    """A distributor; it stores nothing on disk.

    Attributes:
        subscriber_adapter: The adapter that does the I/O of its subscriber.
    """

    subscriber_adapter: SubscriberAdapter

    def initialize(self) -> None:
        """Start with an empty table."""
        environment = self.environment
        table = ResourceTable(max_tombstones=environment.settings.max_tombstones)
        environment.checker.on_process_started(self.name, "", 0, {})
        subscriber = environment.make_subscriber(self, environment.voter_servers(), table)
        self.subscriber_adapter = SubscriberAdapter(self, subscriber)
        self.fan_out_adapter = FanOutAdapter(self, environment.make_fan_out(table))

    def next_timer_at(self) -> float:
        """Return the time at which `on_timer` is due."""
        subscriber = self.subscriber_adapter.subscriber
        return min(subscriber.next_timer_at(), self.fan_out_adapter.fan_out.next_timer_at())

    def on_timer(self) -> None:
        """Run the due timers of the subscriber and of the fan-out."""
        now = self.environment.clock.now
        if self.subscriber_adapter.subscriber.next_timer_at() <= now:
            self._acknowledge_batches(self.subscriber_adapter.on_timer())
        self.update_table_age()
        if self.fan_out_adapter.fan_out.next_timer_at() <= now:
            self.fan_out_adapter.on_timer()

    def on_opened(self, connection: Connection) -> None:
        """Subscribe to a voter."""
        self._acknowledge_batches(self.subscriber_adapter.on_opened(connection))
        self.after_event()

    def on_frame(self, connection: Connection, data: bytes) -> None:
        """Handle a frame from a subscriber or from the voter."""
        if self.fan_out_adapter.owns(connection):
            self.update_table_age()
            self.fan_out_adapter.on_frame(connection, data)
        elif self.subscriber_adapter.owns(connection):
            self._acknowledge_batches(self.subscriber_adapter.on_frame(connection, data))
        self.after_event()

    def on_broken(self, connection: Connection) -> None:
        """Handle a broken connection to a subscriber or to the voter."""
        if self.fan_out_adapter.owns(connection):
            self.fan_out_adapter.on_broken(connection)
        elif self.subscriber_adapter.owns(connection):
            self._acknowledge_batches(self.subscriber_adapter.on_broken(connection))
        self.after_event()

    def update_table_age(self) -> None:
        """Pass the age of the subscriber's table on to the fan-out."""
        now = self.environment.clock.now
        self.fan_out_adapter.fan_out.set_table_age(now, self.subscriber_adapter.subscriber.age(now))

    def _acknowledge_batches(self, batches: list[ResourcesChanged]) -> None:
        """Acknowledge batches immediately; a distributor only forwards resources."""
        now = self.environment.clock.now
        for batch in batches:
            self.environment.checker.on_table_received(now, self.name, batch.epoch, batch.revision)
            actions = self.subscriber_adapter.subscriber.on_applied(now, batch.batch)
            self.subscriber_adapter.execute(actions)
