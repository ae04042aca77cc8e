"""The shipped routing policy."""

from dataclasses import dataclass

from papayacrank.config import Goals
from papayacrank.kernel import register

from ._base import RoutingPolicy, Situation, missing_tokens
from ._baselines import rendezvous_weight
from ._demand import PrefixDemand
from ._targets import TargetState
from ._types import Choice, RoutingRequest

CROSS_DOMAIN_MS = 2.0
DEFAULT_IMPORT_SETUP_MS = 20.0
DEFAULT_IMPORT_MS_PER_BLOCK = 12.0
# The report is an upper estimate of the queue, as others finish meanwhile.
QUEUE_WEIGHT = 0.7
# A running request delays the prefill of others and occupies a place in the batch.
LOAD_MS_PER_REQUEST = 10.0
# Share of the recomputation by which the home engine of an uncached prefix may be
# slower. Instances that cannot see each other's work yet thus compute it only once.
HOME_DISCOUNT = 0.7
# Rate per copy at which another copy costs half as much.
HOT_REQUESTS_PER_S = 4.0
# Below this difference, lagged reports do not tell which target is better.
TIE_MS = 5.0
# A copy evicts as many blocks, of which some are recomputed and copied again. Goals
# that favour the cache raise the price.
MIN_COPY_WEIGHT = 1.5
MAX_COPY_WEIGHT = 4.0
COPY_WEIGHT_PER_GOAL = 2.0


@dataclass(frozen=True, slots=True)
class Option:
    """A target with the parts of its expected time to first token.

    Parameters
    ----------
    cost : float
        Weighted sum that decides.
    """

    state: TargetState
    matched_blocks: int
    queue_ms: float
    fill_ms: float
    kv_source: str | None
    cost: float


