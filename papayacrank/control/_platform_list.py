"""Polling of the platform's list of live and leaving targets."""

import msgspec

from papayacrank.messages import ObserveTargets, TargetStatus
from papayacrank.state import StateMachine

from ._effects import HttpCall, HttpResult
from ._open_call import OpenCall

# Four times the size of a list of 3,300 targets at about 300 bytes each.
MAX_LIST_BYTES = 4 * 1024 * 1024
PLATFORM_LIST_KEY = "platform"
MAX_LISTED_TARGETS = 10_000


class PlatformListPoller:
    """Polls the list and detects changes.

    Parameters
    ----------
    url : str or None
        URL of the list; None disables polling.
    interval_ms : int
        Time between two reads.
    machine : StateMachine
        Replicated state, which contains the last list.
    """

    def __init__(self, url: str | None, interval_ms: int, machine: StateMachine):
        self._url = url
        self._interval_ms = interval_ms
        self._machine = machine
        self._next_ms = 0
        self._call = OpenCall()

    def reset(self) -> None:
        """Discard the polling state after an election."""
        self._next_ms = 0
        self._call = OpenCall()

    def poll(self, now_ms: int) -> list[HttpCall]:
        """Return the call that reads the list, if it is due."""
        if self._url is None or now_ms < self._next_ms or self._call.is_open(now_ms):
            return []
        self._next_ms = now_ms + self._interval_ms
        call = HttpCall(PLATFORM_LIST_KEY, "GET", self._url, max_bytes=MAX_LIST_BYTES)
        return [self._call.begin(call, now_ms)]

    def handle(self, result: HttpResult) -> ObserveTargets | str | None:
        """Handle the result of a call.

        Returns
        -------
        ObserveTargets, str or None
            Command if the list has changed, the reason if it could not be read, None if
            it is unchanged.
        """
        if not self._call.end(result):
            return None
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
