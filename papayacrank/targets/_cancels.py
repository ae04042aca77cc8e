"""Ordering of a cancel request before later attempts with the same ID."""

from ._exchange import Attempt, encode_cancel
from ._request import TargetRequest, TargetTimeouts

CANCEL_CHANNEL = "target-cancels"
CANCEL_TIMEOUT_MS = 1_000


class CancelBarrier:
    """Defers attempts until the cancel request of an earlier one has ended.

    A cancel request uses a separate connection. Without the barrier, it could reach
    the engine after a new attempt with the same ID and cancel that attempt instead.
    """

    def __init__(self):
        self._key_by_cancel_id: dict[str, tuple[str, str]] = {}
        self._deferred: dict[tuple[str, str], list[Attempt]] = {}

    def start_cancel(self, cancel_id: str, request: TargetRequest) -> TargetRequest:
        """Start to defer attempts with the ID of `request`.

        Returns
        -------
        TargetRequest
            Request that cancels `request`.
        """
        key = _cancel_key(request)
        self._key_by_cancel_id[cancel_id] = key
        self._deferred.setdefault(key, [])
        return TargetRequest(
            cancel_id,
            CANCEL_CHANNEL,
            request.address,
            "POST",
            request.cancel_path,
            headers=(("Content-Type", "application/json"),),
            body=encode_cancel(request),
            timeouts=TargetTimeouts(*[CANCEL_TIMEOUT_MS] * 4),
        )

    def defer(self, attempt: Attempt) -> bool:
        """Defer an attempt if a cancel request for its ID is in flight.

        Returns
        -------
        bool
            Whether the attempt was deferred.
        """
        deferred = self._deferred.get(_cancel_key(attempt.request))
        if deferred is None:
            return False
        deferred.append(attempt)
        return True

    def finish_cancel(self, cancel_id: str) -> list[Attempt]:
        """Return the deferred attempts that may start after a cancel request ended."""
        key = self._key_by_cancel_id.pop(cancel_id, None)
        if key is None or key in self._key_by_cancel_id.values():
            return []
        return self._deferred.pop(key)


def _cancel_key(request: TargetRequest) -> tuple[str, str]:
    return request.address, request.expected_id
