"""Steps about the priorities of requests at a node."""

import gevent
from behave import given, then, when

from features.support.offline_node import OfflineNode

WORK_MS = 10.0


@given(
    "a node whose target has {slots:d} slot, with routes of priority {first:d} and "
    "{last:d}"
)
def start_lone_node(context, slots: int, first: int, last: int) -> None:
    """Create an offline node with routes that are named after their priorities."""
    routes = {f"priority-{priority}": priority for priority in (first, last)}
    context.lone = OfflineNode(slots, WORK_MS, routes)


@when(
    "the slot is in use and {later_count:d} requests of priority {last:d} and then "
    "{sooner_count:d} of priority {first:d} are queued"
)
def send_requests_by_priority(
    context, later_count: int, last: int, sooner_count: int, first: int
) -> None:
    """Send the less urgent requests first, then the more urgent ones."""
    priorities = [last] * (1 + later_count) + [first] * sooner_count
    tasks = []
    for priority in priorities:
        tasks.append(context.lone.call(f"priority-{priority}"))
        gevent.sleep(0)
    gevent.joinall(tasks, timeout=5)
    context.sent_priorities = priorities


@then("the target executes the requests of priority {first:d} first")
def check_priority_order(context, first: int) -> None:
    """Check that only the request that occupied the slot ran before the urgent ones."""
    served = context.lone.served_paths
    assert len(served) == len(context.sent_priorities), served
    assert served[1:] == sorted(served[1:]), served
    assert served[1] == f"priority-{first}", served
