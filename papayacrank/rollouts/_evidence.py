"""Outcomes of requests by route and release, and comparisons of two releases."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from papayacrank.messages import ReleaseReport

# Buckets of response times, from 1 ms. Faults of three times the usual time would be
# missed at some times by full powers of two.
BUCKETS_PER_DOUBLING = 4
MAX_BUCKETS = 64
# A response counts as slow from twice the median of the old release on, unless the old
# release has as slow ones itself. Bad releases are several times slower.
SLOW_FACTOR_BUCKETS = BUCKETS_PER_DOUBLING
SLOW_QUANTILE = 0.9
# Old responses that the slow end of a route needs.
MIN_OLD_TIMES = 20
# Fractions of failed and slow responses that are tolerated in a release beside those of
# the old one. New targets begin with empty caches and are then slow at times.
TOLERATED_FAILED = 0.02
TOLERATED_SLOW = 0.06
# Standard errors by which the fraction of the old release may be underestimated, and
# responses added to the denominator, so that few old responses prove nothing.
OLD_RATE_ERRORS = 2.0
PRIOR_RESPONSES = 10
# Exponent of the Chernoff bound on the chance that a sound release looks like this. The
# bound is looked at some hundred times in a rollout, mostly on the same responses; the
# exact chance is about a tenth of it.
MIN_EXPONENT = 6.5
# Exponent where waiting for more evidence would use up the allowance.
LAST_MIN_EXPONENT = 3.5
MIN_BAD = 3
SNAPSHOT_INTERVAL_MS = 250
RECENT_MS = 1_500
MAX_REPORTING = 2_000
# Limit on the factor of the share of a route with few requests.
MAX_ROUTE_FACTOR = 4.0
MAX_ROUTES = 64


def time_bucket(time_ms: float) -> int:
    """Return the bucket of a response time."""
    bucket = int(BUCKETS_PER_DOUBLING * math.log2(max(1.0, time_ms)))
    return min(bucket, MAX_BUCKETS - 1)


def bucket_end_ms(bucket: int) -> float:
    """Return the upper end of a bucket in milliseconds."""
    return 2.0 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)


@dataclass(slots=True)
class Counts:
    """Sums of reports; see `ReleaseReport`."""

    sent: int = 0
    ended: int = 0
    failed: int = 0
    times: list[int] = field(default_factory=lambda: [0] * MAX_BUCKETS)

    def add(self, other: "Counts | ReleaseReport", sign: int = 1) -> None:
        """Add or, with a sign of -1, subtract other counts."""
        self.sent += sign * other.sent
        self.ended += sign * other.ended
        self.failed += sign * other.failed
        for bucket, count in enumerate(other.times[:MAX_BUCKETS]):
            self.times[bucket] += sign * count

    def since(self, earlier: "Counts | None") -> "Counts":
        """Return the difference to earlier counts."""
        difference = Counts()
        difference.add(self)
        if earlier is not None:
            difference.add(earlier, -1)
        return difference

    def quantile_bucket(self, fraction: float) -> int | None:
        """Return the bucket with a quantile of the times; None if there are few."""
        total = sum(self.times)
        if total < MIN_OLD_TIMES:
            return None
        below = 0
        for bucket, count in enumerate(self.times):
            below += count
            if below >= fraction * total:
                return bucket
        return MAX_BUCKETS - 1


Totals = dict[tuple[str, bool], Counts]


class ReleaseEvidence:
    """Sums the reports of all entry processes on one rollout.

    Parameters
    ----------
    release : str
        The new release; all others count as old.
    """

    def __init__(self, release: str):
        self._release = release
        self._reports: dict[str, dict[tuple[str, str], ReleaseReport]] = {}
        self._steps: dict[str, int] = {}
        self._snapshots: deque[tuple[int, Totals]] = deque()
        self._totals: Totals = {}
        self._first_sent_ms: int | None = None
        self._warm: Totals | None = None

    @property
    def exposed(self) -> int:
        """Number of requests sent to the new release."""
        return sum(c.sent for (_, is_new), c in self._totals.items() if is_new)

    @property
    def total(self) -> int:
        """Number of requests sent to any release."""
        return sum(counts.sent for counts in self._totals.values())

    @property
    def ended(self) -> int:
        """Number of requests that ended at the new release."""
        return sum(c.ended for (_, is_new), c in self._totals.items() if is_new)

    def applied_step(self, instance: str) -> int | None:
        """Return the last step that a process applies; None before its first report."""
        return self._steps.get(instance)

    def observe(self, instance: str, reports: Iterable[ReleaseReport]) -> None:
        """Replace the totals that a process has reported."""
        if instance not in self._reports and len(self._reports) >= MAX_REPORTING:
            return
        known = self._reports.setdefault(instance, {})
        for report in reports:
            key = (report.route, report.release)
            if key in known or len(known) < 2 * MAX_ROUTES:
                known[key] = report
            self._steps[instance] = report.step

    def update(self, warm_up_ms: int, now_ms: int) -> None:
        """Sum the reports, and keep the sums for later comparison.

        Parameters
        ----------
        warm_up_ms : int
            Time after the first requests to the new release in which slow responses
            do not count against it.
        """
        totals: Totals = {}
        for reports in self._reports.values():
            for (route, release), report in reports.items():
                key = (route, release == self._release)
                totals.setdefault(key, Counts()).add(report)
        self._totals = totals
        if self._first_sent_ms is None and self.exposed:
            self._first_sent_ms = now_ms
        is_warm = (
            self._first_sent_ms is not None
            and now_ms - self._first_sent_ms >= warm_up_ms
        )
        if self._warm is None and is_warm:
            self._warm = totals
        snapshots = self._snapshots
        if not snapshots or now_ms - snapshots[-1][0] >= SNAPSHOT_INTERVAL_MS:
            snapshots.append((now_ms, totals))
        while len(snapshots) > 1 and now_ms - snapshots[1][0] >= RECENT_MS:
            snapshots.popleft()

    def route_factors(self) -> dict[str, float]:
        """Return factors by which each route gets as many outcomes as the others.

        Without them, a fault on a route with few requests shows late.
        """
        sent: dict[str, int] = {}
        for (route, _), counts in self._totals.items():
            if counts.sent:
                sent[route] = sent.get(route, 0) + counts.sent
        mean = sum(sent.values()) / max(1, len(sent))
        factors = {
            route: min(MAX_ROUTE_FACTOR, mean / count) for route, count in sent.items()
        }
        weighted = sum(factors[route] * count for route, count in sent.items())
        scale = sum(sent.values()) / weighted if weighted else 1.0
        return {route: round(scale * factor, 2) for route, factor in factors.items()}

    def slow_end_ms(self, fraction: float) -> float | None:
        """Return a quantile of the old response times, the longest of any route."""
        ends = [
            bucket_end_ms(bucket)
            for (_, is_new), counts in self._totals.items()
            if not is_new and (bucket := counts.quantile_bucket(fraction)) is not None
        ]
        return max(ends, default=None)

    def find_fault(self, min_exponent: float = MIN_EXPONENT) -> str:
        """Return why the new release is bad, empty if the outcomes don't show it.

        A release that turns bad late shows it in the recent responses, one that is bad
        in a small part of them in all.

        Parameters
        ----------
        min_exponent : float
            Exponent of the highest chance that a sound release looks like this.
        """
        recent = self._snapshots[0][1] if self._snapshots else {}
        routes = sorted({route for route, is_new in self._totals if is_new})
        for since in ({}, recent):
            pooled_new, pooled_old = Counts(), Counts()
            for route in routes:
                new = self._since(route, True, since)
                old = self._since(route, False, since)
                pooled_new.add(new)
                pooled_old.add(old)
                if _has_failures(new, old, min_exponent):
                    return f"{new.failed} of {new.ended} failed on {route}"
            if _has_failures(pooled_new, pooled_old, min_exponent):
                return f"{pooled_new.failed} of {pooled_new.ended} failed"
        if self._warm is not None:
            for since in (self._warm, recent):
                for route in routes:
                    new = self._since(route, True, since)
                    old = self._totals.get((route, False), Counts())
                    if slow := _count_slow(new, old, min_exponent):
                        return f"{slow} of {sum(new.times)} slow on {route}"
        return ""

    def _since(self, route: str, is_new: bool, earlier: Totals) -> Counts:
        counts = self._totals.get((route, is_new), Counts())
        return counts.since(earlier.get((route, is_new)))


def _has_failures(new: Counts, old: Counts, min_exponent: float) -> bool:
    """Whether a release fails more than the old one in the same time."""
    expected = TOLERATED_FAILED + _old_rate(old.failed, old.ended)
    return is_excess(new.failed, max(new.ended, new.failed), expected, min_exponent)


def _count_slow(new: Counts, old: Counts, min_exponent: float) -> int:
    """Return the number of slow responses, 0 if the old release has as many."""
    median = old.quantile_bucket(0.5)
    if median is None:
        return 0
    first = 1 + max(median + SLOW_FACTOR_BUCKETS, old.quantile_bucket(SLOW_QUANTILE))
    slow = sum(new.times[first:])
    expected = TOLERATED_SLOW + _old_rate(sum(old.times[first:]), sum(old.times))
    return slow if is_excess(slow, sum(new.times), expected, min_exponent) else 0


def _old_rate(bad: int, count: int) -> float:
    """Return an upper bound of the fraction of bad responses."""
    count += PRIOR_RESPONSES
    rate = min(1.0, (bad + 1) / count)
    return rate + OLD_RATE_ERRORS * math.sqrt(rate * (1 - rate) / count)


def is_excess(
    bad: int, count: int, expected: float, min_exponent: float = MIN_EXPONENT
) -> bool:
    """Whether bad responses are more than chance makes of an expected fraction."""
    if bad < MIN_BAD or expected >= 1 or bad <= expected * count:
        return False
    observed = bad / count
    divergence = observed * math.log(observed / expected)
    if observed < 1:
        divergence += (1 - observed) * math.log((1 - observed) / (1 - expected))
    return count * divergence >= min_exponent
