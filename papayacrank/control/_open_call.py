"""Call of the leader whose result is awaited."""

from papayacrank.kernel import log_event

from ._effects import HttpCall, HttpResult
from ._events import CALL_RESULT_LOST

# A process that is slow may handle the result of a call later than its time limit.
RESULT_MARGIN_MS = 1_000


class OpenCall:
    """State of one call, which is open from its begin to its result.

    A result may never arrive: the step that made the call may fail before the call is
    sent, and so may the handling of the result. The call then counts as lost after its
    time limit, and its owner can make it again.
    """

    __slots__ = ("_key", "_lost_at_ms")

    def __init__(self):
        self._key: str | None = None
        self._lost_at_ms = 0

    @property
    def is_awaited(self) -> bool:
        """Whether there was no result yet, in time or not."""
        return self._key is not None

    def begin(self, call: HttpCall, now_ms: int) -> HttpCall:
        """Await the result of a call; return the call."""
        self._key = call.key
        self._lost_at_ms = now_ms + call.timeout_ms + RESULT_MARGIN_MS
        return call

    def end(self, result: HttpResult) -> bool:
        """Return whether a result is the awaited one, which ends the call."""
        is_result = result.key == self._key
        if is_result:
            self._key = None
        return is_result

    def is_open(self, now_ms: int) -> bool:
        """Return whether the result may still arrive; give up one that is overdue."""
        if self._key is not None and now_ms >= self._lost_at_ms:
            log_event(CALL_RESULT_LOST, key=self._key)
            self._key = None
        return self._key is not None
