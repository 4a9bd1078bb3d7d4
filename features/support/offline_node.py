"""A node without network access, whose target is simulated in this process."""

import gevent
import msgspec

from features.support.mesh_builders import (
    OTHER_SERVICE,
    create_document,
    create_heartbeat,
    create_settings,
)
from knapweedrock.clock import create_clock
from knapweedrock.emulator.addresses import create_address
from knapweedrock.mesh.http import Request, Response
from knapweedrock.mesh.messages import Board, PublishConfiguration
from knapweedrock.mesh.node import Node
from knapweedrock.platform.headers import ATTEMPT_ID, SIGNATURE

HOST = "mesh.example"


class OfflineNode:
    """A node of a service without keys, and the paths that its target has served."""

    def __init__(
        self,
        slots: int,
        work_ms: float,
        routes: dict[str, int],
        is_confirmed: bool = True,
    ) -> None:
        """Create the node; `routes` maps names of routes to their priorities.

        Without `is_confirmed` the target has only sent a heartbeat.
        """
        settings = create_settings(0, create_address(), create_address(), OTHER_SERVICE)
        self.node = Node(settings, create_clock())
        self.node.config_watcher.handle_push(create_pushed_configuration(routes))
        heartbeat = create_heartbeat(settings.node_id, service=OTHER_SERVICE)
        self.node.target.handle_heartbeat(heartbeat._replace(slots=slots))
        if is_confirmed:
            self.node.target.confirm()
        member = self.node.membership.describe_member()
        self.node.accept_board(Board(1, 1, "", {member.node_id: member}, {}))
        self.node.gateway.admission.service_ms = work_ms
        self.node.gateway.http_client.request = self._respond
        self.served_paths: list[str] = []
        self._work_s = work_ms / 1000

    def call(self, route: str) -> gevent.Greenlet:
        """Send a request as a caller on the target's own VM."""
        fields = {"host": HOST, ATTEMPT_ID: f"a{len(self.served_paths)}"}
        target = f"/{route}/"
        request = Request("GET", target, list(fields.items()), fields, b"", True)
        own_ip = self.node.settings.caller[0]
        return gevent.spawn(self.node.router.serve, request, own_ip)

    def _respond(self, _method: str, path: str, *_rest) -> Response:
        self.served_paths.append(path.strip("/"))
        gevent.sleep(self._work_s)
        return Response(200, [(SIGNATURE, "signed")], b"", True)


def create_pushed_configuration(routes: dict[str, int]) -> PublishConfiguration:
    """Create the message that publishes a configuration with the given routes."""
    route = create_document()["routes"]["list"]
    routes_by_name = {
        name: {**route, "pathPrefix": f"/{name}/", "priority": priority}
        for name, priority in routes.items()
    }
    document = msgspec.json.encode(create_document(routes=routes_by_name))
    return PublishConfiguration(1, document, [], 1)
