"""Tests of the bounded output of log lines."""

import io
import json
import os

from papayacrank.kernel import (
    BoundedLogStream,
    GuardedLogStream,
    LogEvent,
    configure_logging,
    log_event,
)

ERROR = LogEvent(1, "example", "error", "An example.")


def read_all(descriptor):
    """Return everything in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while piece := os.read(descriptor, 65_536):
            data += piece
    except BlockingIOError:
        pass
    return data


def test_reader_that_stops_does_not_block_the_process():
    """Guards against a process that stands still because nobody reads its log."""
    reader, writer = os.pipe()
    stream = BoundedLogStream(writer, max_lines_per_s=10**9)
    for _ in range(5_000):
        stream.write("x" * 200 + "\n")
        stream.flush()
    assert stream.dropped > 0
    assert read_all(reader).startswith(b"xxx")


def test_lines_beyond_the_rate_are_dropped_and_counted():
    """Guards against a log that takes the processor under load."""
    reader, writer = os.pipe()
    stream = BoundedLogStream(writer, max_lines_per_s=10)
    for number in range(100):
        stream.write(f"{number}\n")
        stream.flush()
    lines = read_all(reader).splitlines()
    assert len(lines) + stream.dropped >= 100
    assert len(lines) <= 21


def test_closed_reader_is_no_error():
    """Guards against a process that ends with the reader of its log."""
    reader, writer = os.pipe()
    stream = BoundedLogStream(writer)
    os.close(reader)
    stream.write("x\n")
    stream.flush()


def test_closed_stream_does_not_fail_the_caller():
    """Guards against a request that fails because its log line cannot be written."""
    closed = io.StringIO()
    closed.close()
    stream = GuardedLogStream(closed)
    configure_logging("test", stream=stream)
    log_event(ERROR)
    assert stream.lost > 0


def test_lines_lost_are_counted_once_the_stream_works_again():
    """Guards against a gap in the log that nobody sees."""

    class Failing(io.StringIO):
        failing = True

        def write(self, text):
            if self.failing:
                raise BrokenPipeError
            return super().write(text)

    target = Failing()
    stream = GuardedLogStream(target)
    stream.write("first\n")
    target.failing = False
    stream.write("second\n")
    report, line = target.getvalue().splitlines()
    assert json.loads(report)["count"] == 1
    assert line == "second"
    assert stream.lost == 0


def test_standard_error_is_guarded(monkeypatch):
    """Guards against programs that use a broken standard error as it is."""
    closed = io.StringIO()
    closed.close()
    monkeypatch.setattr("sys.stderr", closed)
    configure_logging("test")
    log_event(ERROR)
