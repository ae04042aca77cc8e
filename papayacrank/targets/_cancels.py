"""Order between a cancel and later attempts with the same id."""

from ._exchange import Attempt, encode_cancel
from ._request import TargetRequest, TargetTimeouts

CANCEL_CHANNEL = "target-cancels"
CANCEL_TIMEOUT_MS = 1_000


class CancelBarrier:
    """Holds attempts back until the cancel of an earlier one has ended.

    A cancel travels on a connection of its own. Without the barrier it could arrive
    after a new attempt with the same id at the same engine, and end that one.
    """

    def __init__(self):
        self._key_by_cancel: dict[str, tuple[str, str]] = {}
        self._held: dict[tuple[str, str], list[Attempt]] = {}

    def begin(self, cancel_id: str, request: TargetRequest) -> TargetRequest:
        """Return the request that cancels `request`."""
        key = _key_of(request)
        self._key_by_cancel[cancel_id] = key
        self._held.setdefault(key, [])
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

    def hold(self, attempt: Attempt) -> bool:
        """Hold an attempt back if a cancel for its id is on its way."""
        held = self._held.get(_key_of(attempt.request))
        if held is None:
            return False
        held.append(attempt)
        return True

    def end(self, cancel_id: str) -> list[Attempt]:
        """Return the attempts that may start now that a cancel ended."""
        key = self._key_by_cancel.pop(cancel_id, None)
        if key is None or key in self._key_by_cancel.values():
            return []
        return self._held.pop(key)


def _key_of(request: TargetRequest) -> tuple[str, str]:
    return request.address, request.expected_id
