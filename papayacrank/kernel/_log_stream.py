"""Output of log lines that is bounded and never blocks."""

import json
import os
import time
from typing import TextIO

STANDARD_OUTPUT = 1
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 262_144
# Number and name of the lines that the streams write themselves.
LINES_DROPPED = (1, "log_lines_dropped")
LINES_LOST = (2, "log_lines_lost")


def _format_count(event: tuple[int, str], count: int) -> str:
    number, name = event
    return json.dumps({"event": name, "number": number, "count": count}) + "\n"


class BoundedLogStream:
    """Writes lines to a descriptor without waiting for its reader.

    Lines beyond the rate or the buffer are dropped; their number is written as soon
    as there is room again.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to; it is made non-blocking.
    max_lines_per_s : int
        Lines in any one second.
    """

    def __init__(
        self,
        descriptor: int = STANDARD_OUTPUT,
        max_lines_per_s: int = MAX_LINES_PER_S,
    ):
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._pending = bytearray()
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last report of it."""
        return self._dropped

    def write(self, text: str) -> None:
        """Take one line, with or without its end."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._report_dropped()
        self._lines += 1
        full = len(self._pending) + len(text) > MAX_PENDING_BYTES
        if full or self._lines > self._max_lines_per_s:
            self._dropped += 1
            return
        self._pending += text.encode()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; the process must go on.
            self._pending.clear()

    def _report_dropped(self) -> None:
        if self._dropped:
            self._pending += _format_count(LINES_DROPPED, self._dropped).encode()
            self._dropped = 0


class GuardedLogStream:
    """Writes lines to a text stream and survives its failure.

    A log line that cannot be written must not fail the request that it describes.
    The number of lost lines is written once the stream takes lines again.

    Parameters
    ----------
    stream : file object
        Receiver of the lines.
    """

    def __init__(self, stream: TextIO):
        self._stream = stream
        self._lost = 0

    @property
    def lost(self) -> int:
        """Number of lines lost since the last report of it."""
        return self._lost

    def write(self, text: str) -> None:
        """Write text, or count it as lost."""
        try:
            if self._lost:
                self._stream.write(_format_count(LINES_LOST, self._lost))
                self._lost = 0
            self._stream.write(text)
        except (OSError, ValueError):
            # A closed stream raises ValueError, a broken one OSError.
            self._lost += 1

    def flush(self) -> None:
        """Pass written text on."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1
