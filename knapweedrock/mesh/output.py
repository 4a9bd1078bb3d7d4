"""Non-blocking log output: a bounded queue that one task writes to standard output."""

import errno
import os
import stat
import sys
from collections import deque

import gevent
import logbook
import msgspec
from gevent.event import Event
from gevent.socket import wait_write

MAX_QUEUED_LINES = 4000
FLUSH_DELAY_S = 0.05
WRITE_TIMEOUT_S = 0.5
BATCH_LINES = 200
LINE_FEED = b"\n"


class OutputHandler(logbook.Handler):
    """Log handler that writes records as JSON lines from a separate task.

    If the reader of the output is too slow, the handler drops and counts the oldest
    lines, and reports the count with the next lines that it writes.
    """

    def __init__(
        self, descriptor: int, node_id: str, level: int = logbook.INFO
    ) -> None:
        super().__init__(level)
        self._node_id = node_id
        self.dropped_count = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._lines_available = Event()
        self._unwritten = b""
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)
        gevent.spawn(self._run)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record, which the task writes later."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._lines.popleft()
            self.dropped_count += 1
        self._lines.append(encode_record(record, self._node_id))
        self._lines_available.set()

    def flush_now(self) -> None:
        """Write queued lines for as long as the reader accepts them at once."""
        while self._unwritten or self._lines:
            try:
                self._write_batch()
            except OSError:
                return

    def _run(self) -> None:
        while True:
            self._lines_available.wait()
            self._lines_available.clear()
            gevent.sleep(FLUSH_DELAY_S)
            while self._unwritten or self._lines:
                self._flush_batch()

    def _flush_batch(self) -> None:
        try:
            self._write_batch()
        except BlockingIOError:
            try:
                wait_write(self._descriptor, timeout=WRITE_TIMEOUT_S)
            except OSError:
                gevent.sleep(WRITE_TIMEOUT_S)
        except OSError as error:
            if error.errno != errno.EPIPE:
                raise
            # The reader has closed the pipe, so the queued lines are dropped.
            self.dropped_count += len(self._lines)
            self._lines.clear()
            self._unwritten = b""

    def _write_batch(self) -> None:
        if not self._unwritten:
            self._unwritten = self._dequeue_batch()
        sent = os.write(self._descriptor, self._unwritten)
        self._unwritten = self._unwritten[sent:]

    def _dequeue_batch(self) -> bytes:
        lines = []
        if self.dropped_count:
            lines.append(
                msgspec.json.encode(
                    {"message": "lines left out", "count": self.dropped_count}
                )
            )
            self.dropped_count = 0
        while self._lines and len(lines) < BATCH_LINES:
            lines.append(self._lines.popleft())
        return LINE_FEED.join(lines) + LINE_FEED


def encode_record(record: logbook.LogRecord, node_id: str) -> bytes:
    """Encode a record as a JSON object; its keyword arguments become fields."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "node": node_id,
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
        **record.kwargs,
    }
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields, enc_hook=str)


def create_output(node_id: str) -> OutputHandler:
    """Create the handler that writes a node's log to standard output."""
    return OutputHandler(sys.stdout.fileno(), node_id)
