"""Embed the decisions on ownership: divide keys, lose a target, give its keys away.

    PYTHONPATH=. python examples/embedded_ownership.py

The functions keep no state and call nobody. A program that embeds them says which
targets live and which rows surely nobody holds any more, and acts on what it gets back.
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
    """Create a member with a target that has started once."""
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
    """Print who owns a key, and under which token."""
    row = find_row(rows, KEY)
    following = f", next {row.next_node}" if row.next_node else ""
    print(f"{title}: key {KEY} of {row.node_id}, token {row.token}{following}")


def main() -> None:
    """Divide keys among three targets, lose one of them, and follow its keys."""
    zones = {"a": "helsinki", "b": "espoo", "c": "vantaa"}
    members = {name: create_member(name, zone) for name, zone in zones.items()}
    snapshot = Snapshot(members, zones_out=(), loads={}, unheld=(), released=())
    rows = create_initial_table(list_eligible_members(snapshot))
    show("divided", rows)

    lost = find_row(rows, KEY).node_id
    members[lost] = create_member(lost, zones[lost], state="absent")
    show(
        "lost, its hold may run on",
        reassign_rows(mark_unheld_rows(rows, snapshot), snapshot),
    )

    # Its lease has run out: nobody holds its rows any more.
    free = snapshot._replace(unheld=[row for row in rows if row.node_id == lost])
    marked = mark_unheld_rows(rows, free)
    show("marked, as members hear", marked)
    show("given away, as the store holds it", reassign_rows(marked, free))


if __name__ == "__main__":
    main()
