"""Embed the ownership functions: divide keys, lose a target, reassign its keys.

    PYTHONPATH=. python examples/embedded_ownership.py

The functions are pure: they keep no state and make no calls. The embedding program
passes in which targets are alive and which rows certainly have no holder any more, and
acts on the tables that the functions return.
"""

from knapweedrock.mesh.holds import find_row
from knapweedrock.mesh.messages import Member, Row
from knapweedrock.mesh.ownership import (
    create_initial_table,
    mark_unheld_rows,
    reassign_rows,
)
from knapweedrock.mesh.snapshots import Snapshot, list_eligible_members

SLOTS = 8
KEY = 17


def create_member(name: str, zone: str, state: str = "ready") -> Member:
    """Create a member whose target is its first incarnation."""
    return Member(
        node_id=name,
        process="process-1",
        peer=f"{name}:7004",
        zone=zone,
        service="depot-orders",
        target=f"{name}@1",
        instance=name,
        state=state,
        slots=SLOTS,
        cold=False,
    )


def show(title: str, rows: list[Row]) -> None:
    """Print the owner of a key, the owner's token and the next owner, if any."""
    row = find_row(rows, KEY)
    following = f", next {row.next_node}" if row.next_node else ""
    print(f"{title}: key {KEY} of {row.node_id}, token {row.token}{following}")


def main() -> None:
    """Divide keys among three targets, lose one target and reassign its keys."""
    zones = {"a": "helsinki", "b": "espoo", "c": "vantaa"}
    members = {name: create_member(name, zone) for name, zone in zones.items()}
    snapshot = Snapshot(members, zones_out=(), loads={}, unheld=(), released=())
    rows = create_initial_table(list_eligible_members(snapshot))
    show("divided", rows)

    lost = find_row(rows, KEY).node_id
    members[lost] = create_member(lost, zones[lost], state="absent")
    show(
        "target lost, its hold may still be valid",
        reassign_rows(mark_unheld_rows(rows, snapshot), snapshot),
    )

    # The lease of the lost target has expired, so its rows have no holder any more.
    expired = snapshot._replace(unheld=[row for row in rows if row.node_id == lost])
    marked = mark_unheld_rows(rows, expired)
    show("marked, as published to members", marked)
    show("reassigned, as written to the store", reassign_rows(marked, expired))


if __name__ == "__main__":
    main()
