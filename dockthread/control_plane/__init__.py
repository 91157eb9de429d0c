"""Control plane: versioned configuration, published once and applied at every ingress.

Voters agree on each change and give it a revision, distributors relay the resulting table, and
ingresses apply it and acknowledge or reject each resource. The protocol follows the ideas of
Envoy's xDS: resources, versions, deltas, snapshots, ACK and NACK.

Modules without I/O, each given the time by its caller:

* ``messages``: what travels between processes.
* ``resource_table``: resources by key and revision; ``lag``: when revisions became known.
* ``publish_state_machine``: the replicated state machine that accepts a change once.
* ``resource_schemas``: the kinds of resources and how their bodies are parsed.
* ``fanout``, ``encoded``, ``admission``: serve one table to many subscribers.
* ``subscriber``, ``server_selection``, ``backoff``, ``staleness``, ``update_assembler``,
  ``applied_resources``: receive from one server at a time.

Modules that do I/O: ``stream``, ``server``, ``client``, ``admin_client``, ``snapshot_cache``,
``cache_file``, ``voter``, ``distributor``, ``ingress`` and ``process``. None but ``messages`` and ``options`` is
loaded unless the operator's file has a section ``[control]``.
"""
