"""Read-only pages for operators, served on a node's metrics address."""

from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import msgspec
from logbook import Logger

from knapweedrock.codes import Code
from knapweedrock.errors import KnapweedrockError
from knapweedrock.mesh.callers import Reply
from knapweedrock.mesh.dumps import create_dump
from knapweedrock.mesh.http import JSON_HEADERS, Request
from knapweedrock.mesh.metrics import CONTENT_TYPE, render_metrics
from knapweedrock.mesh.overview import create_overview
from knapweedrock.mesh.owners import find_owner

if TYPE_CHECKING:
    from knapweedrock.mesh.node import Node

Page = Callable[["Node", dict[str, str]], Reply]

PAGES: dict[str, Page] = {}

log = Logger("node")


def page(path: str) -> Callable[[Page], Page]:
    """Register a function as the page of a path; it takes the node and the query."""

    def register(function: Page) -> Page:
        PAGES[path] = function
        return function

    return register


def handle_operator_request(node: "Node", request: Request) -> Reply:
    """Answer an operator's request; an error response contains code and detail."""
    try:
        path, query = parse_page_request(request)
        return PAGES[path](node, query)
    except KnapweedrockError as error:
        log.info("operator request refused", code=error.code.name, reason=error.detail)
        body = {"code": int(error.code), "detail": error.detail}
        return Reply(error.info.http_status, JSON_HEADERS, msgspec.json.encode(body))


def parse_page_request(request: Request) -> tuple[str, dict[str, str]]:
    """Parse path and query of a request; raise `BAD_PATH` or `BAD_REQUEST`."""
    if request.method not in ("GET", "HEAD"):
        detail = f"method: found {request.method!r}, expected GET"
        raise KnapweedrockError(Code.BAD_REQUEST, detail)
    try:
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
    except ValueError as error:
        raise KnapweedrockError(Code.BAD_REQUEST, str(error)) from None
    if parts.path not in PAGES:
        detail = "expected one of " + " ".join(sorted(PAGES))
        raise KnapweedrockError(Code.BAD_PATH, detail)
    return parts.path, {name: values[0] for name, values in query.items()}


@page("/metrics")
def show_metrics(node: "Node", _query: dict[str, str]) -> Reply:
    """Return counters, gauges and histograms in the Prometheus text format."""
    set_gauges(node)
    body = render_metrics(node.counters, node.histograms).encode()
    return Reply(200, [("Content-Type", CONTENT_TYPE)], body)


@page("/status")
def show_status(node: "Node", _query: dict[str, str]) -> Reply:
    """Return the overview of the mesh and its troubles."""
    return Reply(200, JSON_HEADERS, msgspec.json.encode(create_overview(node)))


@page("/dump")
def show_dump(node: "Node", _query: dict[str, str]) -> Reply:
    """Return the complete state of the node."""
    return Reply(200, JSON_HEADERS, msgspec.json.encode(create_dump(node)))


@page("/owner")
def show_owner(node: "Node", query: dict[str, str]) -> Reply:
    """Return the owner of a key."""
    owner = find_owner(node, query.get("service", ""), query.get("key", ""))
    return Reply(200, JSON_HEADERS, msgspec.json.encode(owner))


def set_gauges(node: "Node") -> None:
    """Set all gauges to their current values."""
    admission, counters = node.gateway.admission, node.counters
    counters.gauge("in_flight", admission.in_flight)
    counters.gauge("waiting", admission.waiting)
    limit = node.target.limit
    counters.gauge("target_limit", -1 if limit is None else limit)
    memory = node.memory
    counters.gauge("caller_connections", memory.connection_count)
    counters.gauge("caller_bytes_held", memory.held_bytes)
    counters.gauge("callers_closed_for_memory", memory.closed_count)
    counters.gauge("callers_refused_for_memory", memory.refused_count)
    counters.gauge("lease_ms", node.get_remaining_lease_ms())
    counters.gauge("rows_granted", len(node.holds.granted.rows))
    counters.gauge("board_epoch", node.board.epoch)
    counters.gauge("board_version", node.board.version)
    counters.gauge("coordinating", int(node.coordinator.term.has_authority()))
    counters.gauge("configuration_version", node.config_watcher.version)
    counters.gauge("store_era", node.store.eras.era)
    counters.gauge("recovering", int(node.coordinator.is_recovering()))
