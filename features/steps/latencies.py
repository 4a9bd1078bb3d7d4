"""Steps that compare the tails of latencies of one scenario."""

from behave import then, when


def compute_p99(taken_ms: list[float]) -> float:
    """Return the p99 of latencies."""
    return sorted(taken_ms)[int(len(taken_ms) * 0.99)]


@when("the p99 of the reads is kept as {name}")
def keep_p99(context, name):
    """Keep the p99 for a later comparison."""
    if not hasattr(context, "kept"):
        context.kept = {}
    context.kept[name] = compute_p99(context.taken_ms)


@then("the p99 is at most {limit_ms:d} ms")
def check_p99_limit(context, limit_ms):
    """Compare the p99 with a limit."""
    p99_ms = compute_p99(context.taken_ms)
    print(f"p99 {p99_ms:.1f} ms")
    assert p99_ms <= limit_ms, p99_ms


@then("the p99 of the reads is at most {factor:g} of {name}")
def check_p99(context, factor, name):
    """Compare the p99 with the one that was kept."""
    p99_ms, kept_ms = compute_p99(context.taken_ms), context.kept[name]
    print(f"p99 {p99_ms:.1f} ms, {name} {kept_ms:.1f} ms")
    assert p99_ms <= factor * kept_ms, (p99_ms, kept_ms)


@then("the p99 of arm {name} is at most {factor:g} of arm {other}")
def compare_arms(context, name, factor, other):
    """Compare the p99 of two arms that ran at the same time."""
    p99_ms, other_ms = (compute_p99(context.arms[n].taken_ms) for n in (name, other))
    print(f"{name} p99 {p99_ms:.1f} ms, {other} {other_ms:.1f} ms")
    assert p99_ms <= factor * other_ms, (p99_ms, other_ms)
