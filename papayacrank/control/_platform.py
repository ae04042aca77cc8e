"""Reads the platform's list of live and leaving targets."""

import msgspec

from papayacrank.messages import ObserveTargets, TargetStatus
from papayacrank.state import StateMachine

from ._effects import HttpCall, HttpResult

# A page of 3,300 targets at about 300 bytes each, four times over.
MAX_LIST_BYTES = 4 * 1024 * 1024
PLATFORM_KEY = "platform"
MAX_LISTED_TARGETS = 10_000


class PlatformList:
    """Decides when to read the list, and whether it has changed.

    Parameters
    ----------
    url : str or None
        Where the list is published; None if there is none.
    interval_ms : int
        Time between two readings.
    machine : StateMachine
        Holds the last list.
    """

    def __init__(self, url: str | None, interval_ms: int, machine: StateMachine):
        self._url = url
        self._interval_ms = interval_ms
        self._machine = machine
        self._next_ms = 0
        self._waiting = False

    def reset(self) -> None:
        """Start anew after an election."""
        self._next_ms = 0
        self._waiting = False

    def poll(self, now_ms: int) -> list[HttpCall]:
        """Read the list if it is due."""
        if self._url is None or self._waiting or now_ms < self._next_ms:
            return []
        self._waiting = True
        self._next_ms = now_ms + self._interval_ms
        return [HttpCall(PLATFORM_KEY, "GET", self._url, max_bytes=MAX_LIST_BYTES)]

    def handle(self, result: HttpResult) -> ObserveTargets | str | None:
        """Handle an answer.

        Returns
        -------
        ObserveTargets, str or None
            Command if the list has changed, an explanation if it is unusable.
        """
        self._waiting = False
        if result.status != 200:
            return result.error or f"status {result.status}"
        try:
            targets = msgspec.json.decode(result.body, type=list[TargetStatus])
        except msgspec.DecodeError as error:
            return str(error)
        if len(targets) > MAX_LISTED_TARGETS:
            return f"more than {MAX_LISTED_TARGETS} targets"
        targets = sorted(targets, key=lambda item: item.target)
        if targets == self._machine.targets.targets:
            return None
        return ObserveTargets(targets)
