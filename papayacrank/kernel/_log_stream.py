"""Bounded, non-blocking output of log lines."""

import json
import os
import time
from typing import TextIO

STDOUT_FD = 1
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 262_144
# Number and name of the log events that the streams write directly.
LINES_DROPPED = (1, "log_lines_dropped")
LINES_LOST = (2, "log_lines_lost")


def _format_count(event: tuple[int, str], count: int) -> str:
    number, name = event
    return json.dumps({"event": name, "number": number, "count": count}) + "\n"


class BoundedLogStream:
    """Writes lines to a file descriptor without blocking on its reader.

    Lines that exceed the rate limit or the buffer are dropped. Their number is written
    at the start of the next second in which a line is written.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    max_lines_per_s : int
        Maximum number of lines in one second of the monotonic clock.
    """

    def __init__(
        self,
        descriptor: int = STDOUT_FD,
        max_lines_per_s: int = MAX_LINES_PER_S,
    ):
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._pending = bytearray()
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of dropped lines that are not reported yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Append a line, or a part of one, to the buffer."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
            self._report_dropped()
        self._lines_in_second += 1
        buffer_full = len(self._pending) + len(text) > MAX_PENDING_BYTES
        if buffer_full or self._lines_in_second > self._max_lines_per_s:
            self._dropped += 1
            return
        self._pending += text.encode()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log; the process must keep running.
            self._pending.clear()

    def _report_dropped(self) -> None:
        if self._dropped:
            self._pending += _format_count(LINES_DROPPED, self._dropped).encode()
            self._dropped = 0


class GuardedLogStream:
    """Writes lines to a text stream and suppresses its errors.

    A log line that cannot be written must not fail the request that it describes.
    The number of lost lines is reported with the next line, once writing succeeds.

    Parameters
    ----------
    stream : file object
        Stream to write to.
    """

    def __init__(self, stream: TextIO):
        self._stream = stream
        self._lost = 0

    @property
    def lost(self) -> int:
        """Number of lost lines that are not reported yet."""
        return self._lost

    def write(self, text: str) -> None:
        """Write text; on an error, count it as lost."""
        try:
            if self._lost:
                self._stream.write(_format_count(LINES_LOST, self._lost))
                self._lost = 0
            self._stream.write(text)
        except (OSError, ValueError):
            # A closed stream raises ValueError, a broken pipe OSError.
            self._lost += 1

    def flush(self) -> None:
        """Flush the stream; on an error, count a line as lost."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1
