"""Distribution of control: versioned resources, accepted once and in force at every ingress within
seconds.

`messages` is what travels; `resources` holds the resources by key and revision; `publishing` is the
state machine of the agreed log, which accepts a change once; `fanout` serves subscribers from a
table; `subscriber` receives into one. These decide and do no I/O. `server` and `client` put them on
sockets. Loaded only where the operator's file has `[control]`.
"""
