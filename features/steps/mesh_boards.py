"""Steps about boards, and the changes between their versions."""

import random
from unittest import mock

import gevent
from behave import given, then, when
from hypothesis import strategies as st

from features.support.examples import feed_examples
from features.support.mesh_builders import (
    create_member,
    create_members,
    create_row,
)
from knapweedrock.clock import create_clock
from knapweedrock.counters import Counters
from knapweedrock.mesh.boards import BoardHistory, apply_change, diff_boards
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.messages import Board, Publish, Published, Renew, Row
from knapweedrock.mesh.ownership import create_initial_table
from knapweedrock.mesh.publishing import PUSH_BATCH_DELAY_S, Publisher
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.mesh.tables import decode_rows


@when("random boards are published as changes, and some pushes are lost")
def publish_boards(context) -> None:
    """Publish random histories of boards to a node, and compare its board each time."""
    context.histories = 0

    def apply_history(steps) -> None:
        board = Board(1, 1, "n0:1", create_members(2), {})
        history = BoardHistory(board)
        held = Board(0, 0, "", {}, {})
        for number, (count, is_lost) in enumerate(steps, 2):
            members = create_members(count)
            tables = {"orders": create_initial_table(list(members.values()))}
            board = Board(1, number, "n0:1", members, tables)
            history.add(board)
            if not is_lost:
                change = history.get_change(held.epoch, held.version)
                held = apply_change(held, change)
                assert held == board
        context.histories += 1

    steps = st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=90)
    feed_examples(apply_history, steps, count=100)


@then("each node that received the last push has the coordinator's board")
def check_boards(context) -> None:
    """Check that enough histories were applied."""
    assert context.histories > 20


@then("a change of one row out of {count:d} takes fewer than {size:d} bytes")
def check_change_size(context, count: int, size: int) -> None:
    """Measure the frame that publishes the move of one row."""
    rows = create_initial_table(list(create_members(count).values()))
    old = Board(1, 1, "n0:1", {}, {"orders": rows})
    moved = [rows[0]._replace(next_node="n1"), *rows[1:]]
    change = diff_boards(old, old._replace(version=2, tables={"orders": moved}))
    assert list(change.tables) == ["orders"]
    assert decode_rows(change.tables["orders"]) == moved[:1]
    frame = encode_frame(Frame(1, False, Publish(change)))
    assert len(frame) < size, len(frame)
    assert decode_frame(frame).message == Publish(change)


@given("{count:d} members with realistic names, and {rows:d} rows with handovers")
def create_large_board(context, count: int, rows: int) -> None:
    """Create a board whose rows have all moved with a handover."""
    random_source = random.Random(1)
    names = [f"sidecar-saskatoon-a-{number}" for number in range(count)]
    members = {
        name: create_member(
            name, target=f"i-{random_source.getrandbits(40):010x}@1796000000000"
        )
        for name in names
    }
    size = KEY_COUNT // rows
    table = [
        Row(
            start,
            start + size - 1,
            (name := names[index % count]),
            members[name].target,
            index,
            f"{random_source.getrandbits(64):016x}",
            "",
        )
        for index, start in enumerate(range(0, KEY_COUNT, size))
    ]
    context.board = Board(1, 1, "n0:1", members, {"orders": table})


@then("the whole board takes fewer than {size:d} bytes on a link")
def check_board_size(context, size: int) -> None:
    """Measure the frame that publishes the whole board, and apply it."""
    change = BoardHistory(context.board).get_change(0, 0)
    frame = encode_frame(Frame(1, False, Publish(change)))
    assert len(frame) < size, len(frame)
    received = decode_frame(frame).message.change
    assert apply_change(Board(0, 0, "", {}, {}), received) == context.board


@given("a coordinator's publisher and a member that has its board")
def create_publisher(context) -> None:
    """Create a publisher whose pushes are recorded."""
    context.pushed = []

    def record_push(_peer, message, _timeout_ms) -> Published:
        context.pushed.append(message)
        return Published(message.change.epoch, message.change.version)

    links = mock.Mock(request=record_push)
    context.publisher = Publisher(
        "n0", links, mock.Mock(), create_clock(), Counters(), lambda: True
    )
    rows = [create_row(0, KEY_COUNT - 1, "n1")]
    context.board = Board(1, 1, "n0:1", create_members(2), {"orders": rows})
    context.publisher.start_term(context.board)
    gevent.sleep(PUSH_BATCH_DELAY_S * 4)
    context.pushed.clear()


@when("the member renews its lease with an old board and a change is published")
def renew_and_publish(context) -> None:
    """Answer the renewal of a restarted node, and publish a change at the same time."""
    member = context.board.members["n1"]
    renew = Renew(member, 0, 0, 0, 0, [], [], [], 0)
    assert context.publisher.get_missing_change(renew).base == 0
    rows = [create_row(0, KEY_COUNT - 1, "n1", 2)]
    context.publisher.publish(
        context.board._replace(version=2, tables={"orders": rows})
    )
    gevent.sleep(PUSH_BATCH_DELAY_S * 4)


@then("only the change is pushed to the member")
def check_pushed_change(context) -> None:
    """Check that the push builds on the board that the lease renewal returned."""
    assert [push.change.base for push in context.pushed] == [1], context.pushed
