"""Steps about random faults under load."""

from behave import then, when

import features.support.soak_drills  # noqa: F401 (registers faults)
from features.support.mesh_soak import Soak

MIN_SERVED = 100
# A key is served again within 2 s of a loss; a planned move takes less time.
MAX_UNHELD_MS = 2000


@when(
    "{vms:d} node processes serve {rate:d} requests a second "
    "under faults of seed {seed:d} for {seconds:d} s"
)
def run_soak(context, vms: int, rate: int, seed: int, seconds: int) -> None:
    """Run the soak test with a seed."""
    context.soak = Soak(seed, vms, rate)
    context.add_cleanup(context.soak.stop)
    context.soak.run(seconds)


@when(
    "nodes are frozen at random for {seconds:d} s, "
    "the last time beyond the end of the run"
)
def run_soak_with_freezes(context, seconds: int) -> None:
    """Run a soak test that ends while a node is frozen."""
    context.soak = Soak(3, 2, 20, "freeze_node")
    context.add_cleanup(context.soak.stop)
    context.soak.run(seconds)


@then("no guarantee was violated")
def check_promises(context) -> None:
    """Check the records of callers and targets."""
    violations = context.soak.list_violations()
    assert not violations, (violations[:5], context.soak.faults)


@then("every fault is reverted")
def check_all_faults_ended(context) -> None:
    """Check that the soak test has left no node process stopped."""
    soak = context.soak
    assert not soak.list_stopped_nodes(), (soak.list_stopped_nodes(), soak.faults[-2:])


@then("every key is held again and requests were served")
def check_served(context) -> None:
    """Check that the mesh has recovered and that it served requests."""
    soak = context.soak
    assert soak.longest_unheld_ms < MAX_UNHELD_MS, (soak.longest_unheld_ms, soak.faults)
    soak.mesh.wait_until(soak.mesh.is_settled, MAX_UNHELD_MS / 1000)
    assert soak.count_served() > MIN_SERVED, (soak.count_served(), soak.faults)
