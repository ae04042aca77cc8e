"""The shipped routing policy."""

from dataclasses import dataclass

import xxhash

from papayacrank.kernel import register

from ._base import RoutingPolicy, Situation, missing_tokens
from ._baselines import rendezvous_weight
from ._targets import TargetState
from ._types import Choice, RoutingRequest

CROSS_DOMAIN_MS = 2.0


@dataclass(frozen=True, slots=True)
class _Option:
    """A target with the parts of its expected time to first token."""

    state: TargetState
    matched_blocks: int
    queue_ms: float
    recompute_ms: float
    import_ms: float
    kv_source: str | None
    cost: float

    @property
    def expected_ttft_ms(self) -> float:
        return self.queue_ms + self.recompute_ms + self.import_ms


@register(RoutingPolicy, "papayacrank")
class CostPolicy(RoutingPolicy):
    """Chooses the target with the lowest weighted expected time to first token."""

    def __init__(
        self,
        miss_weight: float = 1.0,
        queue_weight: float = 1.0,
        import_ms_per_block: float = 12.0,
        import_setup_ms: float = 20.0,
        use_import: bool = True,
        home_discount: float = 0.0,
        herd: float = 0.0,
        tie_ms: float = 0.0,
        import_weight: float = 1.0,
        dup_weight: float = 0.0,
    ):
        self.miss_weight = miss_weight
        self.queue_weight = queue_weight
        self.import_ms_per_block = import_ms_per_block
        self.import_setup_ms = import_setup_ms
        self.use_import = use_import
        self.home_discount = home_discount
        self.herd = herd
        self.tie_ms = tie_ms
        self.import_weight = import_weight
        self.dup_weight = dup_weight

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        depths = situation.depths()
        best_name, best_depth = None, 0
        for s in situation.targets:
            d = depths.get(s.name, 0)
            if d > best_depth:
                best_name, best_depth = s.name, d
        speed = situation.table.ms_per_token_
        home = None
        if self.home_discount and best_depth < len(request.blocks):
            key = request.blocks[min(best_depth, len(request.blocks) - 1)]
            home = max(
                situation.targets, key=lambda s: rendezvous_weight(key, s.name)
            ).name
        options = []
        for s in situation.targets:
            matched = depths.get(s.name, 0)
            queue = s.queue_tokens(situation.now_ms, speed)
            queue += self.herd * s.unreported_tokens
            queue_ms = queue * speed
            if s.view.failure_domain != situation.failure_domain:
                queue_ms += CROSS_DOMAIN_MS
            miss = missing_tokens(request, matched)
            recompute_ms = miss * speed
            import_ms, source = 0.0, None
            if self.use_import and best_depth > matched:
                gap = best_depth - matched
                imp = self.import_setup_ms + gap * self.import_ms_per_block
                rest = missing_tokens(request, best_depth) * speed
                if imp + rest < recompute_ms:
                    import_ms, source, recompute_ms = imp, best_name, rest
            cost = (
                self.queue_weight * queue_ms
                + self.miss_weight * recompute_ms
                + self.import_weight * import_ms
            )
            cost += (
                self.dup_weight * (miss - missing_tokens(request, best_depth)) * speed
            )
            if s.name == home:
                cost -= self.home_discount * recompute_ms
            options.append(
                _Option(s, matched, queue_ms, recompute_ms, import_ms, source, cost)
            )
        least = min(o.cost for o in options)
        near = [o for o in options if o.cost <= least + self.tie_ms]
        o = situation.random_state.choice(near)
        reason = "import" if o.kv_source else "match" if o.matched_blocks else "load"
        return Choice(
            o.state.name, o.matched_blocks, o.expected_ttft_ms, o.kv_source, reason
        )
