"""Steps about emulated stores and targets as processes, with a node beside them."""

import signal
from pathlib import Path

import msgspec
from behave import given, then

from features.support.mesh_builders import create_settings
from features.support.mesh_processes import write_settings
from features.support.processes import ROOT, start_child, wait_for
from knapweedrock.emulator.addresses import create_address
from knapweedrock.http_client import EXCHANGE_ERRORS, create_client
from knapweedrock.platform.headers import ATTEMPT_ID, REMAINING_MS, SHARD_KEY

START_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_S = 2.0


@given(
    'processes of a store with "{configuration}", a target of "{service}" and a node'
)
def start_processes(context, configuration, service):
    """Start one process each for the store, the target and the node."""
    store, target = create_address(), create_address()
    settings = create_settings(0, store, target, service)
    document = msgspec.json.decode((ROOT / configuration).read_bytes())
    context.host = document["routes"]["read"]["host"]
    context.address = str(settings.caller)
    context.processes = [
        start_child(
            context,
            "store",
            ["emulate", "store", "--listen", str(store)]
            + ["--configuration", configuration],
        ),
        start_child(
            context,
            "target",
            ["emulate", "target", "--listen", str(target), "--zone", settings.zone]
            + ["--node", str(settings.heartbeat), "--service", service],
        ),
    ]
    folder = Path(context.processes[0].log).parent
    path = write_settings(settings, folder)
    node = start_child(context, "node", ["serve", "--settings-file", str(path)])
    context.processes.append(node)


@then("the target responds to a request for a key")
def check_response(context):
    """Expect a response of the target and exit status 0 of all processes."""
    wait_for(
        lambda: send_request(context) == (200, b"a1 17"), START_TIMEOUT_S, "a response"
    )
    for process in context.processes:
        process.stop_requested = True
        process.send_signal(signal.SIGTERM)
    exit_statuses = [
        process.process.wait(START_TIMEOUT_S) for process in context.processes
    ]
    assert exit_statuses == [0, 0, 0], (
        exit_statuses,
        [p.read_tail() for p in context.processes],
    )


def send_request(context):
    """Send a request and return its status and body, or None without a response."""
    client = create_client(context.address, REQUEST_TIMEOUT_S)
    headers = {
        "Host": context.host,
        ATTEMPT_ID: "a1",
        SHARD_KEY: "17",
        REMAINING_MS: "1000",
    }
    try:
        response = client.request("GET", "/read/x", headers=headers)
        return response.status_code, bytes(response.read())
    except EXCHANGE_ERRORS:
        return None
    finally:
        client.close()
