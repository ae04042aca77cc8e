"""Bounded queue with deadlines, shared by the admission policies."""

import random
from abc import abstractmethod
from dataclasses import dataclass

from expression import Error, Ok, Result
from sortedcontainers import SortedKeyList

from papayacrank.kernel import Failure, Verdict

from ._base import AdmissionPolicy, AdmissionRequest, Admitted, Refused
from ._limiter import ConcurrencyLimiter
from ._shares import LocalShares

RETRY_JITTER_MS = 2_000
MIN_RETRY_MS = 250
LEDGER_WAIT_MS = 4_000  # longest expected leader election of the control group
RECLAIM_WAIT_MS = 900  # heartbeat of the instance that returns tokens, plus a grant
SERVICE_RATE_SMOOTHING = 0.1


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request with its arrival, for ordering and maximum wait."""

    request: AdmissionRequest
    arrived_ms: int
    sequence_number: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key within a workspace: descending priority, then arrival."""
        return (-self.request.priority, self.sequence_number)


class QueueAdmission(AdmissionPolicy):
    """Base class of policies that differ only in the order of workspaces.

    Parameters
    ----------
    shares : LocalShares
        Token budgets of this process.
    limiter : ConcurrencyLimiter or None
        Limit of requests in flight; None for the default.
    max_queued : int
        Maximum number of queued requests.
    budget_wait_ms : int
        Maximum wait for tokens before a request is refused, in milliseconds.
    random_state : int or random.Random
        Seed or source of the jitter of retry times.
    """

    def __init__(
        self,
        shares: LocalShares,
        limiter: ConcurrencyLimiter | None = None,
        max_queued: int = 1_000,
        budget_wait_ms: int = 500,
        random_state: int | random.Random = 0,
    ):
        self.shares = shares
        self.limiter = limiter or ConcurrencyLimiter()
        self.max_queued = max_queued
        self.budget_wait_ms = budget_wait_ms
        self.random_state = random_state
        self._random = (
            random_state
            if isinstance(random_state, random.Random)
            else random.Random(random_state)
        )
        self._queues: dict[str, SortedKeyList] = {}
        self._queued: dict[str, QueuedRequest] = {}
        self._queued_tokens: dict[str, int] = {}
        self._running: dict[str, AdmissionRequest] = {}
        self._blocked_since_ms: dict[str, int] = {}
        self._arrival_count = 0
        self._start_interval_ms = 0.0
        self._last_start_ms: int | None = None

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are still running."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    def submit(self, request: AdmissionRequest, now_ms: int) -> Result[None, Failure]:
        """Queue a request, or refuse it immediately."""
        if len(self._queued) >= self.max_queued:
            return Error(self._build_failure("overloaded", "the queue is full", 503))
        wait_ms = self._expected_wait_ms()
        if now_ms + wait_ms >= request.deadline_ms:
            message = "the request cannot meet its deadline"
            return Error(
                self._build_failure("deadline_unreachable", message, 503, wait_ms)
            )
        self._arrival_count += 1
        queued = QueuedRequest(request, now_ms, self._arrival_count)
        queue = self._queues.setdefault(
            request.workspace, SortedKeyList(key=lambda item: item.sort_key)
        )
        if not queue:
            self._on_backlogged(request)
        queue.add(queued)
        self._queued[request.request_id] = queued
        self._add_queued_tokens(request.workspace, request.tokens)
        return Ok(None)

    def poll(self, now_ms: int) -> list[Admitted | Refused]:
        """Return the requests that may run now or are refused."""
        decisions: list[Admitted | Refused] = self._refuse_past_deadline(now_ms)
        blocked: set[str] = set()
        while self.limiter.allows(len(self._running)):
            workspace = self._next_workspace(blocked)
            if workspace is None:
                break
            request = self._queues[workspace][0].request
            if self._reserve(request, now_ms):
                self._start(request, now_ms)
                decisions.append(Admitted(request))
            else:
                blocked.add(workspace)
                self._blocked_since_ms.setdefault(workspace, now_ms)
        return decisions + self._refuse_after_max_wait(now_ms)

    def cancel(self, request_id: str) -> None:
        """Remove a queued request whose caller has disconnected."""
        queued = self._queued.get(request_id)
        if queued is not None:
            self._remove(queued)

    def on_served(
        self, request_id: str, cached_tokens: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Record the work of an admitted request that has ended, even if it failed."""
        request = self._running.pop(request_id, None)
        if request is not None:
            self._correct_charge(request, cached_tokens, computed_tokens)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when `poll` must be called next, unless another event triggers it.

        None if no request is queued.
        """
        times = [
            self._wait_limit_ms(queued, now_ms) for queued in self._queued.values()
        ]
        return min(times, default=None)

    @abstractmethod
    def _next_workspace(self, blocked: set[str]) -> str | None:
        """Return the workspace whose first request is next, None without any."""

    def _on_backlogged(self, request: AdmissionRequest) -> None:  # noqa: B027
        """Handle the first request in the empty queue of a workspace."""

    def _on_started(self, request: AdmissionRequest) -> None:  # noqa: B027
        """Charge the expected cost of a started request."""

    def _correct_charge(  # noqa: B027
        self, request: AdmissionRequest, cached_tokens: int, computed_tokens: int
    ) -> None:
        """Replace the expected cost in the charge by the actual cost."""

    def _reserve(self, request: AdmissionRequest, now_ms: int) -> bool:
        if request.tokens == 0:
            return True
        return self.shares.try_reserve(
            request.request_id, request.workspace, request.tokens, now_ms
        )

    def _start(self, request: AdmissionRequest, now_ms: int) -> None:
        self._remove(self._queued[request.request_id])
        self._blocked_since_ms.pop(request.workspace, None)
        self._running[request.request_id] = request
        self._on_started(request)
        if self._last_start_ms is not None and self._queued:
            gap_ms = now_ms - self._last_start_ms
            change = gap_ms - self._start_interval_ms
            self._start_interval_ms += SERVICE_RATE_SMOOTHING * change
        self._last_start_ms = now_ms

    def _expected_wait_ms(self) -> int:
        """Estimate the wait of a new request from the smoothed interval of starts."""
        if self.limiter.allows(len(self._running)):
            return 0
        return int(len(self._queued) * self._start_interval_ms)

    def _refuse_past_deadline(self, now_ms: int) -> list[Admitted | Refused]:
        expired = [q for q in self._queued.values() if now_ms >= q.request.deadline_ms]
        message = "the deadline passed in the queue"
        return [
            self._refuse(queued, self._build_failure("deadline_passed", message, 504))
            for queued in expired
        ]

    def _refuse_after_max_wait(self, now_ms: int) -> list[Admitted | Refused]:
        expired = [
            q for q in self._queued.values() if now_ms >= self._wait_limit_ms(q, now_ms)
        ]
        return [
            self._refuse(queued, self._build_wait_failure(queued)) for queued in expired
        ]

    def _build_wait_failure(self, queued: QueuedRequest) -> Failure:
        if self._ledger_answered(queued):
            message = "the workspace is over its rate"
            return self._build_failure("over_rate", message, 429)
        message = "the control group did not answer a request for tokens"
        return self._build_failure("budget_unavailable", message, 503)

    def _refuse(self, queued: QueuedRequest, failure: Failure) -> Refused:
        self._remove(queued)
        return Refused(queued.request, failure)

    def _wait_limit_ms(self, queued: QueuedRequest, now_ms: int) -> int:
        """Return the time at which the request is refused.

        The wait for tokens is limited from its start. All requests queued behind one
        that waits for tokens wait for tokens too. The limit is longer while the ledger
        has not answered, because it is unknown whether the workspace is over its rate.
        """
        deadline_ms = queued.request.deadline_ms
        since_ms = self._waiting_since_ms(queued)
        if since_ms is None:
            return deadline_ms
        wait_ms = self.budget_wait_ms
        if not self._ledger_answered(queued):
            wait_ms = max(wait_ms, LEDGER_WAIT_MS)
        elif self.shares.is_reclaiming(queued.request.workspace, now_ms):
            wait_ms = max(wait_ms, RECLAIM_WAIT_MS)
        return min(deadline_ms, since_ms + wait_ms)

    def _waiting_since_ms(self, queued: QueuedRequest) -> int | None:
        """Return the start of the wait for tokens, None if there is none."""
        blocked_ms = self._blocked_since_ms.get(queued.request.workspace)
        if blocked_ms is None or queued.request.tokens == 0:
            return None
        return max(blocked_ms, queued.arrived_ms)

    def _ledger_answered(self, queued: QueuedRequest) -> bool:
        """Whether the ledger has answered a report sent during the wait."""
        since_ms = self._waiting_since_ms(queued)
        return since_ms is not None and self.shares.last_answered_report_ms >= since_ms

    def _build_failure(
        self, code: str, message: str, status: int, wait_ms: int = 0
    ) -> Failure:
        jitter_ms = self._random.randrange(RETRY_JITTER_MS)
        retry_after_ms = max(MIN_RETRY_MS, wait_ms) + jitter_ms
        return Failure(code, Verdict.NOT_RUN, message, status, retry_after_ms)

    def _remove(self, queued: QueuedRequest) -> None:
        workspace = queued.request.workspace
        del self._queued[queued.request.request_id]
        self._queues[workspace].remove(queued)
        self._add_queued_tokens(workspace, -queued.request.tokens)
        if not self._queues[workspace]:
            del self._queues[workspace]
            del self._queued_tokens[workspace]
            self._blocked_since_ms.pop(workspace, None)

    def _add_queued_tokens(self, workspace: str, tokens: int) -> None:
        """Update the running sum, so that a long queue is not summed per request."""
        total = self._queued_tokens.get(workspace, 0) + tokens
        self._queued_tokens[workspace] = total
        self.shares.set_queued(workspace, total)
