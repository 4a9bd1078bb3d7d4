"""The story of a request: its log lines from all nodes, and the likely cause."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from knapweedrock.codes import INFO, Code
from knapweedrock.errors import KnapweedrockError

LOOKBACK_S = 3.0
MAX_CONTEXT_LINES = 12
# Parts of a node whose log lines show how the node sees the rest of the mesh.
CONTEXT_PARTS = frozenset(
    {"coordinator", "target", "links", "following", "gateway", "node", "store"}
)
REQUEST_PART = "requests"
# A request that is sent more often than this has waited for an owner of its key.
MAX_ORDINARY_SENDS = 2
MOVE_MESSAGES = frozenset({"move begins", "keys given"})


class LogLine(NamedTuple):
    """One log line, with its time in seconds of the day."""

    time_s: float
    node: str
    fields: dict[str, Any]


class Story(NamedTuple):
    """Log lines about a request, and the likely cause of its result."""

    attempt_id: str
    request_lines: list[LogLine]
    context_lines: list[LogLine]
    cause: str


Explainer = Callable[[LogLine, list[LogLine]], str]
EXPLAINERS: dict[Code, Explainer] = {}


def explains(*codes: Code) -> Callable[[Explainer], Explainer]:
    """Register a function that explains failures with these codes."""

    def register(explainer: Explainer) -> Explainer:
        for code in codes:
            EXPLAINERS[code] = explainer
        return explainer

    return register


def read_log_files(paths: Iterable[Path]) -> list[LogLine]:
    """Read and parse log files; raises `REPORT_MALFORMED`."""
    texts: list[str] = []
    for path in paths:
        try:
            texts += path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise KnapweedrockError(Code.REPORT_MALFORMED, str(error)) from error
    return parse_lines(texts)


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines and sort them by time.

    Text before the JSON of a line is ignored; lines without valid JSON are skipped.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            time_s = parse_time(fields["time"])
        except (ValueError, KeyError, TypeError):
            continue
        lines.append(LogLine(time_s, fields.get("node", ""), fields))
    return sorted(lines, key=lambda line: line.time_s)


def parse_time(text: str) -> float:
    """Parse the time of a log line into seconds of the day."""
    hours, minutes, seconds = text.partition("T")[2].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def build_story(attempt_id: str, lines: list[LogLine]) -> Story | None:
    """Build the story of a request, or return None if no line names it."""
    request_lines = [
        line
        for line in lines
        if line.fields.get("part") == REQUEST_PART
        and line.fields.get("id") == attempt_id
    ]
    if not request_lines:
        return None
    context_lines = collect_context(request_lines, lines)
    return Story(
        attempt_id,
        request_lines,
        context_lines,
        explain_cause(request_lines, context_lines),
    )


def collect_context(
    request_lines: list[LogLine], lines: list[LogLine]
) -> list[LogLine]:
    """Return the other log lines of the request's nodes, from shortly before it."""
    first, last = request_lines[0].time_s, request_lines[-1].time_s
    nodes = {line.node for line in request_lines}
    nodes |= {line.fields.get("owner", "") for line in request_lines}
    matching = [
        line
        for line in lines
        if line.fields.get("part") in CONTEXT_PARTS
        and first - LOOKBACK_S <= line.time_s <= last
        and (line.node in nodes or line.fields.get("about", "") in nodes)
    ]
    return matching[-MAX_CONTEXT_LINES:]


def explain_cause(request_lines: list[LogLine], context_lines: list[LogLine]) -> str:
    """Explain the failure by the log line from the node nearest to the target."""
    failures = [line for line in request_lines if "failed" in line.fields["message"]]
    if not failures:
        return "The request was served."
    failure = next(
        (f for f in failures if f.fields["message"] == "delivery failed"), failures[-1]
    )
    code = Code[failure.fields["code"]]
    explain = EXPLAINERS.get(code)
    if explain is None:
        return INFO[code].meaning
    return explain(failure, context_lines)


def find_last_line(context_lines: list[LogLine], *messages: str) -> LogLine | None:
    """Return the last log line with one of the messages."""
    matching = [line for line in context_lines if line.fields["message"] in messages]
    return matching[-1] if matching else None


