"""State machine of a planned stop."""

from enum import Enum

# Other instances may apply the feed that omits this one a little later than it does.
FEED_PROPAGATION_MS = 500


class DrainState(Enum):
    """Progress of a planned stop."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Drain:
    """Decides when a draining process may stop.

    The process keeps serving until all route responses that list it have expired and
    its requests have ended. Route responses list it until the feed no longer does;
    without control contact, this is assumed once its lease has expired.

    Parameters
    ----------
    lease_ms : int
        Time without heartbeats after which the control group considers an instance
        lost, in milliseconds.
    """

    def __init__(self, lease_ms: int):
        self._lease_ms = lease_ms
        self._state = DrainState.SERVING
        self._announced_ms = 0
        self._delisted_ms = 0

    @property
    def state(self) -> DrainState:
        """Progress of the stop."""
        return self._state

    @property
    def is_draining(self) -> bool:
        """Whether the process has started to stop."""
        return self._state is not DrainState.SERVING

    def begin(self, now_ms: int) -> None:
        """Start draining; a second call has no effect."""
        if self._state is DrainState.SERVING:
            self._state = DrainState.ANNOUNCED
            self._announced_ms = now_ms

    def update(
        self, now_ms: int, is_delisted: bool, keep_ms: int, open_requests: int
    ) -> DrainState:
        """Advance the stop and return its state.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        is_delisted : bool
            Whether the feed no longer lists this instance as serving.
        keep_ms : int
            Time for which callers may keep a route response, in milliseconds.
        open_requests : int
            Number of requests and action records that are not finished.
        """
        if self._state is DrainState.ANNOUNCED:
            lease_over = now_ms - self._announced_ms >= self._lease_ms
            if is_delisted or lease_over:
                self._state = DrainState.LEAVING
                self._delisted_ms = now_ms
        if self._state is DrainState.LEAVING:
            expired_ms = self._delisted_ms + FEED_PROPAGATION_MS + keep_ms
            if now_ms >= expired_ms and open_requests == 0:
                self._state = DrainState.STOPPED
        return self._state
