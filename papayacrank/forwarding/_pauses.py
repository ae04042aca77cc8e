"""Pauses that targets request under overload, followed by a slow start."""

from dataclasses import dataclass

from papayacrank.kernel import log_event

from ._events import TARGET_PAUSED

# A response arrives some milliseconds after the target computed the pause.
PAUSE_MARGIN_MS = 50
# After a pause, the number of open requests at a target is limited. The limit doubles
# with each response, and is kept until it exceeds MAX_CONCURRENCY or SLOW_START_MS
# have passed.
INITIAL_CONCURRENCY = 1
MAX_CONCURRENCY = 16
SLOW_START_MS = 1_000


@dataclass(slots=True)
class _Pause:
    until_ms: int
    concurrency_limit: int = INITIAL_CONCURRENCY


class TargetPauses:
    """Pauses of overloaded targets.

    A paused target gets no requests until the pause ends, and then a slowly growing
    number of them, so that it is not overloaded again at once.

    Parameters
    ----------
    max_pause_ms : int
        Limit in milliseconds on the pause that one response may request.
    """

    def __init__(self, max_pause_ms: int):
        self._max_pause_ms = max_pause_ms
        self._pauses: dict[str, _Pause] = {}
        self._unreported: dict[str, int] = {}

    def on_pause_requested(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Record a pause that a target requested in a response to this process.

        Parameters
        ----------
        name : str
            Target.
        pause_ms : int
            Duration from now in milliseconds.
        now_ms : int
            Current time in milliseconds.
        """
        self._unreported[name] = self._extend(name, pause_ms, now_ms, "answer")

    def on_pause_reported(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Record a pause requested from another process of this machine."""
        self._extend(name, pause_ms, now_ms, "leader")

    def take_unreported(self, now_ms: int) -> list[tuple[str, int]]:
        """Return target and remaining time of each pause requested since last call."""
        unreported, self._unreported = self._unreported, {}
        return [
            (name, end - now_ms) for name, end in unreported.items() if end > now_ms
        ]

    def _extend(self, name: str, pause_ms: int, now_ms: int, source: str) -> int:
        """Extend the pause of a target and return its end."""
        capped_ms = min(pause_ms, self._max_pause_ms)
        until_ms = now_ms + capped_ms + PAUSE_MARGIN_MS
        current = self._pauses.get(name)
        if current is not None and current.until_ms > now_ms:
            until_ms = max(until_ms, current.until_ms)
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
        name : str
            Target.
        running : int
            Number of requests of this process that are open at the target.
        now_ms : int
            Current time in milliseconds.
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
        """Return the end of the current pause of a target; None if not paused."""
        pause = self._pauses.get(name)
        if pause is None or now_ms >= pause.until_ms:
            return None
        return pause.until_ms

    def on_success(self, name: str, now_ms: int) -> None:
        """Record a response that is neither a refusal nor a failure."""
        pause = self._pauses.get(name)
        if pause is None or now_ms < pause.until_ms:
            return
        pause.concurrency_limit *= 2
        if pause.concurrency_limit > MAX_CONCURRENCY:
            del self._pauses[name]

    def forget(self, name: str) -> None:
        """Remove the pause of a target that was removed."""
        self._pauses.pop(name, None)
