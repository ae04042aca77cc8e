"""Search for the requests and parts that explain crashes, without I/O."""

from collections import Counter
from collections.abc import Iterable

from ._names import is_request
from ._suspicions import Crash, Suspect, Suspicion, SuspicionTable
from ._verdicts import HeldVerdict

# Crashes of a part that lead to a verdict if the last one was of a trial.
CRASHES_WITH_TRIAL = 3
# The same for parts that were sound before the crashes: they are only blamed if no
# other part explains the crash.
SOUND_CRASHES_WITH_TRIAL = 5
# Crashes that lead to a verdict without a trial, and at how many distinct times.
CRASHES_WITHOUT_TRIAL = 5
REQUEST_CRASHES_WITHOUT_TRIAL = 4
DISTINCT_TIMES = 3
DISTINCT_MS = 500
# A crash within this time of crashes of so many other targets that have nothing to do
# with its parts is taken as part of a common failure.
COMMON_FAILURE_MS = 1_000
COMMON_FAILURE_TARGETS = 2


class CrashAttribution:
    """Finds the combination of parts that explains a crash.

    Parameters
    ----------
    suspicions : SuspicionTable
        Crashes and evidence against parts.
    """

    def __init__(self, suspicions: SuspicionTable):
        self._suspicions = suspicions

    def find_cause(self, crash: Crash, is_unclear: bool) -> frozenset[str]:
        """Return the parts that explain a crash; empty if that is not certain.

        Parameters
        ----------
        crash : Crash
            Crash of which all reports are expected to have arrived.
        is_unclear : bool
            Whether the end of another trial is unknown, so that one proves nothing.
        """
        parts = self._find_by_trial(crash, is_unclear)
        return parts or self._find_by_number(crash)

    def count(self, parts: Iterable[str]) -> int:
        """Return the most crashes that are counted against one of some parts."""
        known = (self._suspicions.get(name) for name in parts)
        return max((s.count for s in known if s is not None), default=0)

    def list_workspaces(self, parts: frozenset[str]) -> set[str]:
        """Return the workspaces whose requests with some parts were in crashes."""
        numbers = set()
        for name in parts:
            suspicion = self._suspicions.get(name)
            numbers |= suspicion.crashes.keys() if suspicion is not None else set()
        crashes = (self._suspicions.get_crash(number) for number in sorted(numbers))
        return {
            suspect.workspace
            for crash in crashes
            if crash is not None
            for suspect in crash.suspects
            if parts <= suspect.parts
        }

    def is_rival(self, verdict: HeldVerdict, suspect: Suspect) -> bool:
        """Whether a request explains as many crashes as a verdict does."""
        counted: Counter[str] = Counter()
        for crash in self._suspicions.list_crashes():
            if crash.explained_by in (0, verdict.number):
                counted.update({name for s in crash.suspects for name in s.parts})
        return any(
            counted[name] >= max(2, verdict.crashes)
            and not self._suspicions.was_begun(name)
            for name in suspect.parts
        )

    def may_rival(self, crash: Crash, parts: Iterable[str]) -> bool:
        """Whether parts would count as a cause if they were found in a crash."""
        if self._count_new(parts):
            return True
        return not any(
            _is_on_trial(known, False)
            for suspect in crash.trials
            for known in self._evidence(crash, suspect)
        )

    def _count_new(self, parts: Iterable[str]) -> int:
        """Return the most crashes of a part that was not sound before."""
        known = (self._suspicions.get(name) for name in parts)
        return max(
            (s.count for s in known if s and not s.was_sound and _is_rival(s, 1)),
            default=0,
        )

    def _evidence(self, crash: Crash, suspect: Suspect) -> list[Suspicion]:
        """Return the suspicions of a request that a crash is counted against."""
        known = (self._suspicions.get(name) for name in suspect.parts)
        return [s for s in known if s is not None and crash.number in s.crashes]

    def _find_by_trial(self, crash: Crash, is_unclear: bool) -> frozenset[str]:
        """Return the parts that a failed trial shows to be the cause.

        These are all parts of it with enough crashes, not only the one with most: a
        sound part that came with two deadly ones has more crashes than either.
        No other request that was part of the crash may be a possible cause: none of its
        parts may have nearly as many crashes as those of the trial. As long as these
        are few or not at distinct times, they may be those of other causes, and no
        part of another request may be new. Parts that were sound before are considered
        only if the trial had no others.
        """
        evidence = {s: self._evidence(crash, s) for s in crash.suspects}
        trials = [
            evidence[suspect] for suspect in crash.suspects if suspect in crash.trials
        ]
        new = [{s.name for s in known if _is_on_trial(s, False)} for known in trials]
        sound = [{s.name for s in known if _is_on_trial(s, True)} for known in trials]
        ignores_sound = any(new)
        cores = [core for core in (new if ignores_sound else sound) if core]
        if not cores:
            return frozenset()
        common = set.intersection(*cores)
        times = max(
            (_distinct_times(self._suspicions.get(name)) for name in common), default=0
        )
        is_repeated = (
            times >= DISTINCT_TIMES and self.count(common) > CRASHES_WITH_TRIAL
        )
        min_rival = max(2, self.count(common) - 1) if is_repeated else 1
        has_request = any(is_request(name) for name in common)
        for suspect, known in evidence.items():
            rivals = (s for s in known if not (ignores_sound and s.was_sound))
            if any(_is_rival(s, min_rival) for s in rivals):
                common &= suspect.parts
        # A part is not blamed for the crashes of one request that contains it.
        is_ambiguous = has_request and not any(is_request(name) for name in common)
        min_times = 2 if ignores_sound else DISTINCT_TIMES
        is_alone = (
            bool(common) and times >= min_times and not (is_unclear or is_ambiguous)
        )
        if not is_alone or self._is_common_failure(crash, common):
            for name in set.union(*cores):
                self._suspicions.get(name).is_exclusive = True
            return frozenset()
        return frozenset(common)

    def _is_common_failure(self, crash: Crash, parts: set[str]) -> bool:
        targets = {
            other.target
            for other in self._suspicions.list_crashes()
            if abs(other.at_ms - crash.at_ms) <= COMMON_FAILURE_MS
            and not other.explained_by
            and not any(parts & suspect.parts for suspect in other.suspects)
        }
        return len(targets - {crash.target}) >= COMMON_FAILURE_TARGETS

    def _find_by_number(self, crash: Crash) -> frozenset[str]:
        """Return the parts of so many crashes that chance does not explain them."""
        names = {name for suspect in crash.suspects for name in suspect.parts}
        known = (self._suspicions.get(name) for name in sorted(names))
        candidates = [
            s
            for s in known
            if s is not None
            and not s.was_sound
            and s.count >= _crashes_without_trial(s)
            and crash.number in s.crashes
            and _distinct_times(s) >= DISTINCT_TIMES
        ]
        for candidate in sorted(candidates, key=lambda s: -s.count):
            parts = self._find_companions(candidate)
            if parts:
                return parts
        return frozenset()

    def _find_companions(self, candidate: Suspicion) -> frozenset[str]:
        """Return a part and those that were always with it.

        Returns
        -------
        frozenset of str
            Empty if parts of other requests explain the crashes as well.
        """
        common: set[str] | None = None
        for number in candidate.crashes:
            crash = self._suspicions.get_crash(number)
            if crash is None:
                continue
            for suspect in crash.suspects:
                if candidate.name in suspect.parts:
                    together = set(suspect.parts)
                    common = together if common is None else common & together
                elif self._count_new(suspect.parts) >= candidate.count:
                    return frozenset()
        if common is None:
            return frozenset()
        return frozenset(
            name
            for name in common
            if name == candidate.name or self._count_new([name]) == candidate.count
        )


def _is_on_trial(suspicion: Suspicion, was_sound: bool) -> bool:
    limit = SOUND_CRASHES_WITH_TRIAL if was_sound else CRASHES_WITH_TRIAL
    return suspicion.was_sound is was_sound and suspicion.count >= limit


def _crashes_without_trial(suspicion: Suspicion) -> int:
    if suspicion.is_request:
        return REQUEST_CRASHES_WITHOUT_TRIAL
    return CRASHES_WITHOUT_TRIAL


def _is_rival(suspicion: Suspicion, min_crashes: int) -> bool:
    """Whether a name of another request may be the cause of a crash.

    Nearly all requests are new, so that a single crash tells nothing of one.
    """
    if suspicion.is_request:
        min_crashes = max(2, min_crashes)
    return suspicion.count >= min_crashes


def _distinct_times(suspicion: Suspicion) -> int:
    """Return at how many distinct times the crashes of a part were."""
    distinct, last_ms = 0, None
    for at_ms in sorted(suspicion.crashes.values()):
        if last_ms is None or at_ms - last_ms >= DISTINCT_MS:
            distinct += 1
            last_ms = at_ms
    return distinct + suspicion.inherited
