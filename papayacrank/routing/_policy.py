"""Default routing policy."""

from dataclasses import dataclass

from papayacrank.config import Goals
from papayacrank.kernel import register

from ._base import RoutingContext, RoutingPolicy, count_uncached_tokens
from ._baselines import rendezvous_weight
from ._prefix_rates import PrefixRateTracker
from ._targets import TargetState
from ._types import Choice, RoutingRequest

CROSS_DOMAIN_MS = 2.0
DEFAULT_IMPORT_SETUP_MS = 20.0
DEFAULT_IMPORT_MS_PER_BLOCK = 12.0
# A reported queue is an upper estimate: other requests finish in the meantime.
QUEUE_WEIGHT = 0.7
# A running request delays the prefill of others and occupies a batch slot.
LOAD_MS_PER_REQUEST = 10.0
# Discount on the recomputation cost at the affinity target of an uncached prefix, as a
# share. Instances that do not see each other's work yet thus compute it only once.
AFFINITY_DISCOUNT = 0.7
# Request rate per copy at which the cost of another copy is halved.
HOT_REQUESTS_PER_S = 4.0
# Smaller cost differences are not significant, because load reports lag.
TIE_MS = 5.0
# A copy evicts as many blocks, some of which are recomputed and copied again. Goals
# that favour the cache raise the weight.
MIN_COPY_WEIGHT = 1.5
MAX_COPY_WEIGHT = 4.0
COPY_WEIGHT_PER_GOAL_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class ScoredTarget:
    """A target with its cost and the parts of its expected time to first token.

    Parameters
    ----------
    state : TargetState
        The target.
    matched_blocks : int
        Number of usable blocks in its cache.
    queue_ms, prefill_ms : float
        Expected queueing time, and time to recompute or import the uncached blocks.
    kv_source : str or None
        Target from which the blocks are imported, None without an import.
    cost : float
        Weighted cost in milliseconds; the lowest is selected.
    """

    state: TargetState
    matched_blocks: int
    queue_ms: float
    prefill_ms: float
    kv_source: str | None
    cost: float


