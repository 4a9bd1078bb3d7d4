"""Steps about messages that share the network link of a VM."""

import gevent
from behave import given, then, when

from features.support.paced_link import PacedLink

JOIN_TIMEOUT_S = 5


@given("a paced network link of {mbps:d} Mbit/s")
def create_link(context, mbps: int) -> None:
    """Create a simulated link and its pacer."""
    context.link = PacedLink(mbps)


@when(
    "{count:d} answers of {long:d} KB arrive at once"
    " and one of {short:d} KB every {pause:d} ms for {ms:d} ms"
)
def send_mixed(context, count: int, long: int, short: int, pause: int, ms: int) -> None:
    """Send long answers, and short answers meanwhile."""
    tasks = [context.link.start(long) for _ in range(count)]
    for _ in range(ms // pause):
        gevent.sleep(pause / 1000)
        tasks.append(context.link.start(short))
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)
    context.short = short


@when("answers of {sizes} KB arrive at once")
def send_sizes(context, sizes: str) -> None:
    """Send answers of several sizes."""
    gevent.joinall(start_sizes(context, sizes), timeout=JOIN_TIMEOUT_S)
    context.short = 0


@when("answers of {sizes} KB arrive at once and that of {kb:d} KB is cancelled")
def cancel_answer(context, sizes: str, kb: int) -> None:
    """Send answers, and cancel one while it waits."""
    tasks = start_sizes(context, sizes)
    gevent.sleep(0.005)
    tasks[parse_sizes(sizes).index(kb)].kill()
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)


@when(
    "an answer of {long:d} KB arrives while one of {short:d} KB arrives every"
    " {pause:d} ms for {ms:d} ms"
)
def send_beside(context, long: int, short: int, pause: int, ms: int) -> None:
    """Send one answer while shorter answers saturate the link."""
    tasks = [context.link.start(short), context.link.start(long)]
    for _ in range(ms // pause):
        gevent.sleep(pause / 1000)
        tasks.append(context.link.start(short))
    gevent.joinall(tasks, timeout=JOIN_TIMEOUT_S)


@then("the answer of {kb:d} KB is sent within {ms:d} ms")
def check_one(context, kb: int, ms: int) -> None:
    """Check the duration of one answer."""
    durations_ms = [elapsed_ms for size, elapsed_ms in context.link.sent if size == kb]
    assert durations_ms, context.link.sent
    assert durations_ms[0] < ms, durations_ms


@then("every short answer is sent within {ms:d} ms")
def check_short(context, ms: int) -> None:
    """Check the durations of the short answers."""
    durations_ms = [
        elapsed_ms for kb, elapsed_ms in context.link.sent if kb == context.short
    ]
    assert durations_ms
    assert max(durations_ms) < ms, sorted(durations_ms)[-5:]


@then("all long answers are sent within {ms:d} ms")
def check_long(context, ms: int) -> None:
    """Check the durations of the long answers."""
    durations_ms = [
        elapsed_ms for kb, elapsed_ms in context.link.sent if kb != context.short
    ]
    assert durations_ms
    assert max(durations_ms) < ms, sorted(durations_ms)[-5:]


@then("they are sent in the order {sizes}")
def check_order(context, sizes: str) -> None:
    """Check which answers were sent, and in which order."""
    assert [kb for kb, _ in context.link.sent] == parse_sizes(sizes), context.link.sent


def start_sizes(context, sizes: str) -> list[gevent.Greenlet]:
    """Start an answer of each size."""
    return [context.link.start(kb) for kb in parse_sizes(sizes)]


def parse_sizes(text: str) -> list[int]:
    """Parse sizes such as `40, 20 and 30`."""
    return [int(size) for size in text.replace(" and", ",").split(",")]
