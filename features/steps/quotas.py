"""Steps about the quotas of workspaces, without a network."""

from collections import Counter

from behave import given, then, when

from features.support.quota_mesh import QuotaMesh, play_schedule
from knapweedrock.quotas.accountants import AccountantOrder
from knapweedrock.quotas.buckets import QuotaTerms

SETTLE_S = 1.0


@given("terms of {window:g} s with an overage of {overage:g} and a slack of {slack:g}")
def set_terms(context, window: float, overage: float, slack: float) -> None:
    """Set how far quotas may be exceeded."""
    context.terms = QuotaTerms(window, overage, slack)


@given(
    "{count:d} nodes and a workspace with a rate of {rate:g} and a burst of {burst:g}"
)
def create_mesh(context, count: int, rate: float, burst: float) -> None:
    """Create nodes that know each other."""
    context.mesh = QuotaMesh(context.terms, count)
    context.mesh.set_quota(rate, burst)
    while context.mesh.elapsed_s < SETTLE_S:
        context.mesh.step(0)


@when("each node asks for {demand:g} requests per second for {seconds:d} s")
def send_steadily(context, demand: float, seconds: int) -> None:
    """Send requests without a fault."""
    while context.mesh.elapsed_s < seconds:
        context.mesh.step(demand)


@when(
    "each node asks for {demand:g} requests per second for {seconds:d} s and a node "
    "restarts each {interval_ms:d} ms"
)
def send_with_restarts(context, demand: float, seconds: int, interval_ms: int) -> None:
    """Restart the accountant and other nodes in turn."""
    mesh, next_s = context.mesh, 3.0
    while mesh.elapsed_s < seconds:
        if mesh.elapsed_s >= next_s:
            next_s += interval_ms / 1000
            mesh.get_accountant().restart()
        mesh.step(demand)


@when(
    "each node asks for {demand:g} requests per second for {seconds:d} s and the "
    "accountant and {count:d} others are cut off from second {first:d} to {last:d}"
)
def send_with_cut(
    context, demand: float, seconds: int, count: int, first: int, last: int
) -> None:
    """Cut the accountant off together with others that it still reaches."""
    mesh = context.mesh
    accountant = mesh.get_accountant()
    others = [node for node in mesh.nodes.values() if node is not accountant]
    while mesh.elapsed_s < seconds:
        is_cut = first <= mesh.elapsed_s < last
        for node in (accountant, *others[:count]):
            node.group = int(is_cut)
        mesh.step(demand)


@when(
    "each node asks for {calm:g} requests per second until second {first:d} and then "
    "for {hot:g} until second {last:d}, and the accountant and {count:d} others are "
    "cut off from second {cut:d} on"
)
def send_more_after_cut(
    context, calm: float, first: int, hot: float, last: int, count: int, cut: int
) -> None:
    """Raise the demand when the accountant is cut off, so that its bucket is full."""
    mesh = context.mesh
    accountant = mesh.get_accountant()
    others = [node for node in mesh.nodes.values() if node is not accountant]
    while mesh.elapsed_s < last:
        for node in (accountant, *others[:count]):
            node.group = int(mesh.elapsed_s >= cut)
        mesh.step(calm if mesh.elapsed_s < first else hot)


@when(
    "each node asks for {demand:g} requests per second for {seconds:d} s and the "
    "accountant is silent from second {first:d} to {last:d}"
)
def send_with_silence(
    context, demand: float, seconds: int, first: int, last: int
) -> None:
    """Let the accountant fall silent without a sign of its end."""
    mesh = context.mesh
    accountant = mesh.get_accountant()
    while mesh.elapsed_s < seconds:
        accountant.is_silent = first <= mesh.elapsed_s < last
        mesh.step(demand)


