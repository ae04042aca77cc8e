"""Decision whether a request is admitted while targets are behind."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from papayacrank.messages import ServiceDemand

from ._demand import DemandKey, DemandWindow
from ._sharing import MIN_SHARE, share_room

# The room is taken to be this part of the work that is admitted while requests are
# forecast to be late, so that queues become shorter.
ROOM_FACTOR = 0.8
# With a shorter queue than this part of the objective, a late request is late for other
# reasons: it is large, or it waited elsewhere.
MIN_QUEUE_FRACTION = 0.3
# Work beyond this part of the objective is not held against the queue.
MAX_WORK_FRACTION = 0.5
# Sums of the leader are sent each second; older ones are not used.
SUMS_LIFETIME_MS = 2_500
# Parts take 0.2 ms to compute with 64 rows.
PARTS_LIFETIME_MS = 50
# A request of more than this multiple of the mean work of its row is large. Large and
# other requests are admitted in the same part, each counted for itself.
LARGE_FACTOR = 1.5
# Weight of a new request in the moving average of the work of a row.
SMOOTHING = 0.1
MAX_CREDIT = 2.0
# For this time after a late request, those of the same or less urgency are admitted in
# part even if they are in time, so that less urgent or smaller ones are not served more
# often.
LATE_MEMORY_MS = 250
# Unless the queue has become shorter than this part of the one of the late request.
SAME_QUEUE_FACTOR = 0.7
MAX_TRACKED = 4_096


class LoadDecision(StrEnum):
    """Decision on a request."""

    ADMITTED = "admitted"
    # No target can begin it in time for its caller.
    TOO_LATE = "too_late"
    # It would be late, and others have more claim to the room.
    SHARED = "shared"


@dataclass(frozen=True, slots=True)
class Candidate:
    """Request and the forecast at its best target.

    Parameters
    ----------
    key : DemandKey
        Service, workspace and urgency.
    elapsed_ms, objective_ms, remaining_ms : float
        Time since arrival, latency objective from arrival and time until the deadline.
    wait_ms : float
        Forecast of the time in the queue of the target.
    work_ms : float
        Time of the target that the request itself takes before its first event.
    """

    key: DemandKey
    elapsed_ms: float
    objective_ms: float
    remaining_ms: float
    wait_ms: float
    work_ms: float

    @property
    def is_late(self) -> bool:
        """Whether the objective is out of reach because of requests before it."""
        if self.wait_ms < MIN_QUEUE_FRACTION * self.objective_ms:
            return False
        work_ms = min(self.work_ms, MAX_WORK_FRACTION * self.objective_ms)
        return self.elapsed_ms + self.wait_ms + work_ms > self.objective_ms


@dataclass(slots=True)
class _Credit:
    value: float = 1.0


@dataclass(frozen=True, slots=True)
class _LateRequest:
    at_ms: int
    wait_ms: float


class LoadAdmission:
    """Admits requests to services whose targets are behind.

    While the forecasts are within the objectives, all requests are admitted. Otherwise
    each workspace and urgency gets a part of its demand by `share_room`. The parts are
    counted, not drawn, so that short series of requests get their part as well.
    """

    def __init__(self):
        self._window = DemandWindow()
        self._credits: dict[tuple[DemandKey, bool], _Credit] = {}
        self._mean_work: dict[DemandKey, float] = {}
        self._sums: list[ServiceDemand] = []
        self._sums_ms = -SUMS_LIFETIME_MS
        self._rates: Mapping[str, float] = {}
        # Parts of the rows of a service, and the time until which they are used.
        self._parts: dict[str, tuple[int, dict[tuple[str, int], float]]] = {}
        self._late_until_ms: dict[str, int] = {}
        # Last late request by service and urgency.
        self._late: dict[tuple[str, int], _LateRequest] = {}

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Set the rates of the workspaces."""
        self._rates = {name: rate for name, rate in rates.items() if rate > 0}

    def apply_sums(self, rows: Sequence[ServiceDemand], now_ms: int) -> None:
        """Apply the demand over the fleet, as the leader has added it up."""
        if rows:
            self._sums, self._sums_ms = list(rows), now_ms

    def report(self, now_ms: int) -> list[ServiceDemand]:
        """Return the demand at this instance, for services that are behind."""
        return [
            row
            for row in self._window.rows(now_ms)
            if now_ms < self._late_until_ms.get(row.service, 0)
        ]

    def behind(self, now_ms: int) -> set[str]:
        """Return the services with late requests in the last seconds."""
        return {name for name, end_ms in self._late_until_ms.items() if now_ms < end_ms}

    def decide(self, candidate: Candidate, now_ms: int) -> LoadDecision:
        """Decide on a request and count it."""
        decision = self._decide(candidate, now_ms)
        is_admitted = decision is LoadDecision.ADMITTED
        self._window.record(candidate.key, candidate.work_ms, is_admitted, now_ms)
        return decision

    def _decide(self, candidate: Candidate, now_ms: int) -> LoadDecision:
        is_large = self._observe_size(candidate)
        service, _, urgency = candidate.key
        if candidate.is_late:
            self._late_until_ms[service] = now_ms + SUMS_LIFETIME_MS
            late = _LateRequest(now_ms, candidate.wait_ms)
            self._late[(service, urgency)] = late
        elif not self._was_late(candidate, now_ms):
            return LoadDecision.ADMITTED
        if candidate.wait_ms > min(candidate.objective_ms, candidate.remaining_ms):
            return LoadDecision.TOO_LATE
        credit = self._credits.setdefault((candidate.key, is_large), _Credit())
        part = self._part_of(candidate.key, now_ms)
        credit.value = min(MAX_CREDIT, credit.value + part)
        if credit.value < 1.0:
            return LoadDecision.SHARED
        credit.value -= 1.0
        return LoadDecision.ADMITTED

    def _was_late(self, candidate: Candidate, now_ms: int) -> bool:
        """Whether a request of at least this urgency was late a short time ago."""
        service, _, urgency = candidate.key
        return any(
            name == service
            and level <= urgency
            and now_ms - late.at_ms < LATE_MEMORY_MS
            and candidate.wait_ms >= SAME_QUEUE_FACTOR * late.wait_ms
            for (name, level), late in self._late.items()
        )

    def _observe_size(self, candidate: Candidate) -> bool:
        """Return whether a request is large; add it to the mean of its row."""
        if len(self._mean_work) >= MAX_TRACKED:
            self._mean_work.clear()
            self._credits.clear()
        mean = self._mean_work.get(candidate.key, candidate.work_ms)
        self._mean_work[candidate.key] = mean + SMOOTHING * (candidate.work_ms - mean)
        return candidate.work_ms > LARGE_FACTOR * mean

    def _part_of(self, key: DemandKey, now_ms: int) -> float:
        """Return the part of the requests of a row that is admitted."""
        until_ms, parts = self._parts.get(key.service, (now_ms, {}))
        if now_ms >= until_ms:
            parts = self._compute_parts(key.service, now_ms)
            self._parts[key.service] = (now_ms + PARTS_LIFETIME_MS, parts)
        return parts.get((key.workspace, key.urgency), 1.0)

    def _compute_parts(self, service: str, now_ms: int) -> dict[tuple[str, int], float]:
        rows = [row for row in self._sums if row.service == service]
        if not rows or now_ms - self._sums_ms > SUMS_LIFETIME_MS:
            rows = self._window.rows(now_ms, service)
        room = ROOM_FACTOR * sum(row.admitted for row in rows)
        parts = share_room(rows, room, self._rates)
        # A less urgent row gets no larger part than was admitted of more urgent ones.
        asked: dict[int, list[float]] = {}
        for row in rows:
            sums = asked.setdefault(row.urgency, [0.0, 0.0])
            sums[0] += row.asked
            sums[1] += row.admitted
        limit = 1.0
        limits: dict[int, float] = {}
        for urgency in sorted(asked):
            limits[urgency] = max(MIN_SHARE, limit)
            limit = min(limit, asked[urgency][1] / max(1e-6, asked[urgency][0]))
        return {(name, u): min(part, limits[u]) for (name, u), part in parts.items()}
