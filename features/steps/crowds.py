"""Steps about crowds of clients that hold memory and descriptors."""

import os

import gevent
from behave import given, then, when

from features.support.crowds import (
    KIB,
    ODD_LINE,
    READ_HEAD,
    SHORT_LINE,
    Crowd,
    CrowdMesh,
    create_body,
    create_chunks,
    create_lines,
    read_peak_mb,
)
from features.support.mesh_builders import create_document
from features.support.mesh_processes import ProcessNode

MIB = KIB * KIB
# Attempts of the ordinary caller, and the pause between them.
ATTEMPTS = 24
PAUSE_S = 0.25
SETTLE_S = 0.8
SETTLE_ROUNDS = 20


@given(
    "a mesh of {count:d} node processes with {memory_mb:d} MB, {descriptors:d} "
    "descriptors, heads of {head_kib:d} KiB and bodies of {body_mib:d} MiB"
)
def start_limited_mesh(
    context, count: int, memory_mb: int, descriptors: int, head_kib: int, body_mib: int
) -> None:
    """Start node processes with lowered limits."""
    context.mesh = CrowdMesh(count, memory_mb, descriptors)
    context.add_cleanup(context.mesh.stop)
    limits = {"maxHeaderBytes": head_kib * KIB, "maxBodyBytes": body_mib * MIB}
    context.mesh.configure(create_document(limits=limits))
    context.mesh.start()
    context.node = next(iter(context.mesh.nodes.values()))
    context.crowd = Crowd(context.node.place.settings.caller)
    context.add_cleanup(context.crowd.leave)


@when("{count:d} clients each send {kib:d} KiB of header lines of 4 bytes and no end")
def send_short_lines(context, count: int, kib: int) -> None:
    """Send heads of very many short lines."""
    context.crowd.send(count, lambda: create_lines(SHORT_LINE, kib * KIB))


@when("{count:d} clients each send {kib:d} KiB of odd header lines and no end")
def send_odd_lines(context, count: int, kib: int) -> None:
    """Send heads of odd names and values."""
    context.crowd.send(count, lambda: create_lines(ODD_LINE, kib * KIB))


@when("{count:d} clients each send a body of {mib:d} MiB but its last byte")
def send_whole(context, count: int, mib: int) -> None:
    """Send bodies at once."""
    pieces = create_body(mib * MIB, mib * MIB - 1)
    context.crowd.send(count, lambda: pieces)


@when(
    "{count:d} clients each send a body of {mib:d} MiB but its last byte, in turns of "
    "{kib:d} KiB"
)
def send_in_pieces(context, count: int, mib: int, kib: int) -> None:
    """Send bodies piece by piece."""
    pieces = create_body(mib * MIB, kib * KIB)
    context.crowd.send(count, lambda: pieces)


@when(
    "{count:d} clients each send a body of {mib:d} MiB in chunks of {size:d} bytes and "
    "no end"
)
def send_chunks(context, count: int, mib: int, size: int) -> None:
    """Send chunked bodies."""
    pieces = create_chunks(mib * MIB, size)
    context.crowd.send(count, lambda: pieces)


@given("the targets answer with {mib:d} MiB")
def pad_responses(context, mib: int) -> None:
    """Let targets pad their responses."""
    for place in context.mesh.places:
        place.holder.padding = bytes(mib * MIB)
        place.holder.slots = 100


@when("{count:d} clients each send a read and do not read the response")
def send_unread(context, count: int) -> None:
    """Send requests whose responses nobody reads."""
    context.crowd.send(count, lambda: [READ_HEAD])
    gevent.sleep(SETTLE_S * 4)


@when("{count:d} clients connect and send nothing")
def connect_only(context, count: int) -> None:
    """Open connections."""
    context.crowd.send(count, list)
    gevent.sleep(SETTLE_S)


@then(
    "the node lives, with at most {peak_mb:d} MB at its peak and {descriptors:d} "
    "descriptors"
)
def check_node(context, peak_mb: int, descriptors: int) -> None:
    """Check the process, its memory and its descriptors."""
    process = context.node.process
    wait_until_settled(context.node)
    assert process.poll() is None, f"the process ended with {process.returncode}"
    peak = read_peak_mb(context.node)
    count = len(os.listdir(f"/proc/{process.pid}/fd"))
    assert peak <= peak_mb, f"{peak:.0f} MB at its peak, {peak_mb} MB allowed"
    assert count <= descriptors, f"{count} descriptors, {descriptors} allowed"


def wait_until_settled(node: ProcessNode) -> None:
    """Wait until the process has handled what it received: its peak stays the same."""
    for _ in range(SETTLE_ROUNDS):
        is_ended = node.process.poll() is not None
        if is_ended:
            return
        peak = read_peak_mb(node)
        gevent.sleep(SETTLE_S)
        if read_peak_mb(node) == peak:
            return


@then("an ordinary request is answered")
def check_ordinary(context) -> None:
    """Send an ordinary request until it is answered with success."""
    for place in context.mesh.places:
        place.holder.padding = b""
    name = context.node.place.settings.node_id
    results = []
    for _ in range(ATTEMPTS):
        try:
            results.append(context.mesh.call(name, "/list/1").status)
        except OSError as error:
            results.append(str(error))
        if results[-1] == 200:
            return
        gevent.sleep(PAUSE_S)
    raise AssertionError(f"no answer: {results}")
