"""Steps about writers that race on the platform, and writes that are lost."""

import json
import time

import gevent
from behave import given, then, when
from hypothesis import strategies as st

from features.support.builders_platform import create_test_client
from features.support.examples import feed_examples
from features.support.platform_writer import OBJECT
from features.support.processes import start_child
from features.support.servers import read_platform_stats, set_platform_faults
from knapweedrock.codes import Code
from knapweedrock.platform.writes import Fate, History, Write, find_version, judge_write

END_TIMEOUT_S = 10


@when(
    "{count:d} processes with {writers:d} writers each increment one object for {s:d} s"
)
def start_writers(context, count, writers, s):
    """Start the writers as processes."""
    context.seconds = s
    context.writers = [
        start_child(
            context,
            f"w{index}",
            [context.address, f"w{index}", str(writers), str(s)],
            "features.support.platform_writer",
        )
        for index in range(count)
    ]


def lose_writes(context):
    """Lose calls and answers."""
    set_platform_faults(context.address, lose_answers=2, lose_calls=2)
    time.sleep(0.04)


def alternate_faults(context):
    """Alternate outages, losses and delays."""
    losses = {"lose_answers": 3, "lose_calls": 3}
    for turn in ({"outage": True}, losses, {"delay_ms": 300}, {}):
        set_platform_faults(context.address, **turn)
        time.sleep(0.3)


def pause_writers(context):
    """Pause each writer past its deadlines, with losses on top."""
    for writer in context.writers:
        set_platform_faults(context.address, lose_answers=2, lose_calls=2)
        writer.pause()
        time.sleep(0.3)
        writer.resume()
        time.sleep(0.1)


TROUBLES = {
    "calls and answers are lost": lose_writes,
    "outages, delays and losses take turns": alternate_faults,
    "the writers' processes are paused by turns": pause_writers,
}


@when("meanwhile {trouble}")
def make_trouble(context, trouble):
    """Provoke faults until the writers have ended."""
    turns = 0
    while any(writer.is_running() for writer in context.writers):
        TROUBLES[trouble](context)
        turns += 1
    assert turns > 1, "the writers ended before any trouble"
    set_platform_faults(context.address)


@then("the history shows each applied increment once, in order of versions")
def check_history(context):
    """Compare what the writers were told with what is stored."""
    set_platform_faults(context.address)
    for writer in context.writers:
        assert writer.process.wait(END_TIMEOUT_S) == 0, writer.read_tail()
    lines = [line for w in context.writers for line in w.log.read_text().splitlines()]
    records = [json.loads(line) for line in lines]
    stored = context.client.get(OBJECT)
    assert len(set(stored.value)) == len(stored.value) == stored.version
    by_result = {"applied": [], "never": [], "open": []}
    for record in records:
        by_result[record["result"]].append(record)
    for record in by_result["applied"]:
        assert stored.value[record["version"] - 1] == record["tag"], record
    never = {record["tag"] for record in by_result["never"]}
    assert not never & set(stored.value), never & set(stored.value)
    assert len(by_result["applied"]) > 50, by_result
    assert set(stored.value) <= {record["tag"] for record in records}
    context.counts = {result: len(found) for result, found in by_result.items()}
    print(context.counts, read_platform_stats(context.address)["endings"])


@then("calls and answers were lost and settled")
def check_lost(context):
    """Check that the fault was there and left little open."""
    endings = read_platform_stats(context.address)["endings"]
    assert min(endings["lost_answers"], endings["lost_calls"]) > 50, endings
    assert context.counts["open"] < context.counts["applied"] / 10, context.counts


@given("an object at version 1")
def write_object(context):
    """Write one object."""
    context.client.put("x", "old", 0)


@when("two writers write the same value at version 1 and the first answer is lost")
def race_same_value(context):
    """Write the same value by two clients."""
    other = create_test_client(context.address, "n2")
    set_platform_faults(context.address, lose_answers=1)
    tasks = [gevent.spawn(c.put, "x", "same", 1) for c in (context.client, other)]
    gevent.joinall(tasks)
    context.ends = [
        (task.value, getattr(task.exception, "code", None)) for task in tasks
    ]


@then("one write is applied and the other is a conflict")
def check_one_applied(context):
    """Check that exactly one of both was told that it won."""
    won = ((2, "same"), None)
    lost = (None, Code.PLATFORM_CONFLICT)
    assert context.ends in ([won, lost], [lost, won]), context.ends


@when("the {what} of a write is lost and {count:d} others follow before the read back")
def bury_write(context, what, count):
    """Let others write between a lost call or answer and the read back."""
    other = create_test_client(context.address, "n2")
    settle = context.client._settle

    def settle_late(*arguments):
        for _ in range(count):
            found = other.get("x")
            other.put("x", "mine", found.version)
        return settle(*arguments)

    context.client._settle = settle_late
    context.client.get("x")
    set_platform_faults(context.address, **{f"lose_{what}s": 1})
    context.task = gevent.spawn(context.client.put, "x", "mine", 1)
    context.task.join()


@then("the write is known to have made version {version:d}")
def check_found(context, version):
    """Check the version that the settled write made."""
    assert context.task.get() == (version, "mine")


@then("the write fails with {name}")
def check_failed(context, name):
    """Check what the writer was told."""
    assert context.task.exception.code == Code[name], context.task.exception


@then("the judgement agrees with random histories of writes")
def check_judgement(context):
    """Compare the judgement with what truly happened."""
    step = st.tuples(st.integers(0, 2), st.booleans(), st.booleans())

    def judge(steps):
        histories = [History() for _ in range(3)]
        version, writes, applied, refused = 0, [], {}, []
        for number, (writer, reads, behind) in enumerate(steps):
            if reads:
                histories[writer].remember("x", version, writes)
            expected = max(0, version - 1) if behind else version
            write = Write(f"{writer}.{number}", expected)
            stored = histories[writer].continue_from("x", write)
            if expected != version:
                refused.append(write)
                continue
            version, writes = version + 1, stored
            applied[write] = version
        for write, made in applied.items():
            fate = judge_write(write, version, writes)
            assert fate is not Fate.NEVER
            if fate is Fate.APPLIED:
                assert find_version(write, version, writes) == made
        for write in refused:
            assert judge_write(write, version, writes) is not Fate.APPLIED

    feed_examples(judge, st.lists(step, max_size=60))
