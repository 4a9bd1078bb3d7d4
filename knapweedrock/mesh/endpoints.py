"""HTTP endpoints of a node for its target, readiness checks and operators."""

from typing import TYPE_CHECKING

import gevent
from logbook import Logger

from knapweedrock.clock import NS_PER_S
from knapweedrock.codes import Code
from knapweedrock.errors import RefusalError
from knapweedrock.mesh.callers import CallerServer, Reply
from knapweedrock.mesh.definitions import Heartbeat, Limits
from knapweedrock.mesh.http import JSON_HEADERS, Request
from knapweedrock.mesh.inspection import handle_operator_request
from knapweedrock.platform.heartbeats import (
    Deregistration,
    decode_message,
    encode_reply,
)

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

# The reply to a draining target waits at most this long until the coordinator is
# notified.
DRAIN_RENEWAL_TIMEOUT_S = 0.4

# The reply to the first heartbeat of a new target waits at most this long for its rows;
# targets wait at most one second for a reply.
FIRST_ROWS_TIMEOUT_S = 0.6

log = Logger("node")


class Endpoints:
    """Handlers for requests of the target, of the platform and of operators."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def handle_readiness(self, _request: Request, _address: str) -> Reply:
        """Answer a readiness check: 200 if callers can be served, otherwise 503."""
        is_ready = (
            not self._node.closing
            and self._node.configuration is not None
            and bool(self._node.board.members)
        )
        return Reply(200 if is_ready else 503, [], b"")

    def handle_operator(self, request: Request, _address: str) -> Reply:
        """Answer a metrics scrape or an inspection by an operator."""
        return handle_operator_request(self._node, request)

    def handle_target(self, request: Request, _address: str) -> Reply:
        """Answer a heartbeat or a deregistration of the target."""
        try:
            message = decode_message(request.target, request.body)
            if isinstance(message, Deregistration):
                self._node.target.handle_leave(message.target)
                self._node.membership.request_renewal().wait(DRAIN_RENEWAL_TIMEOUT_S)
                body = b"{}"
            else:
                body = self._handle_heartbeat(message)
        except RefusalError as error:
            self._node.counters.count("heartbeats_refused")
            log.warning("heartbeat refused", reason=error.detail)
            return Reply(error.info.http_status, [], b"")
        return Reply(200, JSON_HEADERS, body)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> bytes:
        """Apply a heartbeat and return the encoded grants for its sender."""
        address = self._node.settings.target
        if heartbeat.service != self._node.settings.service or (
            address and heartbeat.address != "{}:{}".format(*address)
        ):
            raise RefusalError(Code.BAD_ANNOUNCEMENT, "not this node's target")
        self._check_sender(heartbeat)
        before = self._node.membership.describe_member()
        received_ns = self._node.clock.now_ns()
        is_current = self._node.target.handle_heartbeat(heartbeat)
        if not is_current:
            return b"{}"
        self._node.holds.record_heartbeat(heartbeat)
        if not self._node.target.confirmed:
            gevent.spawn(self._node.gateway.probe)
        if heartbeat.target != before.target:
            self._wait_for_rows(heartbeat.target)
        if self._node.target.dead_incarnation:
            gevent.spawn(self._node.gateway.probe)
        rows = self._node.get_rows(heartbeat.service)
        reply = self._node.holds.reply(heartbeat, rows, received_ns)
        self._node.gateway.notify_granted()
        if (
            self._node.membership.describe_member() != before
            or heartbeat.released
            or self._node.has_moving_rows(rows)
        ):
            renewal = self._node.membership.request_renewal()
            if heartbeat.draining and before.state != "draining":
                renewal.wait(DRAIN_RENEWAL_TIMEOUT_S)
        return encode_reply(reply)

    def _check_sender(self, heartbeat: Heartbeat) -> None:
        """Raise `RefusalError` unless the heartbeat comes from the local target.

        A heartbeat that begins an incarnation would end the one that is up, so the
        health page has to name the same instance.
        """
        service = self._node.get_own_service()
        if service is not None and service.keyed and not heartbeat.lists_keys:
            raise RefusalError(Code.BAD_ANNOUNCEMENT, "no lists of held and freed keys")
        if not self._node.target.would_supersede(heartbeat):
            return
        instance = self._node.gateway.fetch_instance()
        if instance != heartbeat.instance:
            raise RefusalError(
                Code.NO_LIVE_TARGET,
                f"heartbeat of {heartbeat.target}, but the health page names"
                f" {instance or 'no instance'}",
            )

    def _wait_for_rows(self, target: str) -> None:
        """Wait until a new target incarnation owns the rows of the previous one.

        The reply to its first heartbeat then grants them, one heartbeat earlier.
        """
        node = self._node
        node_id, service = node.settings.node_id, node.settings.service
        end_ns = node.clock.now_ns() + int(FIRST_ROWS_TIMEOUT_S * NS_PER_S)
        node.membership.request_renewal()
        while True:
            rows = [row for row in node.get_rows(service) if row.node_id == node_id]
            remaining_s = (end_ns - node.clock.now_ns()) / NS_PER_S
            if remaining_s <= 0 or all(row.target == target for row in rows):
                return
            node.wait_for_board(remaining_s)


def create_servers(node: "Node") -> list[CallerServer]:
    """Create the servers of a node's endpoints; they listen once started."""
    endpoints, settings = Endpoints(node), node.settings
    return [
        CallerServer(settings.heartbeat, endpoints.handle_target, Limits),
        CallerServer(settings.ready, endpoints.handle_readiness, Limits),
        CallerServer(settings.metrics, endpoints.handle_operator, Limits),
    ]
