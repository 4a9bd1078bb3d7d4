"""Fakes of a node's parts, so that the ingress runs alone in one process."""

import hashlib
import json
from collections import defaultdict
from collections.abc import Callable

from features.support.caller_builders import build_settings
from knapweedrock.codes import Code
from knapweedrock.environment import Environment
from knapweedrock.nodes.messages import Deliver, Delivered

Behaviour = Callable[[Deliver], Delivered]


def echo(message: Deliver) -> Delivered:
    """Answer with what identifies the request."""
    fields = {
        "key": message.key,
        "method": message.method,
        "path": message.path,
        "digest": hashlib.sha256(message.body).hexdigest(),
        "order_id": message.order_id,
        "caller": message.caller,
        "headers": message.headers,
    }
    body = b"" if message.method == "HEAD" else json.dumps(fields).encode()
    return Delivered(
        0, 200, [("Content-Type", "application/json")], body, "", 0, (1, 1)
    )


def refuse(code: Code, retry_after_ms: int = 0) -> Delivered:
    """Build the result of a refused request."""
    return Delivered(int(code), 0, [], b"", code.name, retry_after_ms, (1, 1))


class FakeNodes:
    """Nodes behind the links and the node's own delivery; each has a behaviour."""

    def __init__(self) -> None:
        self.behaviours: dict[str, Behaviour] = defaultdict(lambda: echo)
        self.received: dict[str, list[Deliver]] = defaultdict(list)

    def behave(self, behaviour: Behaviour) -> None:
        """Let all nodes behave alike from now on."""
        self.behaviours = defaultdict(lambda: behaviour)

    def request(self, address, node_id, message, timeout_ms):
        """Stand in for `env.links.request`."""
        self.received[node_id].append(message)
        return self.behaviours[node_id](message)


class FakeDelivery:
    """Delivery to the target beside one of the fake nodes."""

    def __init__(self, nodes: FakeNodes, node_id: str) -> None:
        self.nodes = nodes
        self.node_id = node_id

    def deliver(self, message: Deliver) -> Delivered:
        """Stand in for `env.delivery.deliver`."""
        self.nodes.received[self.node_id].append(message)
        return self.nodes.behaviours[self.node_id](message)


def create_fake_environment(nodes: FakeNodes, **changes: object) -> Environment:
    """Create an environment whose other nodes are fakes."""
    env = Environment(build_settings(**changes), incarnation="1")
    env.links = nodes
    env.delivery = FakeDelivery(nodes, env.settings.node_id)
    return env
