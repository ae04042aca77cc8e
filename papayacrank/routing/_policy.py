"""The shipped routing policy."""

from papayacrank.kernel import register

from ._base import RoutingPolicy, Situation
from ._targets import TargetState
from ._types import Choice, RoutingRequest


@register(RoutingPolicy, "papayacrank")
class CostPolicy(RoutingPolicy):
    """Chooses the target with the lowest expected time to first token."""

    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target."""
        depths = situation.depths()
        draw = situation.random_state.random

        def cost(state: TargetState) -> tuple[float, float]:
            matched = depths.get(state.name, 0)
            return situation.expected_ttft_ms(request, state, matched), draw()

        state = min(situation.targets, key=cost)
        matched = depths.get(state.name, 0)
        expected = situation.expected_ttft_ms(request, state, matched)
        reason = "match" if matched else "load"
        return Choice(state.name, matched, expected, None, reason)
