"""Steps about random faults."""

from behave import then, when

from features.support.mesh_soak import Soak

LEAST_GOOD = 100


@when(
    "{vms:d} node processes serve {rate:d} requests a second "
    "under faults of seed {seed:d} for {seconds:d} s"
)
def run_soak(context, vms: int, rate: int, seed: int, seconds: int) -> None:
    """Run the soak of a seed."""
    context.soak = Soak(seed, vms, rate)
    context.add_cleanup(context.soak.mesh.stop)
    context.soak.run(seconds)


@then("no promise was broken")
def check_promises(context) -> None:
    """Check what callers and targets saw."""
    violations = context.soak.list_violations()
    assert not violations, (violations[:5], context.soak.faults)


@then("every key is held again and requests were served")
def check_served(context) -> None:
    """Check that the mesh has recovered."""
    soak = context.soak
    assert soak.mesh.is_settled()
    assert soak.count_good() > LEAST_GOOD, (soak.count_good(), soak.faults)
