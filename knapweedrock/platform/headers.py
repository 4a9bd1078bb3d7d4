"""Names of the headers that callers, nodes and targets exchange; in lower case."""

# Identifies one attempt of a caller; the target repeats it in its answer.
ATTEMPT_ID = "x-attempt-id"
# Milliseconds that the caller still waits.
REMAINING_MS = "x-timeout-remaining"
# Key of the request, 0 to 65535.
SHARD_KEY = "x-shard-key"
# Proves that an answer is the target's own.
SIGNATURE = "x-response-signature"
# Instance that must answer; any other refuses with 421.
EXPECTED_INSTANCE = "x-expected-instance"
# Present where the target says that it did not run the request.
NOT_EXECUTED = "x-not-executed"
# Service beside which the request entered the mesh.
CALLER_SERVICE = "x-caller-service"
# Milliseconds that the target stays cold, in answers to health checks.
COLD_MS = "x-cold-milliseconds"
# Instance that answers a health check.
INSTANCE_ID = "x-instance-id"
# Requests a second that the target takes from all nodes together, while it says so.
RATE_LIMIT = "server-limit"
# `1` in all answers of a target that leaves.
LEAVING = "server-leaving"
# What only a node may say to a target.
SET_BY_NODES = frozenset({REMAINING_MS, EXPECTED_INSTANCE, CALLER_SERVICE})
