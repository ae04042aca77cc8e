"""Routing decisions of one entry instance."""

import random
from collections.abc import Iterator

import msgspec
from expression import Error, Ok, Result

from papayacrank.cache import PrefixIndex, iterate_bits
from papayacrank.config import Goals
from papayacrank.kernel import Failure, Verdict, create

from ._base import RoutingPolicy, Situation, find_depth, missing_tokens
from ._targets import Attempt, TargetState, TargetTable
from ._types import Choice, LoadReport, RoutingRequest, TargetView

DEFAULT_MAX_BLOCKS = 4_000_000
MAX_ATTEMPTS = 100_000
MAX_COMPARED_TARGETS = 64
SAMPLED_HOLDERS = 16
SAMPLED_TARGETS = 16
NO_TARGET_RETRY_MS = 1_000


class RouterPage(msgspec.Struct, array_like=True):
    """Part of the routing state on its way to a starting instance."""

    loads: dict[str, LoadReport]
    index: bytes


class Router:
    """Chooses targets from the instance's own view of caches and load.

    Parameters
    ----------
    policy : str or RoutingPolicy
        Registered name or object.
    goals : Goals
        Weights of the goals.
    instance : str
        Name of this instance.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of all random choices.
    max_blocks : int
        Bound of the prefix index.
    """

    def __init__(
        self,
        policy: str | RoutingPolicy,
        goals: Goals,
        instance: str,
        failure_domain: str,
        random_state: random.Random,
        max_blocks: int = DEFAULT_MAX_BLOCKS,
    ):
        self.policy = (
            create(RoutingPolicy, policy) if isinstance(policy, str) else policy
        )
        self.goals = goals
        self.instance = instance
        self.failure_domain = failure_domain
        self.random_state = random_state
        self.index = PrefixIndex(max_blocks)
        self._instances = 1
        self._tables: dict[str, TargetTable] = {}
        self._services: dict[str, str] = {}
        self._attempts: dict[str, TargetState] = {}

    def set_instances(self, count: int) -> None:
        """Set the number of serving entry instances, this one included."""
        self._instances = max(1, count)

    def update_targets(
        self, service: str, views: list[TargetView], now_ms: int
    ) -> None:
        """Take the list of targets of a service from the feed.

        Parameters
        ----------
        service : str
            Name of the service.
        views : list of TargetView
            All targets; those that are missing are forgotten.
        now_ms : int
            Current time.
        """
        table = self._tables.setdefault(service, TargetTable())
        for name in table.update(views):
            self._services.pop(name, None)
            self.index.forget(name)
        for view in views:
            self._services[view.name] = service
            if view.incarnation:
                self.index.set_incarnation(view.name, view.incarnation)

    def observe_load(self, target: str, report: LoadReport, now_ms: int) -> None:
        """Take a load report; reports of unknown targets are ignored.

        A report of a new incarnation or of other weights drops all cache entries of
        the target. A report of an older incarnation is ignored.
        """
        service = self._services.get(target)
        if service is None:
            return
        table = self._tables[service]
        if report.incarnation != self.index.incarnation(target):
            if not self.index.set_incarnation(target, report.incarnation):
                return
            table.ejector.on_new_incarnation(target, now_ms)
        previous = table.states[target].report
        if previous and previous.weights_version != report.weights_version:
            self.index.clear(target)
        table.observe(target, report, now_ms)

    def choose(self, request: RoutingRequest, now_ms: int) -> Result[Choice, Failure]:
        """Choose a target for a request.

        Parameters
        ----------
        request : RoutingRequest
            Request to place.
        now_ms : int
            Current time.

        Returns
        -------
        Result of Choice or Failure
            ``no_target`` with verdict "not run" if no target may receive it.
        """
        table = self._tables.get(request.service)
        levels = self.index.match_levels(request.blocks)
        targets = []
        if table is not None:
            candidates = self._candidates(table, levels)
            targets = self._eligible(table, candidates, request, now_ms)
        if not targets:
            return Error(_no_target(request.service))
        situation = Situation(
            targets=targets,
            table=table,
            levels=levels,
            index=self.index,
            goals=self.goals,
            failure_domain=self.failure_domain,
            instances=self._instances,
            random_state=self.random_state,
            now_ms=now_ms,
        )
        return Ok(self.policy.select(request, situation))

    def on_sent(self, request: RoutingRequest, choice: Choice, now_ms: int) -> None:
        """Count a request as work of its target, and its blocks as cached there."""
        state = self._find_state(choice.target)
        if state is None:
            return
        self.on_finished(request.request_id, None, now_ms)
        self._forget_oldest_attempt()
        table = self._tables[request.service]
        incarnation = self.index.incarnation(choice.target) or 0
        levels = self.index.match_levels(request.blocks)
        held = find_depth(levels, self.index.slot(choice.target))
        attempt = Attempt(
            request=request,
            choice=choice,
            sent_ms=now_ms,
            work_tokens=missing_tokens(request, choice.matched_blocks),
            queue_tokens=state.queue_tokens(now_ms, table.ms_per_token_),
            new_blocks=request.blocks[held:],
            incarnation=incarnation,
        )
        self.index.store(choice.target, incarnation, request.blocks)
        state.add(attempt)
        table.ejector.on_sent(choice.target, request.request_id)
        self._attempts[request.request_id] = state

    def on_first_token(self, request_id: str, now_ms: int) -> None:
        """Learn from the time to first token (first byte for plain services)."""
        state = self._attempts.get(request_id)
        if state is None:
            return
        attempt = state.attempts[request_id]
        if attempt.has_first_token:
            return
        state.mark_first_token(attempt)
        table = self._tables[attempt.request.service]
        ttft_ms = now_ms - attempt.sent_ms
        table.learn_speed(attempt, ttft_ms)
        table.ejector.observe(
            state.name,
            request_id,
            attempt.choice.expected_ttft_ms,
            ttft_ms,
            len(table.states),
            now_ms,
        )

    def on_finished(self, request_id: str, ok: bool | None, now_ms: int) -> None:
        """Stop counting a request that ended.

        Parameters
        ----------
        request_id : str
            Request; unknown requests are ignored.
        ok : bool or None
            False if the target failed, None if the end says nothing about the target,
            for example because the caller left.
        now_ms : int
            Current time.
        """
        state = self._attempts.pop(request_id, None)
        if state is None:
            return
        attempt = state.attempts[request_id]
        table = self._tables[attempt.request.service]
        target = attempt.choice.target
        if not ok and not attempt.has_first_token:
            self.index.remove(target, attempt.incarnation, attempt.new_blocks)
        if ok is False:
            count = len(table.states)
            table.ejector.observe_failure(target, request_id, count, now_ms)
        table.ejector.on_ended(target, request_id)
        state.discard(attempt)

    def export_page(self, cursor: str = "") -> tuple[bytes, str]:
        """Encode a part of the index and the load reports for a starting instance.

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
        blocks, following = self.index.export_page(int(cursor or "0"))
        loads = {} if cursor else self._known_loads()
        page = msgspec.msgpack.encode(RouterPage(loads, blocks))
        return page, "" if following is None else str(following)

    def export_pages(self) -> Iterator[bytes]:
        """Encode all pages."""
        page, cursor = self.export_page()
        yield page
        while cursor:
            page, cursor = self.export_page(cursor)
            yield page

    def import_page(self, page: bytes, now_ms: int) -> None:
        """Take a page of another instance.

        Raises
        ------
        msgspec.DecodeError
            If `page` is malformed.
        """
        decoded = msgspec.msgpack.decode(page, type=RouterPage)
        self.index.import_page(decoded.index)
        for target, report in decoded.loads.items():
            self.observe_load(target, report, now_ms)

    def _known_loads(self) -> dict[str, LoadReport]:
        return {
            state.name: state.report
            for table in self._tables.values()
            for state in table.states.values()
            if state.report is not None
        }

    def _candidates(
        self, table: TargetTable, levels: list[tuple[int, int]]
    ) -> list[TargetState]:
        """Return the targets to compare: all of a small service, else a sample.

        The sample has the deepest matches, and random targets of the own failure
        domain and of all.
        """
        current = table.current
        if len(current) <= MAX_COMPARED_TARGETS:
            return current
        sample = {}
        for state in self._deepest_holders(table, levels):
            sample[state.name] = state
        for pool in (table.current_in_domain(self.failure_domain), current):
            for state in self._draw(pool, SAMPLED_TARGETS):
                sample[state.name] = state
        return list(sample.values())

    def _deepest_holders(
        self, table: TargetTable, levels: list[tuple[int, int]]
    ) -> Iterator[TargetState]:
        left = SAMPLED_HOLDERS
        for _, mask in levels:
            for slot in iterate_bits(self._rotate(mask)):
                state = table.states.get(self.index.target_at(slot))
                if state is not None and state.is_current:
                    yield state
                left -= 1
                if left == 0:
                    return

    def _rotate(self, mask: int) -> int:
        """Keep a random window of a mask with many holders."""
        if mask.bit_count() <= SAMPLED_HOLDERS:
            return mask
        start = self.random_state.randrange(mask.bit_length())
        upper = mask >> start << start
        return upper or mask

    def _draw(self, pool: list[TargetState], count: int) -> list[TargetState]:
        if len(pool) <= count:
            return pool
        return self.random_state.sample(pool, count)

    def _eligible(
        self,
        table: TargetTable,
        targets: list[TargetState],
        request: RoutingRequest,
        now_ms: int,
    ) -> list[TargetState]:
        if request.excluded:
            targets = [s for s in targets if s.name not in request.excluded]
        if not table.ejector.ejected:
            return targets
        healthy = [s for s in targets if table.ejector.may_receive(s.name, now_ms)]
        return healthy or targets

    def _find_state(self, target: str) -> TargetState | None:
        service = self._services.get(target)
        return self._tables[service].states.get(target) if service else None

    def _forget_oldest_attempt(self) -> None:
        if len(self._attempts) >= MAX_ATTEMPTS:
            oldest = next(iter(self._attempts))
            state = self._attempts.pop(oldest)
            state.discard(state.attempts[oldest])


def _no_target(service: str) -> Failure:
    return Failure(
        code="no_target",
        verdict=Verdict.NOT_RUN,
        message=f"no target of service {service!r} can take new work",
        status=503,
        retry_after_ms=NO_TARGET_RETRY_MS,
    )
