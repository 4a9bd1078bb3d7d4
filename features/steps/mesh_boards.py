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
from knapweedrock.codes import Code
from knapweedrock.counters import Counters
from knapweedrock.errors import LinkError
from knapweedrock.mesh.boards import (
    BoardHistory,
    apply_change,
    create_whole_change,
    diff_boards,
)
from knapweedrock.mesh.coordinator import PUSH_RETRY_MS
from knapweedrock.mesh.frames import Frame, decode_frame, encode_frame
from knapweedrock.mesh.messages import Board, Publish, Published, ReadBoard, Renew, Row
from knapweedrock.mesh.ownership import create_initial_table
from knapweedrock.mesh.publishing import (
    LARGE_CHANGE_BYTES,
    PUSH_BATCH_DELAY_S,
    MissingChange,
    Publisher,
)
from knapweedrock.mesh.snapshots import KEY_COUNT
from knapweedrock.mesh.tables import decode_rows

# Time of a push on its way, in the tests of turns.
PUSH_MS = 20.0
MAX_PUSHES_S = 30.0


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
    context.publisher = Publisher("n0", links, Counters(), lambda: True)
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
    assert context.publisher.get_missing_change(renew).change.base == 0
    rows = [create_row(0, KEY_COUNT - 1, "n1", 2)]
    context.publisher.publish(
        context.board._replace(version=2, tables={"orders": rows})
    )
    gevent.sleep(PUSH_BATCH_DELAY_S * 4)


@then("only the change is pushed to the member")
def check_pushed_change(context) -> None:
    """Check that the push builds on the board that the lease renewal returned."""
    assert [push.change.base for push in context.pushed] == [1], context.pushed


class BoardReceivers:
    """Members that apply pushes, each of which takes some time on the way."""

    def __init__(self, boards: dict[str, Board]) -> None:
        self.boards = boards
        self.answering = True
        self.sent_bytes = 0
        self.max_large_pushes = 0
        self._large_pushes = 0

    def request(self, peer: str, message: Publish, timeout_ms: float) -> Published:
        """Apply a push to the member with a peer address; raise without an answer."""
        name = next(n for n, m in self.members.items() if m.peer == peer)
        if isinstance(message, ReadBoard):
            return Publish(create_whole_change(self.boards[name]))
        change = message.change
        size = len(encode_frame(Frame(1, False, message)))
        self.sent_bytes += size
        is_large = size > LARGE_CHANGE_BYTES
        self._large_pushes += is_large
        self.max_large_pushes = max(self.max_large_pushes, self._large_pushes)
        gevent.sleep(PUSH_MS / 1000)
        self._large_pushes -= is_large
        if not self.answering:
            gevent.sleep(timeout_ms / 1000)
            raise LinkError(Code.PEER_LOST, "no answer within the timeout")
        board = apply_change(self.boards[name], change)
        self.boards[name] = board or self.boards[name]
        return Published(self.boards[name].epoch, self.boards[name].version)


def create_receivers(context, count: int, board: Board, link_mbps: float = 5.0) -> None:
    """Create members that have a board, and the publisher of a new coordinator."""
    context.members = create_members(count)
    rows = create_initial_table(list(context.members.values()))
    context.rows = [row._replace(handover=f"{row.start:032x}") for row in rows]
    context.receivers = BoardReceivers(dict.fromkeys(context.members, board))
    context.receivers.members = context.members
    context.publisher = Publisher(
        "leader", context.receivers, Counters(), lambda: True, link_mbps
    )
    context.new_board = Board(
        2, 1, "n0:1", context.members, {"orders": mark_row(context.rows)}
    )


def mark_row(rows: list[Row]) -> list[Row]:
    """Return the rows, of which one has another token."""
    return [rows[0]._replace(token=rows[0].token + 1), *rows[1:]]


def wait_for_pushes(context) -> None:
    """Wait until all members have the version of the new board."""
    version = (context.new_board.epoch, context.new_board.version)
    boards = context.receivers.boards
    with gevent.Timeout(MAX_PUSHES_S, False):
        while any((b.epoch, b.version) != version for b in boards.values()):
            gevent.sleep(PUSH_MS / 1000)


