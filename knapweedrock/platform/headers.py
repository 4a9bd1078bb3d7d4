"""Names, in lower case, of the headers of callers, nodes, targets and the store."""

# Identifies one attempt of a caller; the target repeats it in its response.
ATTEMPT_ID = "x-attempt-id"
# Milliseconds that remain until the caller's deadline.
REMAINING_MS = "x-timeout-remaining"
# Shard key of the request, 0 to 65535.
SHARD_KEY = "x-shard-key"
# Proves that the target itself wrote the response.
SIGNATURE = "x-response-signature"
# Instance that must handle the request; any other instance refuses it with 421.
EXPECTED_INSTANCE = "x-expected-instance"
# Set by a target that did not execute the request.
NOT_EXECUTED = "x-not-executed"
# Service of the target beside the node at which the request entered the mesh.
CALLER_SERVICE = "x-caller-service"
# Milliseconds that the target stays cold, in responses to health checks.
COLD_MS = "x-cold-milliseconds"
# Instance that responded to a health check.
INSTANCE_ID = "x-instance-id"
# Requests a second that the target accepts from all nodes together; the limit holds
# as long as the target's responses carry this header.
RATE_LIMIT = "server-limit"
# `1` in all responses of a target that is leaving.
LEAVING = "server-leaving"
# Credential of the caller's workspace; it is not forwarded.
CREDENTIAL = "api-key"
# Name of the workspace that the caller's credential belongs to.
WORKSPACE = "x-tenant"
# Era of the store, in all of its responses.
STORE_ERA = "store-era"
# Headers that only nodes may set on requests to targets.
SET_BY_NODES = frozenset({REMAINING_MS, EXPECTED_INSTANCE, CALLER_SERVICE})
# The same, and those that are not forwarded, where the configuration has workspaces.
SET_WITH_WORKSPACES = SET_BY_NODES | {CREDENTIAL, WORKSPACE}