@register(RoutingPolicy, "papayacrank")
class CostPolicy(RoutingPolicy):
    """Chooses the target with the lowest weighted expected time to first token.

    The cost adds up the queue, the recomputation of uncached blocks or their import
    from another engine, the load, and the price of one more copy of blocks that
    another engine holds: a copy evicts other blocks, which must be recomputed later.
    The price falls with the rate of the prefix per copy, so hot prefixes spread
    before queues build up. Copies that are no longer used are evicted by the engines.

    Parameters
    ----------
    import_setup_ms, import_ms_per_block : float
        Expected duration of an import.
    queue_weight, load_ms_per_request, home_discount, hot_requests_per_s, tie_ms : float
        Weights of the parts; see the constants of this module.
    copy_weight : float or None
        Price of a copy as a share of its recomputation; None derives it from the
        goals.
    """

    def __init__(
        self,
        import_setup_ms: float = DEFAULT_IMPORT_SETUP_MS,
        import_ms_per_block: float = DEFAULT_IMPORT_MS_PER_BLOCK,
        queue_weight: float = QUEUE_WEIGHT,
        load_ms_per_request: float = LOAD_MS_PER_REQUEST,
        home_discount: float = HOME_DISCOUNT,
        hot_requests_per_s: float = HOT_REQUESTS_PER_S,
        tie_ms: float = TIE_MS,
        copy_weight: float | None = None,
    ):
        self.import_setup_ms = import_setup_ms
        self.import_ms_per_block = import_ms_per_block
        self.queue_weight = queue_weight
        self.load_ms_per_request = load_ms_per_request
        self.home_discount = home_discount
        self.hot_requests_per_s = hot_requests_per_s
        self.tie_ms = tie_ms
        self.copy_weight = copy_weight
        self._demand = PrefixDemand()

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        depths = situation.depths()
        options = self._options(request, situation, depths)
        self._demand.count(request.blocks, situation.now_ms)
        option = self._pick(options, situation)
        return Choice(
            target=option.state.name,
            matched_blocks=option.matched_blocks,
            expected_ttft_ms=option.queue_ms + option.fill_ms,
            kv_source=option.kv_source,
            reason=_explain(option, depths, len(situation.targets)),
        )

    def _pick(self, options: list[Option], situation: Situation) -> Option:
        """Return the cheapest option, at random among those that are as cheap."""
        least = min(option.cost for option in options)
        near = [o for o in options if o.cost <= least + self.tie_ms]
        return situation.random_state.choice(near)

    def _options(
        self, request: RoutingRequest, situation: Situation, depths: dict[str, int]
    ) -> list[Option]:
        source = max(depths, key=depths.__getitem__, default=None)
        best_depth = depths[source] if source else 0
        home = self._find_home(request, situation, best_depth)
        copy_weight = self._resolve_copy_weight(situation.goals)
        options = []
        for state in situation.targets:
            matched = depths.get(state.name, 0)
            queue_ms = self._queue_ms(state, situation)
            fill_ms, kv_source = self._fill_ms(
                request, situation, matched, best_depth, source
            )
            cost = self.queue_weight * queue_ms + fill_ms
            cost += self.load_ms_per_request * state.load()
            if matched < best_depth:
                price = self._copy_price(
                    request, situation, depths, matched, best_depth
                )
                cost += copy_weight * price
            if state is home:
                missing = missing_tokens(request, max(matched, best_depth))
                cost -= self.home_discount * missing * situation.table.ms_per_token_
            options.append(Option(state, matched, queue_ms, fill_ms, kv_source, cost))
        return options

    def _queue_ms(self, state: TargetState, situation: Situation) -> float:
        speed = situation.table.ms_per_token_
        queue_ms = state.queue_tokens(situation.now_ms, speed) * speed
        if state.view.failure_domain != situation.failure_domain:
            queue_ms += CROSS_DOMAIN_MS
        return queue_ms

    def _fill_ms(
        self,
        request: RoutingRequest,
        situation: Situation,
        matched: int,
        best_depth: int,
        source: str | None,
    ) -> tuple[float, str | None]:
        """Return the time for the uncached blocks, and the source of an import."""
        speed = situation.table.ms_per_token_
        recompute_ms = missing_tokens(request, matched) * speed
        if matched >= best_depth or situation.index.is_uncertain(source):
            return recompute_ms, None
        import_ms = self.import_setup_ms
        import_ms += (best_depth - matched) * self.import_ms_per_block
        import_ms += missing_tokens(request, best_depth) * speed
        if import_ms >= recompute_ms:
            return recompute_ms, None
        return import_ms, source

    def _copy_price(
        self,
        request: RoutingRequest,
        situation: Situation,
        depths: dict[str, int],
        matched: int,
        best_depth: int,
    ) -> float:
        """Return the price of a copy of the blocks that another engine holds."""
        middle = (matched + best_depth) // 2
        rate = self._demand.rate_per_s(request.blocks, middle, situation.now_ms)
        copies = sum(1 for depth in depths.values() if depth > middle)
        rate_per_copy = rate * situation.instances / copies
        tokens = missing_tokens(request, matched) - missing_tokens(request, best_depth)
        price = tokens * situation.table.ms_per_token_
        return price / (1 + rate_per_copy / self.hot_requests_per_s)

    def _find_home(
        self, request: RoutingRequest, situation: Situation, best_depth: int
    ) -> TargetState | None:
        """Return the engine that all instances prefer for the uncached blocks."""
        if best_depth >= len(request.blocks):
            return None
        key = request.blocks[best_depth]
        return max(situation.targets, key=lambda s: rendezvous_weight(key, s.name))

    def _resolve_copy_weight(self, goals: Goals) -> float:
        if self.copy_weight is not None:
            return self.copy_weight
        cache_goals = goals.hit_rate + goals.recompute
        time_goals = goals.tail + goals.fairness
        if time_goals == 0:
            return MAX_COPY_WEIGHT
        weight = COPY_WEIGHT_PER_GOAL * cache_goals / time_goals
        return min(MAX_COPY_WEIGHT, max(MIN_COPY_WEIGHT, weight))


def _explain(option: Option, depths: dict[str, int], total: int) -> str:
    if total == 1:
        return "only"
    if option.kv_source is not None:
        return "import"
    best_depth = max(depths.values(), default=0)
    if option.matched_blocks < best_depth:
        return "spread"
    return "match" if option.matched_blocks else "load"