@given("{count:d} members that have the board of a former coordinator")
def create_members_with_board(context, count: int) -> None:
    """Create members that have a whole board."""
    create_receivers(context, count, Board(0, 0, "", {}, {}))
    context.former = Board(1, 7, "n1:1", context.members, {"orders": context.rows})
    context.receivers.boards = dict.fromkeys(context.members, context.former)


@given(
    "{count:d} members that have no board, and a coordinator whose link has {mbps:d}"
    " Mbit/s"
)
def create_members_without_board(context, count: int, mbps: int) -> None:
    """Create members whose nodes have just started."""
    create_receivers(context, count, Board(0, 0, "", {}, {}), mbps)
    context.publisher.start_term(context.new_board._replace(members={}))
    context.publisher.publish(context.new_board._replace(version=2))
    context.new_board = context.new_board._replace(version=2)


@when("another node publishes its first board, in which one row has changed")
def publish_first_board(context) -> None:
    """Start the term of a successor that had the same board as the members."""
    context.publisher.start_term(context.new_board, [context.former])
    wait_for_pushes(context)


@when(
    "a node without a board publishes its first board, and all members renew their"
    " leases"
)
def publish_without_board(context) -> None:
    """Start the term of a restarted node, and answer renewals until all are current."""
    context.publisher.start_term(context.new_board._replace(members={}))
    context.publisher.publish(context.new_board._replace(version=2))
    context.new_board = context.new_board._replace(version=2)
    for member in context.members.values():
        board = context.receivers.boards[member.node_id]
        renew = Renew(member, board.epoch, board.version, 0, 0, [], [], [], 0)
        context.publisher.get_missing_change(renew)
    wait_for_pushes(context)


@when("another node publishes its first board, but no member answers for {wait_s:d} s")
def publish_unanswered(context, wait_s: int) -> None:
    """Start a term in which no push is answered, and push again at intervals."""
    context.receivers.answering = False
    context.publisher.start_term(context.new_board, [context.former])
    for _ in range(wait_s * 1000 // PUSH_RETRY_MS):
        gevent.sleep(PUSH_RETRY_MS / 1000)
        context.publisher.push_to_unreached()


@when("all of them renew their leases at once with the coordinator")
def renew_all(context) -> None:
    """Answer the renewals of all members, twice in short succession."""
    context.missing = []
    for _ in range(2):
        for member in context.members.values():
            renew = Renew(member, 0, 0, 0, 0, [], [], [], 0)
            context.missing.append(context.publisher.get_missing_change(renew))
        gevent.sleep(PUSH_MS / 1000)


@when("pushes to all of them have failed for {wait_s:d} s")
def fail_pushes(context, wait_s: int) -> None:
    """Let pushes fail for some time, as while the members are down."""
    context.receivers.answering = False
    gevent.sleep(wait_s)
    context.receivers.answering = True


@when(
    "one of them renews its lease twice, {wait_s:d} s apart, and pushes do not reach it"
)
def renew_unreached(context, wait_s: int) -> None:
    """Answer two renewals of a member beside pushes that fail."""
    context.receivers.answering = False
    renew = Renew(context.members["n1"], 0, 0, 0, 0, [], [], [], 0)
    assert context.publisher.get_missing_change(renew).follows
    gevent.sleep(wait_s)
    context.missing = context.publisher.get_missing_change(renew)


@then("the second answer has the whole board")
def check_whole_board(context) -> None:
    """Apply the change of the answer to an empty board."""
    change = context.missing.change
    assert change is not None
    assert apply_change(Board(0, 0, "", {}, {}), change) == context.new_board


@then("no answer has a board, and each says that the board follows")
def check_board_follows(context) -> None:
    """Check what the answers to renewals have."""
    assert all(missing == MissingChange(None, True) for missing in context.missing)


@then("at most {count:d} boards are on their way at any time")
def check_large_pushes(context, count: int) -> None:
    """Wait until all members have the board, and check the pushes meanwhile."""
    wait_for_pushes(context)
    assert context.receivers.max_large_pushes <= count, (
        context.receivers.max_large_pushes
    )


@then("all members have the new board")
def check_new_board(context) -> None:
    """Compare the boards of all members with that of the coordinator."""
    for board in context.receivers.boards.values():
        assert board == context.new_board


@then("fewer than {size:d} bytes of boards were sent")
def check_sent_bytes(context, size: int) -> None:
    """Check the bytes of all pushes together."""
    assert context.receivers.sent_bytes < size, context.receivers.sent_bytes
