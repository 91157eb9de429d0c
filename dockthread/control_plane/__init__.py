"""Control plane: versioned configuration, published once and applied at every ingress.

Voters agree on each change and give it a revision, distributors relay the resulting table, and
ingresses apply it and acknowledge or reject each resource. The protocol follows the ideas of
Envoy's xDS: resources, versions, deltas, snapshots, ACK and NACK.

Modules without I/O, to which the caller passes the current time:

* ``messages``: the messages between processes.
* ``resource_table``: resources by key and revision; ``packed_resource`` and ``frozen_table``: their
  compact form, and the content of a table at one point in time.
* ``lag``: when revisions were first observed.
* ``publish_state_machine``: the replicated state machine that applies each change once.
* ``resource_schemas``: the kinds of resources, and parsers of their bodies.
* ``fanout``, ``encoded``, ``admission``, ``subscriber_records``: serve one table to many subscribers.
* ``listing``: answers operators' lookups.
* ``subscriber``, ``server_connection``, ``server_selection``, ``backoff``, ``staleness``,
  ``table_receiver``, ``update_assembler``, ``applied_resources``: receive from one server at a time.

Modules that do I/O or run on the event loop: ``stream``, ``server``, ``client``, ``batch_applier``,
``admin_client``, ``snapshot_cache``, ``cache_file``, ``voter``, ``distributor`` and ``ingress``.
Only ``messages`` and ``options`` are loaded if the operator's file has no section ``[control]``.
"""
