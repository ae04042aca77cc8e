"""Trials that the leader has granted, without I/O."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# A trial whose end is not heard of within this time is lost with its instance. A
# response to a long prompt is begun within some seconds.
TRIAL_LEASE_MS = 6_000
MAX_TRIALS = 2_000

MAX_LOST = 256

TrialKey = tuple[str, int]


@dataclass(slots=True)
class Trial:
    """Request that was sent although parts of it are suspected.

    `suspected` are these parts. `is_exclusive` is set if no other such trial may run
    at the same time. `crash` is the number of the crash that ended the trial; it is
    kept until the crash is decided, so that no other trial of the parts starts.
    """

    instance: str
    number: int
    workspace: str
    suspected: frozenset[str]
    granted_ms: int
    is_exclusive: bool
    crash: int = 0

    @property
    def key(self) -> TrialKey:
        """Instance and number of the trial."""
        return self.instance, self.number


class TrialTable:
    """Running trials, at most one for each suspected part."""

    def __init__(self):
        self._trials: dict[TrialKey, Trial] = {}
        self._by_part: dict[str, TrialKey] = {}
        # Trials whose end is unknown, with the time at which they were given up.
        self._lost: deque[tuple[Trial, int]] = deque(maxlen=MAX_LOST)

    def __len__(self) -> int:
        return len(self._trials)

    def clear(self) -> None:
        """Forget all trials."""
        self._trials.clear()
        self._by_part.clear()
        self._lost.clear()

    def get(self, key: TrialKey) -> Trial | None:
        """Return a running trial, None if it is not known."""
        return self._trials.get(key)

    def is_free(self, suspected: Iterable[str], is_exclusive: bool) -> bool:
        """Return whether a trial of parts may start."""
        if len(self._trials) >= MAX_TRIALS:
            return False
        if is_exclusive and any(t.is_exclusive for t in self._trials.values()):
            return False
        return not any(name in self._by_part for name in suspected)

    def start(self, trial: Trial) -> None:
        """Record a trial that was granted."""
        self._trials[trial.key] = trial
        for name in trial.suspected:
            self._by_part[name] = trial.key

    def end(self, key: TrialKey) -> Trial | None:
        """Remove a trial; None if it is not known."""
        trial = self._trials.pop(key, None)
        if trial is not None:
            for name in trial.suspected:
                if self._by_part.get(name) == key:
                    del self._by_part[name]
        return trial

    def list_open(self, crashed_ms: int) -> list[Trial]:
        """Return the trials from before a crash that may still be part of it."""
        return [
            trial
            for trial in self._trials.values()
            if not trial.crash and trial.granted_ms < crashed_ms
        ]

    def list_lost(self, crashed_ms: int) -> list[Trial]:
        """Return the trials that may have ended by a crash that nobody reported."""
        return [
            trial
            for trial, lost_ms in self._lost
            if trial.granted_ms < crashed_ms <= lost_ms
        ]

    def of_part(self, name: str) -> Trial | None:
        """Return the running trial of a part, None if there is none."""
        key = self._by_part.get(name)
        return self._trials.get(key) if key is not None else None

    def pop_of_crash(self, crash: int) -> list[Trial]:
        """Remove and return the trials that a crash has ended."""
        ended = [trial for trial in self._trials.values() if trial.crash == crash]
        for trial in ended:
            self.end(trial.key)
        return ended

    def pop_lost(self, now_ms: int) -> list[Trial]:
        """Remove and return the trials whose lease has ended."""
        lost = [
            trial
            for trial in self._trials.values()
            if not trial.crash and now_ms - trial.granted_ms >= TRIAL_LEASE_MS
        ]
        self._lose(lost, now_ms)
        return lost

    def pop_replaced(self, instance: str, now_ms: int) -> list[Trial]:
        """Remove and return the trials of earlier starts of an instance."""
        if not self._trials:
            return []
        name, boot = _split(instance)
        replaced = [
            trial
            for trial in self._trials.values()
            if not trial.crash
            and _split(trial.instance)[0] == name
            and _split(trial.instance)[1] < boot
        ]
        self._lose(replaced, now_ms)
        return replaced

    def _lose(self, trials: list[Trial], now_ms: int) -> None:
        for trial in trials:
            self.end(trial.key)
            self._lost.append((trial, now_ms))


def _split(instance: str) -> tuple[str, int]:
    """Return the name of an instance and the number of its start, 0 if it has none."""
    name, _, boot = instance.partition("@")
    return name, int(boot) if boot.isdecimal() else 0
