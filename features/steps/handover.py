"""Steps about the handover of order records."""

from types import SimpleNamespace

from behave import given, then, when

from features.support.builders_nodes import create_node_settings
from knapweedrock.client.order_ids import create_order_id
from knapweedrock.environment import Environment
from knapweedrock.nodes.leases import Grant
from knapweedrock.nodes.view import HASH_SPACE
from knapweedrock.targets.orders import Orders, OrderState

SERVICE = "depot-orders"
WHOLE_SPACE = [(0, HASH_SPACE)]
GRANT = Grant(1, 0, 0)


def create_orders() -> Orders:
    """Create the records of a node."""
    return Orders(Environment(create_node_settings(), "incarnation"))


def create_request(order_id: str) -> SimpleNamespace:
    """Create what the records read of a request."""
    return SimpleNamespace(service=SERVICE, key="key", order_id=order_id)


@given("the records of a node with an order that waits and one that was sent")
def begin_orders(context):
    """Begin two orders, and send one."""
    context.orders = create_orders()
    context.waiting, context.sent = create_order_id(), create_order_id()
    for order_id in (context.waiting, context.sent):
        record = context.orders.begin(create_request(order_id), "print", GRANT)
        record.sent = order_id == context.sent


@when("the range of both is handed over to another node")
def hand_over(context):
    """Hand the records over."""
    context.receiver = create_orders()
    context.receiver.adopt(SERVICE, context.orders.hand_over(SERVICE, WHOLE_SPACE))


@then("the other node may run the order that waited")
def check_waiting(context):
    """Check that nothing is known of the order."""
    found = context.receiver.find(create_request(context.waiting), "print")
    assert found is None, found


@then("it answers that the order that was sent may have run")
def check_sent(context):
    """Check that the order is known with an unknown end."""
    found = context.receiver.find(create_request(context.sent), "print")
    assert found is not None and found.state is OrderState.UNKNOWN
