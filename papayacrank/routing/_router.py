"""Routing decisions of one entry instance."""

import random
from collections.abc import Iterator

import msgspec
from expression import Error, Ok, Result

from papayacrank.cache import PrefixIndex, iterate_bits
from papayacrank.config import Goals
from papayacrank.kernel import Failure, Verdict, create
from papayacrank.permits import PermitClient, RetrySpread

from ._base import RoutingContext, RoutingPolicy, count_uncached_tokens, get_match_depth
from ._targets import Attempt, TargetState, TargetTable
from ._types import Choice, LoadReport, RoutingRequest, TargetView

DEFAULT_MAX_BLOCKS = 4_000_000
MAX_ATTEMPTS = 100_000
MAX_COMPARED_TARGETS = 64
SAMPLED_HOLDERS = 16
SAMPLED_TARGETS = 16
NO_TARGET_RETRY_MS = 1_000


class RouterPage(msgspec.Struct, array_like=True):
    """One page of the routing state that a starting instance copies from a peer."""

    loads: dict[str, LoadReport]
    index: bytes


class Router:
    """Selects targets by the cached blocks and loads known to this instance.

    Parameters
    ----------
    policy : str or RoutingPolicy
        Registered name of a policy, or a policy.
    goals : Goals
        Weights of the goals.
    instance : str
        Name of this instance.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of all random choices.
    max_blocks : int
        Maximum number of blocks in the prefix index.
    permits : PermitClient, optional
        Request rate limits of the targets.
    """

    def __init__(
        self,
        policy: str | RoutingPolicy,
        goals: Goals,
        instance: str,
        failure_domain: str,
        random_state: random.Random,
        max_blocks: int = DEFAULT_MAX_BLOCKS,
        permits: PermitClient | None = None,
    ):
        self.policy = (
            create(RoutingPolicy, policy) if isinstance(policy, str) else policy
        )
        self.goals = goals
        self.instance = instance
        self.failure_domain = failure_domain
        self.random_state = random_state
        self.index = PrefixIndex(max_blocks)
        self._permits = permits or PermitClient(instance)
        self._spread = RetrySpread(random_state)
        self._instances = 1
        self._tables: dict[str, TargetTable] = {}
        self._service_by_target: dict[str, str] = {}
        self._target_by_request: dict[str, TargetState] = {}

    def set_instances(self, count: int) -> None:
        """Set the number of serving entry instances, this one included."""
        self._instances = max(1, count)

    def update_targets(
        self, service: str, views: list[TargetView], now_ms: int
    ) -> None:
        """Replace the targets of a service by a list from the feed.

        Parameters
        ----------
        service : str
            Name of the service.
        views : list of TargetView
            All targets; the state of targets that are not listed is removed.
        now_ms : int
            Current time.
        """
        table = self._tables.setdefault(service, TargetTable())
        for name in table.update(views):
            self._service_by_target.pop(name, None)
            self.index.remove_target(name)
        for view in views:
            self._service_by_target[view.name] = service
            if view.incarnation:
                self.index.set_incarnation(view.name, view.incarnation)

    def observe_load(self, target: str, report: LoadReport, now_ms: int) -> None:
        """Record a load report; reports of unknown targets are ignored.

        A report with a new incarnation or other weights clears the cache entries of the
        target. A report of an older incarnation is ignored.
        """
        service = self._service_by_target.get(target)
        if service is None:
            return
        table = self._tables[service]
        if report.incarnation != self.index.incarnation(target):
            if not self.index.set_incarnation(target, report.incarnation):
                return
            table.outlier_detector.on_new_incarnation(target, now_ms)
        previous = table.states[target].report
        if previous and previous.weights_version != report.weights_version:
            self.index.clear(target)
        table.observe(target, report, now_ms)

    def choose(self, request: RoutingRequest, now_ms: int) -> Result[Choice, Failure]:
        """Select a target for a request.

        Parameters
        ----------
        request : RoutingRequest
            Request to route.
        now_ms : int
            Current time.

        Returns
        -------
        Result of Choice or Failure
            With verdict "not run": ``targets_limited`` if all targets are at the
            request rate that they accept, otherwise ``no_target``.
        """
        table = self._tables.get(request.service)
        levels = self.index.match_levels(request.blocks)
        targets = []
        if table is not None:
            candidates = self._candidates(table, levels, request)
            targets = self._filter_eligible(table, candidates, request, now_ms)
        if not targets:
            return Error(self._refuse(table, request, now_ms))
        context = RoutingContext(
            targets=targets,
            table=table,
            levels=levels,
            index=self.index,
            goals=self.goals,
            failure_domain=self.failure_domain,
            instances=self._instances,
            random_state=self.random_state,
            now_ms=now_ms,
            permits=self._permits,
        )
        return Ok(self.policy.select(request, context))

    def on_sent(self, request: RoutingRequest, choice: Choice, now_ms: int) -> None:
        """Add a sent request to the load and the cached blocks of its target."""
        state = self._find_target(choice.target)
        if state is None:
            return
        self.on_finished(request.request_id, None, now_ms)
        self._evict_oldest_attempt()
        table = self._tables[request.service]
        incarnation = self.index.incarnation(choice.target) or 0
        levels = self.index.match_levels(request.blocks)
        matched = get_match_depth(levels, self.index.slot(choice.target))
        attempt = Attempt(
            request=request,
            choice=choice,
            sent_ms=now_ms,
            prefill_tokens=count_uncached_tokens(request, choice.matched_blocks),
            queue_tokens=state.queue_tokens(now_ms, table.prefill_ms_per_token_),
            new_blocks=request.blocks[matched:],
            incarnation=incarnation,
        )
        self.index.store(choice.target, incarnation, request.blocks)
        state.add(attempt)
        table.outlier_detector.on_sent(choice.target, request.request_id)
        self._target_by_request[request.request_id] = state

    def on_first_token(self, request_id: str, now_ms: int) -> None:
        """Record the time to first token (first byte for plain services)."""
        state = self._target_by_request.get(request_id)
        if state is None:
            return
        attempt = state.attempts[request_id]
        if attempt.has_first_token:
            return
        state.mark_first_token(attempt)
        table = self._tables[attempt.request.service]
        ttft_ms = now_ms - attempt.sent_ms
        table.update_prefill_speed(attempt, ttft_ms)
        table.outlier_detector.observe(
            state.name,
            request_id,
            attempt.choice.expected_ttft_ms,
            ttft_ms,
            len(table.states),
            now_ms,
        )

    def on_finished(self, request_id: str, ok: bool | None, now_ms: int) -> None:
        """Remove a request that has ended from the load of its target.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        ok : bool or None
            False if the target failed, None if the outcome says nothing about the
            target, for example because the caller disconnected.
        now_ms : int
            Current time.
        """
        state = self._target_by_request.pop(request_id, None)
        if state is None:
            return
        attempt = state.attempts[request_id]
        table = self._tables[attempt.request.service]
        target = attempt.choice.target
        if not ok and not attempt.has_first_token:
            self.index.remove(target, attempt.incarnation, attempt.new_blocks)
        if ok is False:
            count = len(table.states)
            table.outlier_detector.observe_failure(target, request_id, count, now_ms)
        table.outlier_detector.on_ended(target, request_id)
        state.discard(attempt)

    def export_page(self, cursor: str = "") -> tuple[bytes, str]:
        """Encode one page of the index and load reports for a starting instance.

        Parameters
        ----------
        cursor : str
            Empty for the first page.

        Returns
        -------
        bytes
            Page for `import_page`.
        str
            Cursor of the next page, empty at the end.
        """
        blocks, next_cursor = self.index.export_page(int(cursor or "0"))
        loads = {} if cursor else self._latest_loads()
        page = msgspec.msgpack.encode(RouterPage(loads, blocks))
        return page, "" if next_cursor is None else str(next_cursor)

    def export_pages(self) -> Iterator[bytes]:
        """Yield all encoded pages."""
        page, cursor = self.export_page()
        yield page
        while cursor:
            page, cursor = self.export_page(cursor)
            yield page

    def import_page(self, page: bytes, now_ms: int) -> None:
        """Merge a page that another instance has exported.

        Raises
        ------
        msgspec.DecodeError
            If `page` is malformed.
        """
        decoded = msgspec.msgpack.decode(page, type=RouterPage)
        self.index.import_page(decoded.index)
        for target, report in decoded.loads.items():
            self.observe_load(target, report, now_ms)

    def _latest_loads(self) -> dict[str, LoadReport]:
        return {
            state.name: state.report
            for table in self._tables.values()
            for state in table.states.values()
            if state.report is not None
        }

    def _refuse(
        self, table: TargetTable | None, request: RoutingRequest, now_ms: int
    ) -> Failure:
        """Return the refusal of a request that no target can take."""
        available = table.available_targets if table is not None else []
        names = [s.name for s in available if s.name not in request.excluded]
        rates = [self._permits.rate_of(name) for name in names]
        if not rates or None in rates:
            return _no_target(request.service)
        retry_after_ms = self._spread.retry_after_ms(
            request.service,
            min(self._permits.wait_ms(name, now_ms) for name in names),
            sum(rates),
            self._instances,
            now_ms,
        )
        text = f"all targets of {request.service!r} are at the rate that they accept"
        return Failure("targets_limited", Verdict.NOT_RUN, text, 503, retry_after_ms)

    def _candidates(
        self,
        table: TargetTable,
        levels: list[tuple[int, int]],
        request: RoutingRequest,
    ) -> list[TargetState]:
        """Return the targets to compare: all of a small service, otherwise a sample.

        The sample consists of the deepest matches, random targets of this instance's
        failure domain and random targets of the whole service.
        """
        available_targets = table.available_targets
        if request.required is not None:
            return [s for s in available_targets if s.name == request.required]
        if len(available_targets) <= MAX_COMPARED_TARGETS:
            return available_targets
        sample = {}
        for state in self._deepest_holders(table, levels):
            sample[state.name] = state
        for pool in (table.available_in_domain(self.failure_domain), available_targets):
            for state in self._sample(pool, SAMPLED_TARGETS):
                sample[state.name] = state
        return list(sample.values())

    def _deepest_holders(
        self, table: TargetTable, levels: list[tuple[int, int]]
    ) -> Iterator[TargetState]:
        remaining = SAMPLED_HOLDERS
        for _, mask in levels:
            for slot in iterate_bits(self._mask_from_random_slot(mask)):
                state = table.states.get(self.index.target_at(slot))
                if state is not None and state.is_available:
                    yield state
                remaining -= 1
                if remaining == 0:
                    return

    def _mask_from_random_slot(self, mask: int) -> int:
        """Drop the slots below a random one from a mask with many holders."""
        if mask.bit_count() <= SAMPLED_HOLDERS:
            return mask
        start = self.random_state.randrange(mask.bit_length())
        upper = mask >> start << start
        return upper or mask

    def _sample(self, pool: list[TargetState], count: int) -> list[TargetState]:
        if len(pool) <= count:
            return pool
        return self.random_state.sample(pool, count)

    def _filter_eligible(
        self,
        table: TargetTable,
        targets: list[TargetState],
        request: RoutingRequest,
        now_ms: int,
    ) -> list[TargetState]:
        if request.excluded:
            targets = [s for s in targets if s.name not in request.excluded]
        max_wait_ms = request.max_permit_wait_ms
        targets = [
            s
            for s in targets
            if self._permits.has_permit_within(s.name, max_wait_ms, now_ms)
        ]
        if not table.outlier_detector.ejected:
            return targets
        healthy = [
            s for s in targets if table.outlier_detector.may_receive(s.name, now_ms)
        ]
        return healthy or targets

    def _find_target(self, target: str) -> TargetState | None:
        service = self._service_by_target.get(target)
        return self._tables[service].states.get(target) if service else None

    def _evict_oldest_attempt(self) -> None:
        if len(self._target_by_request) >= MAX_ATTEMPTS:
            oldest = next(iter(self._target_by_request))
            state = self._target_by_request.pop(oldest)
            state.discard(state.attempts[oldest])


def _no_target(service: str) -> Failure:
    return Failure(
        code="no_target",
        verdict=Verdict.NOT_RUN,
        message=f"no target of service {service!r} can take new work",
        status=503,
        retry_after_ms=NO_TARGET_RETRY_MS,
    )
