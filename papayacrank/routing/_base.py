"""Interface of routing policies."""

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

from papayacrank.cache import PrefixIndex
from papayacrank.config import Goals

from ._targets import TargetState, TargetTable
from ._types import Choice, RoutingRequest


@dataclass(slots=True)
class Situation:
    """Everything that a policy may look at for one decision.

    Parameters
    ----------
    targets : list of TargetState
        Targets that may be chosen; never empty.
    levels : list of (int, int)
        Result of `PrefixIndex.match_levels`, deepest first.
    instances : int
        Number of entry instances that send to the same targets.
    """

    targets: list[TargetState]
    table: TargetTable
    levels: list[tuple[int, int]]
    index: PrefixIndex
    goals: Goals
    failure_domain: str
    instances: int
    random_state: random.Random
    now_ms: int

    def depths(self) -> dict[str, int]:
        """Return the usable matched blocks of each target that has any."""
        found = {}
        for state in self.targets:
            slot = self.index.slot(state.name)
            depth = find_depth(self.levels, slot)
            if depth:
                found[state.name] = self.index.usable_depth(slot, depth)
        return found

    def expected_ttft_ms(
        self, request: RoutingRequest, state: TargetState, matched_blocks: int
    ) -> float:
        """Return queue and recomputation time, without import."""
        speed = self.table.ms_per_token_
        queue = state.queue_tokens(self.now_ms, speed)
        return (queue + missing_tokens(request, matched_blocks)) * speed


class RoutingPolicy(ABC):
    """Chooses one of the targets that may receive a request."""

    @abstractmethod
    def select(self, request: RoutingRequest, situation: Situation) -> Choice:
        """Choose a target.

        Parameters
        ----------
        request : RoutingRequest
            Request to place.
        situation : Situation
            Targets and what is known about them.

        Returns
        -------
        Choice
            A target among ``situation.targets``.
        """


def find_depth(levels: list[tuple[int, int]], slot: int | None) -> int:
    """Return the matched blocks of the target with a bit number."""
    if slot is None:
        return 0
    for depth, mask in levels:
        if mask >> slot & 1:
            return depth
    return 0


def missing_tokens(request: RoutingRequest, matched_blocks: int) -> int:
    """Return the prompt tokens beyond the matched blocks, assuming equal blocks."""
    if not request.blocks or not matched_blocks:
        return request.prompt_tokens
    block_tokens = request.prompt_tokens // len(request.blocks)
    return max(0, request.prompt_tokens - matched_blocks * block_tokens)
