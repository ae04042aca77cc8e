"""Pauses that targets have asked this process for."""

from dataclasses import dataclass

from papayacrank.kernel import log_event

from ._events import TARGET_PAUSED

# An answer travels for some milliseconds after the target has set its time.
PAUSE_MARGIN_MS = 50
# After a pause, this many requests may be open at a target, twice as many with each
# answer, until the limit is lifted.
INITIAL_CONCURRENCY = 1
MAX_CONCURRENCY = 16
SLOW_START_MS = 1_000


@dataclass(slots=True)
class _Pause:
    until_ms: int
    concurrency_limit: int = INITIAL_CONCURRENCY


class TargetPauses:
    """Targets that want nothing from this process for a while.

    Answers targets that are overloaded: nothing reaches them until the end of the
    pause, and then requests return a few at a time.

    Parameters
    ----------
    max_pause_ms : int
        Bound on what one answer may ask for.
    """

    def __init__(self, max_pause_ms: int):
        self._max_pause_ms = max_pause_ms
        self._pauses: dict[str, _Pause] = {}
        self._unreported: dict[str, int] = {}

    def on_pause_requested(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Note that a target has asked this process for a pause.

        Parameters
        ----------
        pause_ms : int
            Time from now, in milliseconds.
        """
        self._unreported[name] = self._extend(name, pause_ms, now_ms, "answer")

    def on_pause_reported(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Note a pause that another process of this machine was asked for."""
        self._extend(name, pause_ms, now_ms, "leader")

    def take_unreported(self, now_ms: int) -> list[tuple[str, int]]:
        """Return each pause asked for since the last call, with the time left."""
        unreported, self._unreported = self._unreported, {}
        return [
            (name, end - now_ms) for name, end in unreported.items() if end > now_ms
        ]

    def _extend(self, name: str, pause_ms: int, now_ms: int, source: str) -> int:
        """Extend the pause of a target and return its end."""
        capped_ms = min(pause_ms, self._max_pause_ms)
        until_ms = now_ms + capped_ms + PAUSE_MARGIN_MS
        known = self._pauses.get(name)
        if known is not None and known.until_ms > now_ms:
            until_ms = max(until_ms, known.until_ms)
        self._pauses[name] = _Pause(until_ms)
        log_event(
            TARGET_PAUSED,
            target=name,
            asked_ms=pause_ms,
            for_ms=capped_ms,
            asked_by=source,
        )
        return until_ms

    def may_send(self, name: str, running: int, now_ms: int) -> bool:
        """Whether a target may get a request now.

        Parameters
        ----------
        running : int
            Requests of this process that are open at the target.
        """
        pause = self._pauses.get(name)
        if pause is None:
            return True
        if now_ms < pause.until_ms:
            return False
        if now_ms >= pause.until_ms + SLOW_START_MS:
            del self._pauses[name]
            return True
        return running < pause.concurrency_limit

    def pause_end_ms(self, name: str, now_ms: int) -> int | None:
        """Return when the pause of a target ends; None if it has none now."""
        pause = self._pauses.get(name)
        if pause is None or now_ms >= pause.until_ms:
            return None
        return pause.until_ms

    def on_success(self, name: str, now_ms: int) -> None:
        """Note an answer other than a refusal or failure."""
        pause = self._pauses.get(name)
        if pause is None or now_ms < pause.until_ms:
            return
        pause.concurrency_limit *= 2
        if pause.concurrency_limit > MAX_CONCURRENCY:
            del self._pauses[name]

    def forget(self, name: str) -> None:
        """Drop what is known about a target that is gone."""
        self._pauses.pop(name, None)