@register(RoutingPolicy, "papayacrank")
class CostPolicy(RoutingPolicy):
    """Selects the target with the lowest weighted expected time to first token.

    The cost is the sum of the queueing time, the recomputation of uncached blocks or
    their import from another engine, the load, and the cost of one more copy of blocks
    that another engine holds: a copy evicts other blocks, which must be recomputed
    later. The copy cost falls with the request rate of the prefix per copy, so that hot
    prefixes are replicated before queues build up. Engines evict copies that are no
    longer used.

    Parameters
    ----------
    import_setup_ms, import_ms_per_block : float
        Expected duration of an import: fixed part, and part per block.
    queue_weight, load_ms_per_request, affinity_discount : float
        Weights of the parts of the cost; see the constants of this module.
    hot_requests_per_s, tie_ms : float
        Thresholds of the copy cost and of ties; see the constants of this module.
    copy_weight : float or None
        Cost of a copy as a multiple of its recomputation; None derives it from the
        goals.
    """

    def __init__(
        self,
        import_setup_ms: float = DEFAULT_IMPORT_SETUP_MS,
        import_ms_per_block: float = DEFAULT_IMPORT_MS_PER_BLOCK,
        queue_weight: float = QUEUE_WEIGHT,
        load_ms_per_request: float = LOAD_MS_PER_REQUEST,
        affinity_discount: float = AFFINITY_DISCOUNT,
        hot_requests_per_s: float = HOT_REQUESTS_PER_S,
        tie_ms: float = TIE_MS,
        copy_weight: float | None = None,
    ):
        self.import_setup_ms = import_setup_ms
        self.import_ms_per_block = import_ms_per_block
        self.queue_weight = queue_weight
        self.load_ms_per_request = load_ms_per_request
        self.affinity_discount = affinity_discount
        self.hot_requests_per_s = hot_requests_per_s
        self.tie_ms = tie_ms
        self.copy_weight = copy_weight
        self._prefix_rates = PrefixRateTracker()

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        depths = context.match_depths()
        candidates = self._score_targets(request, context, depths)
        self._prefix_rates.record(request.blocks, context.now_ms)
        candidate = self._select_cheapest(candidates, context)
        return Choice(
            target=candidate.state.name,
            matched_blocks=candidate.matched_blocks,
            expected_ttft_ms=candidate.queue_ms + candidate.prefill_ms,
            kv_source=candidate.kv_source,
            reason=_explain_choice(candidate, depths, len(context.targets)),
        )

    def _select_cheapest(
        self, candidates: list[ScoredTarget], context: RoutingContext
    ) -> ScoredTarget:
        """Return a random candidate among those within `tie_ms` of the lowest cost."""
        least = min(candidate.cost for candidate in candidates)
        tied = [c for c in candidates if c.cost <= least + self.tie_ms]
        return context.random_state.choice(tied)

    def _score_targets(
        self, request: RoutingRequest, context: RoutingContext, depths: dict[str, int]
    ) -> list[ScoredTarget]:
        source = max(depths, key=depths.__getitem__, default=None)
        best_depth = depths[source] if source else 0
        affinity_target = self._find_affinity_target(request, context, best_depth)
        copy_weight = self._resolve_copy_weight(context.goals)
        candidates = []
        for state in context.targets:
            matched = depths.get(state.name, 0)
            queue_ms = self._queue_ms(state, context)
            prefill_ms, kv_source = self._prefill_ms(
                request, context, matched, best_depth, source
            )
            cost = self.queue_weight * queue_ms + prefill_ms
            cost += self.load_ms_per_request * state.load()
            if matched < best_depth:
                copy_cost_ms = self._copy_cost_ms(
                    request, context, depths, matched, best_depth
                )
                cost += copy_weight * copy_cost_ms
            if state is affinity_target:
                uncached = count_uncached_tokens(request, max(matched, best_depth))
                cost -= (
                    self.affinity_discount
                    * uncached
                    * context.table.prefill_ms_per_token_
                )
            candidates.append(
                ScoredTarget(state, matched, queue_ms, prefill_ms, kv_source, cost)
            )
        return candidates

    def _queue_ms(self, state: TargetState, context: RoutingContext) -> float:
        ms_per_token = context.table.prefill_ms_per_token_
        queue_ms = state.queue_tokens(context.now_ms, ms_per_token) * ms_per_token
        if state.view.failure_domain != context.failure_domain:
            queue_ms += CROSS_DOMAIN_MS
        return queue_ms + context.permit_wait_ms(state)

    def _prefill_ms(
        self,
        request: RoutingRequest,
        context: RoutingContext,
        matched: int,
        best_depth: int,
        source: str | None,
    ) -> tuple[float, str | None]:
        """Return the time to obtain the uncached blocks and the source of an import."""
        ms_per_token = context.table.prefill_ms_per_token_
        recompute_ms = count_uncached_tokens(request, matched) * ms_per_token
        if matched >= best_depth or context.index.is_uncertain(source):
            return recompute_ms, None
        import_ms = self.import_setup_ms
        import_ms += (best_depth - matched) * self.import_ms_per_block
        import_ms += count_uncached_tokens(request, best_depth) * ms_per_token
        if import_ms >= recompute_ms:
            return recompute_ms, None
        return import_ms, source

    def _copy_cost_ms(
        self,
        request: RoutingRequest,
        context: RoutingContext,
        depths: dict[str, int],
        matched: int,
        best_depth: int,
    ) -> float:
        """Return the cost of another copy of the blocks that another engine holds."""
        middle = (matched + best_depth) // 2
        rate = self._prefix_rates.rate_per_s(request.blocks, middle, context.now_ms)
        copies = sum(1 for depth in depths.values() if depth > middle)
        rate_per_copy = rate * context.instances / copies
        tokens = count_uncached_tokens(request, matched) - count_uncached_tokens(
            request, best_depth
        )
        recompute_ms = tokens * context.table.prefill_ms_per_token_
        return recompute_ms / (1 + rate_per_copy / self.hot_requests_per_s)

    def _find_affinity_target(
        self, request: RoutingRequest, context: RoutingContext, best_depth: int
    ) -> TargetState | None:
        """Return the target that all instances prefer for the first uncached block."""
        if best_depth >= len(request.blocks):
            return None
        key = request.blocks[best_depth]
        return max(context.targets, key=lambda s: rendezvous_weight(key, s.name))

    def _resolve_copy_weight(self, goals: Goals) -> float:
        if self.copy_weight is not None:
            return self.copy_weight
        cache_goals = goals.hit_rate + goals.recompute
        time_goals = goals.tail + goals.fairness
        if time_goals == 0:
            return MAX_COPY_WEIGHT
        weight = COPY_WEIGHT_PER_GOAL_RATIO * cache_goals / time_goals
        return min(MAX_COPY_WEIGHT, max(MIN_COPY_WEIGHT, weight))


def _explain_choice(candidate: ScoredTarget, depths: dict[str, int], total: int) -> str:
    if total == 1:
        return "only"
    if candidate.kv_source is not None:
        return "import"
    best_depth = max(depths.values(), default=0)
    if candidate.matched_blocks < best_depth:
        return "spread"
    return "match" if candidate.matched_blocks else "load"