@explains(Code.OVERLOADED, Code.QUEUE_TIMEOUT)
def explain_overload(line: LogLine, context_lines: list[LogLine]) -> str:
    """Explain why a node refused a request for lack of capacity at its target."""
    fields = line.fields
    bounds = " while it was cold" if fields.get("cold") else ""
    if fields.get("limit") is not None:
        bounds += f" under the limit of {fields['limit']} requests a second that it set"
    objective_ms = fields.get("objective_ms", 0)
    limit = f"the {objective_ms} ms that remained of the objective"
    if objective_ms <= 0:
        limit = (
            f"its share of the {fields.get('remaining_ms')} ms that remained of the "
            "deadline; the objective had passed"
        )
    return (
        f"The target beside {line.node} was full{bounds}: {fields.get('in_flight')} "
        f"requests at it and {fields.get('waiting')} waiting, each taking "
        f"{fields.get('service_ms')} ms; the wait would have been longer than {limit}."
    )


@explains(
    Code.NOT_OWNER,
    Code.NO_OWNER,
    Code.MOVING,
    Code.LEAVING,
    Code.TARGET_FENCED,
    Code.ZONE_OUT,
)
def explain_move(line: LogLine, context_lines: list[LogLine]) -> str:
    """Explain a request that arrived while its key was between two owners."""
    change = find_last_line(
        context_lines,
        "move begins",
        "keys given",
        "target leaves",
        "target is down",
        "target announced itself",
        "zones out",
    )
    outage = find_last_line(context_lines, "coordinator not found", "term not renewed")
    is_moving = change is not None and change.fields["message"] in MOVE_MESSAGES
    if outage is not None and not is_moving:
        return (
            f"Key {line.fields.get('key')} had no holder: {outage.node} logged "
            f"'{outage.fields['message']}' ({outage.fields.get('reason')}), so "
            "leases and the holds under them were not renewed."
        )
    why = f" after '{change.fields['message']}'" if change else ""
    return (
        f"Key {line.fields.get('key')} was between two owners{why}: {line.node} had "
        f"board {line.fields.get('board')}, and its target must not serve the key."
    )


@explains(
    Code.TARGET_UNREACHABLE,
    Code.NO_LIVE_TARGET,
    Code.PEER_UNREACHABLE,
    Code.PEER_LOST,
)
def explain_loss(line: LogLine, context_lines: list[LogLine]) -> str:
    """Explain a request that could not reach its target or node."""
    loss = find_last_line(
        context_lines, "target is down", "target is silent", "link lost"
    )
    if loss is None:
        return f"{line.node} could not reach the node or target of the request."
    reason = loss.fields.get("reason") or loss.fields.get("target", "")
    return f"{loss.node} logged '{loss.fields['message']}' ({reason}) shortly before."


@explains(Code.ANSWER_LOST, Code.ANSWER_TRUNCATED, Code.DEADLINE_PASSED)
def explain_late(line: LogLine, context_lines: list[LogLine]) -> str:
    """Explain a request that got no complete response in time."""
    fields = line.fields
    return (
        f"The target received the request and sent no complete response in time "
        f"({fields.get('detail')}): {fields.get('in_flight', '?')} requests were at "
        f"it, each usually taking {fields.get('service_ms', '?')} ms; its last "
        f"heartbeat was {fields.get('heartbeat_ms', '?')} ms old."
    )


@explains(Code.DONE)
def explain_answer(line: LogLine, context_lines: list[LogLine]) -> str:
    """Explain a failure that is the target's own response."""
    fields = line.fields
    waited = ""
    if fields.get("sent", 1) > MAX_ORDINARY_SENDS:
        waited = f" It was sent {fields['sent']} times before a target accepted it."
    return (
        f"The target beside {fields.get('owner')} answered {fields.get('status')} "
        f"itself, {fields.get('ms')} ms after the request arrived and "
        f"{fields.get('left_ms')} ms before its deadline.{waited}"
    )


def format_story(story: Story) -> str:
    """Format a story as text for people."""
    output = [f"request {story.attempt_id}", "", "request log"]
    output += [format_line(line) for line in story.request_lines]
    output += ["", f"other log lines of these nodes from {LOOKBACK_S:g} s before"]
    output += [format_line(line) for line in story.context_lines] or ["  none"]
    output += ["", f"cause: {story.cause}"]
    return "\n".join(output)


def format_line(line: LogLine) -> str:
    """Format a log line."""
    hidden = ("time", "level", "part", "message", "node", "id")
    fields = line.fields
    rest = " ".join(f"{k}={v}" for k, v in fields.items() if k not in hidden)
    time_of_day = fields["time"].partition("T")[2]
    return f"  {time_of_day} {line.node} {fields['message']} {rest}"