@when(
    "each node asks for {demand:g} requests per second for {seconds:d} s and the rate "
    "becomes {rate:g} at second {at:d}"
)
def send_with_change(
    context, demand: float, seconds: int, rate: float, at: int
) -> None:
    """Change the quota while requests are sent."""
    mesh = context.mesh
    while mesh.elapsed_s < seconds:
        if mesh.rate != rate and mesh.elapsed_s >= at:
            mesh.set_quota(rate, rate)
        mesh.step(demand)


@then("no window has more requests than the quota allows")
def check_windows(context) -> None:
    """Check all windows against the limit."""
    mesh = context.mesh
    fullest = mesh.find_fullest_window()
    limit = mesh.compute_limit(mesh.rate, mesh.burst)
    assert fullest <= limit, f"{fullest} requests in a window, {limit} allowed"


@then(
    "from second {first:d} on no window has more requests than a rate of {rate:g} and "
    "a burst of {burst:g} allow"
)
def check_later_windows(context, first: int, rate: float, burst: float) -> None:
    """Check the windows after a change of the limit."""
    fullest = context.mesh.find_fullest_window(first)
    limit = context.mesh.compute_limit(rate, burst)
    assert 0 < fullest <= limit, f"{fullest} requests in a window, {limit} allowed"


@then("at least {share:g} of the rate was used from second {first:d} on")
def check_use(context, share: float, first: int) -> None:
    """Check that demand beyond the rate gets the rate."""
    mesh = context.mesh
    first_ns = mesh.clock.ns - int((mesh.elapsed_s - first) * 1_000_000_000)
    used = sum(1 for time_ns in mesh.sent_ns if time_ns >= first_ns)
    expected = mesh.rate * (mesh.elapsed_s - first)
    assert used >= share * expected, f"{used} requests sent, {expected} by the rate"


@then("no request was refused")
def check_none_refused(context) -> None:
    """Check that nothing was refused, and that something was sent."""
    assert context.mesh.sent_ns
    assert not context.mesh.refused_ns, f"{len(context.mesh.refused_ns)} refused"


@then("at most {count:d} requests were refused")
def check_refused(context, count: int) -> None:
    """Check how many requests were refused."""
    refused = len(context.mesh.refused_ns)
    assert refused <= count, f"{refused} refused of {len(context.mesh.sent_ns)}"


@given("{count:d} nodes")
def name_nodes(context, count: int) -> None:
    """Name nodes as a platform does."""
    context.names = [f"vm-{number % 4}-{number}" for number in range(count)]


@when("the accountants of {count:d} workspaces are listed")
def list_accountants(context, count: int) -> None:
    """List the accountant of each workspace, with all nodes and without one."""
    context.workspaces = [f"w{number}" for number in range(count)]
    order = AccountantOrder(context.names)
    context.accountants = {w: order.list_candidates(w)[0] for w in context.workspaces}


@then("each node accounts for {least:d} to {most:d} of them")
def check_spread(context, least: int, most: int) -> None:
    """Check that no node has much more work than others."""
    counts = Counter(context.accountants.values())
    assert len(counts) == len(context.names)
    assert least <= min(counts.values()) <= max(counts.values()) <= most, counts


@then("without one node only its own workspaces have other accountants")
def check_stability(context) -> None:
    """Check that the loss of a node changes no other accountant."""
    order = AccountantOrder(context.names[1:])
    for workspace, accountant in context.accountants.items():
        now = order.list_candidates(workspace)[0]
        assert now == accountant or accountant == context.names[0], workspace


@when("{count:d} schedules of faults are played from seed {seed:d}")
def play_schedules(context, count: int, seed: int) -> None:
    """Play schedules and keep those whose fullest window exceeds the limit."""
    context.exceeded = []
    for number in range(seed, seed + count):
        fullest, limit = play_schedule(context.terms, number)
        if fullest > limit:
            context.exceeded.append((number, fullest, limit))


@then("no window had more requests than the quota allows in any of them")
def check_schedules(context) -> None:
    """Check that no schedule exceeded its limit."""
    assert not context.exceeded, f"(seed, requests, limit): {context.exceeded}"
