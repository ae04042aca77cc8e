"""Baseline policies for comparison with the default policy."""

import xxhash

from papayacrank.kernel import register

from ._base import RoutingContext, RoutingPolicy
from ._targets import TargetState
from ._types import Choice, RoutingRequest


class _Baseline(RoutingPolicy):
    def _build_choice(
        self, request: RoutingRequest, context: RoutingContext, state: TargetState
    ) -> Choice:
        matched = context.match_depths().get(state.name, 0)
        expected = context.expected_ttft_ms(request, state, matched)
        return Choice(state.name, matched, expected, None, "policy")


@register(RoutingPolicy, "random")
class RandomPolicy(_Baseline):
    """Selects a target uniformly at random."""

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        state = context.random_state.choice(context.targets)
        return self._build_choice(request, context, state)


@register(RoutingPolicy, "round_robin")
class RoundRobinPolicy(_Baseline):
    """Selects the targets in turn."""

    def __init__(self):
        self._next = 0

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        state = context.targets[self._next % len(context.targets)]
        self._next += 1
        return self._build_choice(request, context, state)


@register(RoutingPolicy, "least_loaded")
class LeastLoadedPolicy(_Baseline):
    """Selects the target with the fewest requests; ties are broken at random."""

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        least = min(state.load() for state in context.targets)
        tied = [state for state in context.targets if state.load() == least]
        state = context.random_state.choice(tied)
        return self._build_choice(request, context, state)


@register(RoutingPolicy, "consistent_hash")
class ConsistentHashPolicy(_Baseline):
    """Selects by rendezvous hashing of the leading blocks of the prompt.

    Parameters
    ----------
    prefix_blocks : int
        Maximum number of leading blocks that the hash key covers.
    """

    def __init__(self, prefix_blocks: int = 16):
        self.prefix_blocks = prefix_blocks

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        leading = request.blocks[: self.prefix_blocks]
        key = (
            leading[-1]
            if leading
            else xxhash.xxh3_64_intdigest(request.request_id.encode())
        )
        state = max(context.targets, key=lambda s: rendezvous_weight(key, s.name))
        return self._build_choice(request, context, state)


@register(RoutingPolicy, "longest_match")
class LongestMatchPolicy(_Baseline):
    """Selects the target with the longest prefix match.

    Ties are broken by the lower load, then at random.
    """

    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target."""
        depths = context.match_depths()
        draw = context.random_state.random
        state = max(
            context.targets,
            key=lambda s: (depths.get(s.name, 0), -s.load(), draw()),
        )
        return self._build_choice(request, context, state)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_weight(key: int, target: str) -> int:
    """Return the weight of a target for a key; the highest weight is selected."""
    return xxhash.xxh3_64_intdigest(target.encode(), seed=key & ((1 << 64) - 1))
