"""Bounded queue with deadlines that admission policies share."""

import random
from abc import abstractmethod
from dataclasses import dataclass

from expression import Error, Ok, Result
from sortedcontainers import SortedKeyList

from papayacrank.kernel import Failure, Verdict

from ._base import AdmissionPolicy, AdmissionRequest, Admitted, Refused
from ._limiter import ConcurrencyLimiter
from ._shares import LocalShares

RETRY_SPREAD_MS = 2_000
MIN_RETRY_MS = 250
LEDGER_WAIT_MS = 4_000  # covers the longest expected election of the control group
RECLAIM_WAIT_MS = 900  # a heartbeat of the instance that returns tokens, and a grant
SERVICE_RATE_SMOOTHING = 0.1


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Entry of the queue, with its arrival for ordering and waiting limits."""

    request: AdmissionRequest
    arrived_ms: int
    number: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """Order within a workspace: priority, then arrival."""
        return (-self.request.priority, self.number)


class QueueAdmission(AdmissionPolicy):
    """Common part of the policies that differ only in the order of workspaces.

    Parameters
    ----------
    shares : LocalShares
        Budget of this process.
    limiter : ConcurrencyLimiter or None
        Limit of requests in flight; None for the default.
    max_queued : int
        Bound on the queue.
    budget_wait_ms : int
        Longest wait for tokens before a request is refused.
    random_state : int or random.Random
        Source of the jitter of retry times.
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
        self._arrivals = 0
        self._wait_per_request_ms = 0.0
        self._last_start_ms: int | None = None

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    def submit(self, request: AdmissionRequest, now_ms: int) -> Result[None, Failure]:
        """Queue a request, or refuse it at once."""
        if len(self._queued) >= self.max_queued:
            return Error(self._refusal("overloaded", "the queue is full", 503))
        wait_ms = self._expected_wait_ms()
        if now_ms + wait_ms >= request.deadline_ms:
            message = "the request cannot meet its deadline"
            return Error(self._refusal("deadline_unreachable", message, 503, wait_ms))
        self._arrivals += 1
        queued = QueuedRequest(request, now_ms, self._arrivals)
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
        """Return the requests that may run now or are given up on."""
        decisions: list[Admitted | Refused] = self._refuse_late(now_ms)
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
        return decisions + self._refuse_over_rate(now_ms)

    def cancel(self, request_id: str) -> None:
        """Forget a queued request whose caller has left."""
        queued = self._queued.get(request_id)
        if queued is not None:
            self._remove(queued)

    def on_served(
        self, request_id: str, cached_tokens: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Book the work of an admitted request that ended, also if it failed."""
        request = self._running.pop(request_id, None)
        if request is not None:
            self._book(request, cached_tokens, computed_tokens)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Return when `poll` must be called again, if nothing else happens."""
        times = [self._gives_up_ms(queued, now_ms) for queued in self._queued.values()]
        return min(times, default=None)

    @abstractmethod
    def _next_workspace(self, blocked: set[str]) -> str | None:
        """Return the workspace whose first request is next, if there is one."""

    def _on_backlogged(self, request: AdmissionRequest) -> None:  # noqa: B027
        """Note that the queue of a workspace is no longer empty."""

    def _on_started(self, request: AdmissionRequest) -> None:  # noqa: B027
        """Charge the expected cost of a request that starts."""

    def _book(  # noqa: B027
        self, request: AdmissionRequest, cached_tokens: int, computed_tokens: int
    ) -> None:
        """Correct the charge to the real cost."""

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
            change = gap_ms - self._wait_per_request_ms
            self._wait_per_request_ms += SERVICE_RATE_SMOOTHING * change
        self._last_start_ms = now_ms

    def _expected_wait_ms(self) -> int:
        """Estimate the wait of a new request from the recent rate of starts."""
        if self.limiter.allows(len(self._running)):
            return 0
        return int(len(self._queued) * self._wait_per_request_ms)

    def _refuse_late(self, now_ms: int) -> list[Admitted | Refused]:
        late = [q for q in self._queued.values() if now_ms >= q.request.deadline_ms]
        message = "the deadline passed in the queue"
        return [
            self._refuse(queued, self._refusal("deadline_passed", message, 504))
            for queued in late
        ]

    def _refuse_over_rate(self, now_ms: int) -> list[Admitted | Refused]:
        over = [
            q for q in self._queued.values() if now_ms >= self._gives_up_ms(q, now_ms)
        ]
        return [self._refuse(queued, self._explain_wait(queued)) for queued in over]

    def _explain_wait(self, queued: QueuedRequest) -> Failure:
        if self._ledger_answered(queued):
            message = "the workspace is over its rate"
            return self._refusal("over_rate", message, 429)
        message = "the control group did not answer a request for tokens"
        return self._refusal("budget_unavailable", message, 503)

    def _refuse(self, queued: QueuedRequest, failure: Failure) -> Refused:
        self._remove(queued)
        return Refused(queued.request, failure)

    def _gives_up_ms(self, queued: QueuedRequest, now_ms: int) -> int:
        """Return when the wait ends; waiting for tokens counts from its beginning.

        All requests behind the one that waits for tokens wait for tokens too. Without
        an answer of the ledger it is not known whether the workspace is over its
        rate, so the wait is longer.
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
        """Return since when the request waits for tokens, None if it does not."""
        blocked_ms = self._blocked_since_ms.get(queued.request.workspace)
        if blocked_ms is None or queued.request.tokens == 0:
            return None
        return max(blocked_ms, queued.arrived_ms)

    def _ledger_answered(self, queued: QueuedRequest) -> bool:
        """Whether the ledger has answered a report sent during the wait."""
        since_ms = self._waiting_since_ms(queued)
        return since_ms is not None and self.shares.last_answered_report_ms >= since_ms

    def _refusal(
        self, code: str, message: str, status: int, wait_ms: int = 0
    ) -> Failure:
        jitter_ms = self._random.randrange(RETRY_SPREAD_MS)
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
        """Keep the sum, so that a long queue is not added up for each request."""
        total = self._queued_tokens.get(workspace, 0) + tokens
        self._queued_tokens[workspace] = total
        self.shares.set_queued(workspace, total)
