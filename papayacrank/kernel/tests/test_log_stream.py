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
    """Return all data that is available in a pipe."""
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def test_stalled_reader_does_not_block_the_process():
    """Guards against a process that blocks because its log is not read."""
    reader, writer = os.pipe()
    stream = BoundedLogStream(writer, max_lines_per_s=10**9)
    for _ in range(5_000):
        stream.write("x" * 200 + "\n")
        stream.flush()
    assert stream.dropped > 0
    assert read_all(reader).startswith(b"xxx")


def test_lines_over_the_rate_limit_are_dropped_and_counted():
    """Guards against logging that uses up the CPU under load."""
    reader, writer = os.pipe()
    stream = BoundedLogStream(writer, max_lines_per_s=10)
    for number in range(100):
        stream.write(f"{number}\n")
        stream.flush()
    lines = read_all(reader).splitlines()
    assert len(lines) + stream.dropped >= 100
    assert len(lines) <= 21


def test_closed_reader_raises_no_error():
    """Guards against a process that exits when the reader of its log exits."""
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


def test_lost_lines_are_reported_once_the_stream_recovers():
    """Guards against an unreported gap in the log."""

    class FailingStream(io.StringIO):
        failing = True

        def write(self, text):
            if self.failing:
                raise BrokenPipeError
            return super().write(text)

    output = FailingStream()
    stream = GuardedLogStream(output)
    stream.write("first\n")
    output.failing = False
    stream.write("second\n")
    report, line = output.getvalue().splitlines()
    assert json.loads(report)["count"] == 1
    assert line == "second"
    assert stream.lost == 0


def test_standard_error_is_guarded(monkeypatch):
    """Guards against programs that fail because standard error is closed."""
    closed = io.StringIO()
    closed.close()
    monkeypatch.setattr("sys.stderr", closed)
    configure_logging("test")
    log_event(ERROR)
