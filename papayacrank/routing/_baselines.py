"""Simple policies that the shipped one is compared with."""

import xxhash

from papayacrank.kernel import register

from ._base import RoutingPolicy, Situation
from ._targets import TargetState
from ._types import Choice, RoutingRequest


class _Baseline(RoutingPolicy):
    def _choice(
        self, request: RoutingRequest, situation: Situation, state: TargetState
    ) -> Choice:
        matched = situation.depths().get(state.name, 0)
        expected = situation.expected_ttft_ms(request, state, matched)
        return Choice(state.name, matched, expected, None, "policy")


@register(RoutingPolicy, "random")
class RandomPolicy(_Baseline):
    """Chooses any target with equal probability."""

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        state = situation.random_state.choice(situation.targets)
        return self._choice(request, situation, state)


@register(RoutingPolicy, "round_robin")
class RoundRobinPolicy(_Baseline):
    """Chooses the targets in turn."""

    def __init__(self):
        self._next = 0

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        state = situation.targets[self._next % len(situation.targets)]
        self._next += 1
        return self._choice(request, situation, state)


@register(RoutingPolicy, "least_loaded")
class LeastLoadedPolicy(_Baseline):
    """Chooses the target with the fewest requests, ties at random."""

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        least = min(state.load() for state in situation.targets)
        tied = [state for state in situation.targets if state.load() == least]
        state = situation.random_state.choice(tied)
        return self._choice(request, situation, state)


@register(RoutingPolicy, "consistent_hash")
class ConsistentHashPolicy(_Baseline):
    """Chooses by rendezvous hashing of the first blocks of the prompt.

    Parameters
    ----------
    prefix_blocks : int
        Number of leading blocks that decide.
    """

    def __init__(self, prefix_blocks: int = 16):
        self.prefix_blocks = prefix_blocks

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        leading = request.blocks[: self.prefix_blocks]
        key = (
            leading[-1]
            if leading
            else xxhash.xxh3_64_intdigest(request.request_id.encode())
        )
        state = max(situation.targets, key=lambda s: rendezvous_weight(key, s.name))
        return self._choice(request, situation, state)


@register(RoutingPolicy, "longest_match")
class LongestMatchPolicy(_Baseline):
    """Chooses the target with the longest match, ties by load."""

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        depths = situation.depths()
        draw = situation.random_state.random
        state = max(
            situation.targets,
            key=lambda s: (depths.get(s.name, 0), -s.load(), draw()),
        )
        return self._choice(request, situation, state)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def rendezvous_weight(key: int, target: str) -> int:
    """Return the weight of a target for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(target.encode(), seed=key & ((1 << 64) - 1))
