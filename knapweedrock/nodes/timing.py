"""Durations of leases, promises and heartbeats, and how they fit together.

A member keeps its lease through the loss of a coordinator when
`HEARTBEAT_MS + PROMISE_MS + election < LEASE_MS`. A range whose owner and
coordinator are lost together is served again after at most
`PROMISE_MS + election + LEASE_MS + DRIFT_MS` and one table write.
"""

HEARTBEAT_MS = 250
HEARTBEAT_TIMEOUT_MS = 400
LEASE_MS = 1000
PROMISE_MS = 500
PROMISE_RENEWAL_MS = 150
PROMISE_TIMEOUT_MS = 250
DRIFT_MS = 20
