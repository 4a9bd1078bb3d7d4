"""Steps about boards and their changes."""

from behave import then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.mesh_builders import (
    create_members,
)
from knapweedrock.mesh.boards import BoardHistory, apply_change, diff_boards
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.messages import Board, Publish
from knapweedrock.mesh.ownership import create_table
from knapweedrock.mesh.tables import decode_rows


@when("random boards are published as changes, and some pushes are lost")
def publish_boards(context) -> None:
    """Publish random histories of boards to a node."""
    context.histories = 0

    def play(steps) -> None:
        board = Board(1, 1, "n0:1", create_members(2), {})
        history = BoardHistory(board)
        held = Board(0, 0, "", {}, {})
        for number, (count, is_lost) in enumerate(steps, 2):
            members = create_members(count)
            tables = {"orders": create_table(list(members.values()))}
            board = Board(1, number, "n0:1", members, tables)
            history.add(board)
            if not is_lost:
                change = history.find_change(held.epoch, held.version)
                held = apply_change(held, change)
                assert held == board
        context.histories += 1

    steps = st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=90)
    feed_examples(play, steps, count=100)


@then("each node that got the last push has the coordinator's board")
def check_boards(context) -> None:
    """Check that histories were played."""
    assert context.histories > 20


@then("a change of one row among {count:d} takes fewer than {size:d} bytes")
def check_change_size(context, count: int, size: int) -> None:
    """Measure the frame that moves one row."""
    rows = create_table(list(create_members(count).values()))
    old = Board(1, 1, "n0:1", {}, {"orders": rows})
    moved = [rows[0]._replace(next_node="n1"), *rows[1:]]
    change = diff_boards(old, old._replace(version=2, tables={"orders": moved}))
    assert list(change.tables) == ["orders"]
    assert decode_rows(change.tables["orders"]) == moved[:1]
    frame = encode_frame(Frame(1, False, Publish(change)))
    assert len(frame) < size, len(frame)
    assert decode_frame(frame).message == Publish(change)
