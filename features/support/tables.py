"""Helpers to plan, complete, measure and check row tables."""

from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.membership import LOAD_PARTS_PER_ROW
from knapweedrock.mesh.messages import Row
from knapweedrock.mesh.ownership import (
    evacuate_rows,
    mark_unheld_rows,
    merge_rows,
    reassign_rows,
)
from knapweedrock.mesh.row_loads import compute_row_loads
from knapweedrock.mesh.snapshots import KEY_COUNT


def plan_ownership(rows: list[Row], snapshot) -> list[Row]:
    """Run one planning round of the coordinator without rebalancing."""
    reassigned = reassign_rows(rows, snapshot)
    if reassigned != rows:
        return merge_rows(reassigned)
    return merge_rows(mark_unheld_rows(evacuate_rows(rows, snapshot), snapshot))


def check_partition(rows: list[Row]) -> None:
    """Check that rows cover every key exactly once, in order."""
    assert rows[0].start == 0
    assert rows[-1].end == KEY_COUNT - 1
    for row, after in zip(rows, rows[1:], strict=False):
        assert row.start <= row.end
        assert after.start == row.end + 1, (row, after)


def complete_moves(rows: list[Row], snapshot) -> list[Row]:
    """Release all marked rows and assign them to their next owners."""
    marked = [row for row in rows if row.next_node]
    released = [(row.start, row.end, f"from-{row.start}") for row in marked]
    return reassign_rows(rows, snapshot._replace(unheld=marked, released=released))


def measure_loads(key_ms: dict[int, float], rows: list[Row]) -> dict:
    """Measure the loads of rows by node, as the nodes do."""
    return {
        name: compute_row_loads(
            [r for r in rows if r.node_id == name], key_ms, LOAD_PARTS_PER_ROW
        )
        for name in {row.node_id for row in rows}
    }


def check_tokens(before: list[Row], after: list[Row]) -> None:
    """Check that no token decreased and that each new owner has a higher token."""
    for row in after:
        known = find_row(before, row.start)
        assert row.token >= known.token
        if (row.node_id, row.target) != (known.node_id, known.target):
            assert row.token > known.token, (known, row)
