"""Steps about messages that share a VM's link."""

import gevent
from behave import given, then, when

from features.support.paced_link import PacedLink

JOIN_TIMEOUT_S = 5


@given("a link of {mbps:d} Mbit/s that is paced")
def create_link(context, mbps: int) -> None:
    """Create a link and its pacer."""
    context.link = PacedLink(mbps)


@when(
    "{count:d} answers of {long:d} KB come at once"
    " and one of {short:d} KB each {pause:d} ms for {ms:d} ms"
)
def send_mixed(context, count: int, long: int, short: int, pause: int, ms: int) -> None:
    """Send long answers, and short ones while they leave."""
    tasks = [context.link.start(long) for _ in range(count)]
    for _ in range(ms // pause):
        gevent.sleep(pause / 1000)
        tasks.append(context.link.start(short))
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)
    context.short = short


@when("answers of {sizes} KB come at once")
def send_sizes(context, sizes: str) -> None:
    """Send answers of several sizes."""
    gevent.joinall(start_sizes(context, sizes), timeout=JOIN_TIMEOUT_S)
    context.short = 0


@when("answers of {sizes} KB come at once and that of {kb:d} KB is given up")
def cancel_answer(context, sizes: str, kb: int) -> None:
    """Send answers, and give one up that waits."""
    tasks = start_sizes(context, sizes)
    gevent.sleep(0.005)
    tasks[parse_sizes(sizes).index(kb)].kill()
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)


@when(
    "an answer of {long:d} KB comes beside one of {short:d} KB each {pause:d} ms"
    " for {ms:d} ms"
)
def send_beside(context, long: int, short: int, pause: int, ms: int) -> None:
    """Send one answer while the link is full of shorter ones."""
    tasks = [context.link.start(short), context.link.start(long)]
    for _ in range(ms // pause):
        gevent.sleep(pause / 1000)
        tasks.append(context.link.start(short))
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)


@then("the answer of {kb:d} KB has left within {ms:d} ms")
def check_one(context, kb: int, ms: int) -> None:
    """Check how long one answer took."""
    took = [took_ms for size, took_ms in context.link.sent if size == kb]
    assert took, context.link.sent
    assert took[0] < ms, took


@then("every short answer has left within {ms:d} ms")
def check_short(context, ms: int) -> None:
    """Check how long the short answers took."""
    took = [took_ms for kb, took_ms in context.link.sent if kb == context.short]
    assert took
    assert max(took) < ms, sorted(took)[-5:]


@then("all long answers have left within {ms:d} ms")
def check_long(context, ms: int) -> None:
    """Check how long the long answers took."""
    took = [took_ms for kb, took_ms in context.link.sent if kb != context.short]
    assert took
    assert max(took) < ms, sorted(took)[-5:]


@then("they leave in the order {sizes}")
def check_order(context, sizes: str) -> None:
    """Check which answers left, and in which order."""
    assert [kb for kb, _ in context.link.sent] == parse_sizes(sizes), context.link.sent


def start_sizes(context, sizes: str) -> list[gevent.Greenlet]:
    """Start an answer of each size."""
    return [context.link.start(kb) for kb in parse_sizes(sizes)]


def parse_sizes(text: str) -> list[int]:
    """Parse sizes such as `40, 20 and 30`."""
    return [int(size) for size in text.replace(" and", ",").split(",")]
