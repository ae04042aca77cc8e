"""Output of log lines that is bounded and never blocks."""

import json
import os
import time

STANDARD_OUTPUT = 1
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 262_144


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
            line = {"event": "log_lines_dropped", "number": 1, "count": self._dropped}
            self._pending += json.dumps(line).encode() + b"\n"
            self._dropped = 0
