"""Demand for services by workspace and urgency, at an instance and over the fleet."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from papayacrank.messages import EntryLoad, ServiceDemand

WINDOW_MS = 1_000
MS_PER_SECOND = 1_000
MAX_ROWS = 64
# About ten times what one instance can forward in a second.
MAX_ARRIVALS = 10_000
# Reports are sent every 500 ms; an older one belongs to an instance that is gone.
REPORT_LIFETIME_MS = 2_000


class DemandKey(NamedTuple):
    """What is asked for and by whom."""

    service: str
    workspace: str
    urgency: int


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_ms: int
    key: DemandKey
    work_ms: float
    admitted: bool


class DemandWindow:
    """Work asked for and admitted at an instance in the last second."""

    def __init__(self):
        self._arrivals: deque[_Arrival] = deque()
        self._sums: dict[DemandKey, list[float]] = {}

    def record(
        self, key: DemandKey, work_ms: float, admitted: bool, now_ms: int
    ) -> None:
        """Record a request and whether it was admitted."""
        self._expire(now_ms)
        self._arrivals.append(_Arrival(now_ms, key, work_ms, admitted))
        sums = self._sums.setdefault(key, [0.0, 0.0])
        sums[0] += work_ms
        sums[1] += work_ms * admitted

    def rows(self, now_ms: int, service: str | None = None) -> list[ServiceDemand]:
        """Return the demand, the largest first, of one service or of all."""
        self._expire(now_ms)
        rows = [
            ServiceDemand(*key, asked, admitted)
            for key, (asked, admitted) in self._sums.items()
            if service in (None, key.service)
        ]
        return _largest(rows)

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - WINDOW_MS
        arrivals = self._arrivals
        while arrivals and (
            arrivals[0].at_ms <= oldest_ms or len(arrivals) > MAX_ARRIVALS
        ):
            gone = arrivals.popleft()
            sums = self._sums[gone.key]
            sums[0] -= gone.work_ms
            sums[1] -= gone.work_ms * gone.admitted
            # A row without requests ends, with the rounding errors of its sums.
            if sums[0] <= 1e-6:
                del self._sums[gone.key]


class DemandSums:
    """Demand over the fleet, at the leader.

    The sums are kept in memory; those of a new leader are complete after one report of
    each instance. Late reports make the sharing less exact and nothing else.
    """

    def __init__(self):
        self._reports: dict[str, tuple[int, list[ServiceDemand]]] = {}

    def reset(self) -> None:
        """Forget all reports after an election."""
        self._reports.clear()

    def observe(self, report: EntryLoad, now_ms: int) -> None:
        """Record the demand at an instance, if its report has any."""
        if report.demand:
            self._reports[report.instance] = (now_ms, report.demand[:MAX_ROWS])

    def rows(self, now_ms: int) -> list[ServiceDemand]:
        """Return the demand for services of which not all is admitted."""
        oldest_ms = now_ms - REPORT_LIFETIME_MS
        self._reports = {n: r for n, r in self._reports.items() if r[0] >= oldest_ms}
        sums: dict[DemandKey, list[float]] = {}
        for _, rows in self._reports.values():
            for row in rows:
                key = DemandKey(row.service, row.workspace, row.urgency)
                total = sums.setdefault(key, [0.0, 0.0])
                total[0] += row.asked
                total[1] += row.admitted
        scarce = {key.service for key, (asked, got) in sums.items() if got < asked}
        return _largest(
            ServiceDemand(*key, round(asked), round(admitted))
            for key, (asked, admitted) in sums.items()
            if key.service in scarce
        )


def _largest(rows: Iterable[ServiceDemand]) -> list[ServiceDemand]:
    order = sorted(rows, key=lambda row: (-row.asked, row.service, row.workspace))
    return order[:MAX_ROWS]
