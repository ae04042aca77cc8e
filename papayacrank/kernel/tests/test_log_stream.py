"""Tests of the bounded output of log lines."""

import os

from papayacrank.kernel import BoundedLogStream


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
