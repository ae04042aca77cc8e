"""Counts the outcomes of requests by route and release while a rollout runs."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from papayacrank.messages import RUNNING, ReleaseReport, RolloutShare

from ._evidence import MAX_ROUTES, Counts, time_bucket

MAX_OPEN = 20_000
MAX_SUSPECTS = 1_000


@dataclass(slots=True)
class _Observed:
    counts: Counts
    sent_ms: int
    late_ms: int
    scale: float = 1.0
    has_time: bool = False
    has_failed: bool = False
    is_checked: bool = False


class ReleaseObserver:
    """Counts requests of services with a running rollout.

    A response that the quarantine attributes to its request is not counted. Whether it
    is one is known only some time after it.
    """

    def __init__(self):
        self._shares: dict[str, RolloutShare] = {}
        self._counts: dict[tuple[int, str, str], Counts] = {}
        self._open: dict[Hashable, _Observed] = {}
        self._suspects: dict[Hashable, _Observed] = {}

    def apply(self, shares: Iterable[RolloutShare]) -> None:
        """Count for the running rollouts only."""
        self._shares = {s.service: s for s in shares if s.state == RUNNING}
        numbers = {share.number for share in self._shares.values()}
        self._counts = {k: c for k, c in self._counts.items() if k[0] in numbers}
        if not numbers:
            self._open.clear()
            self._suspects.clear()

    def on_sent(
        self,
        attempt: Hashable,
        service: str,
        route: str,
        release: str,
        late_after_ms: int,
        is_retry: bool,
        now_ms: int,
        scale: float = 1.0,
    ) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        attempt : hashable
            Identifies the attempt.
        late_after_ms : int
            Time after which a request without a response counts as failed.
        is_retry : bool
            Whether the request was sent before. At old releases, such requests do not
            count, so that failures of the new release add none.
        now_ms : int
            Current time in milliseconds.
        scale : float
            Factor of the response time, which makes requests of different work alike.
        """
        share = self._shares.get(service)
        if share is None or (is_retry and release != share.release):
            return
        key = (share.number, route, release)
        if key not in self._counts and len(self._counts) >= 2 * MAX_ROUTES:
            return
        counts = self._counts.setdefault(key, Counts())
        counts.sent += 1
        if len(self._open) < MAX_OPEN:
            self._open[attempt] = _Observed(
                counts, now_ms, now_ms + late_after_ms, scale
            )

    def on_first_response(self, attempt: Hashable, now_ms: int) -> None:
        """Record the time of the first part of a response."""
        observed = self._open.get(attempt)
        if observed is not None:
            _record_time(observed, now_ms)

    def on_failed(self, attempt: Hashable) -> None:
        """Count a failure of the target, once for each attempt."""
        observed = self._open.get(attempt)
        if observed is not None:
            _record_failure(observed)

    def on_ended(
        self, attempt: Hashable, has_run: bool, is_suspect: bool, now_ms: int
    ) -> None:
        """Count the end of an attempt.

        Parameters
        ----------
        has_run : bool
            Whether the target may have run the request.
        is_suspect : bool
            Whether it is being checked if the request has crashed the target.
        """
        observed = self._open.pop(attempt, None)
        if observed is None or not has_run:
            return
        if is_suspect and not observed.is_checked:
            if len(self._suspects) < MAX_SUSPECTS:
                self._suspects[attempt] = observed
        elif not is_suspect or observed.has_failed:
            if not observed.has_failed:
                _record_time(observed, now_ms)
            observed.counts.ended += 1

    def on_checked(self, attempt: Hashable, has_crashed: bool) -> None:
        """Count a lost response as failed unless its request crashed the target."""
        observed = self._suspects.pop(attempt, None)
        if observed is not None:
            if not has_crashed:
                _record_failure(observed)
                observed.counts.ended += 1
            return
        observed = self._open.get(attempt)
        if observed is not None:
            observed.is_checked = True
            if not has_crashed:
                _record_failure(observed)

    def report(self, now_ms: int) -> list[ReleaseReport]:
        """Return the totals, and the step that this process applies, by rollout."""
        for observed in self._open.values():
            if now_ms >= observed.late_ms and not observed.has_time:
                _record_failure(observed)
        steps = {share.number: share.step for share in self._shares.values()}
        reports = [
            ReleaseReport(share.number, "", share.release, share.step)
            for share in self._shares.values()
        ]
        reports += [
            ReleaseReport(
                number,
                route,
                release,
                steps[number],
                counts.sent,
                counts.ended,
                counts.failed,
                _trim(counts.times),
            )
            for (number, route, release), counts in self._counts.items()
        ]
        return reports


def _record_time(observed: _Observed, now_ms: int) -> None:
    if not observed.has_time:
        observed.has_time = True
        time_ms = (now_ms - observed.sent_ms) * observed.scale
        observed.counts.times[time_bucket(time_ms)] += 1


def _record_failure(observed: _Observed) -> None:
    if not observed.has_failed:
        observed.has_failed = True
        observed.counts.failed += 1


def _trim(times: list[int]) -> list[int]:
    """Return the counts without the empty buckets at the end."""
    last = max((bucket for bucket, count in enumerate(times) if count), default=-1)
    return times[: last + 1]
