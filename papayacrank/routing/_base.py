"""Interface of routing policies."""

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

from papayacrank.cache import PrefixIndex
from papayacrank.config import Goals
from papayacrank.permits import PermitClient

from ._targets import TargetState, TargetTable
from ._types import Choice, RoutingRequest


@dataclass(slots=True)
class RoutingContext:
    """Input of a routing policy for one request.

    Parameters
    ----------
    targets : list of TargetState
        Eligible targets; never empty.
    table : TargetTable
        All targets of the service and their estimated prefill speed.
    levels : list of (int, int)
        Result of `PrefixIndex.match_levels`, deepest first.
    index : PrefixIndex
        Index of the blocks cached on each target.
    goals : Goals
        Weights of the routing goals.
    failure_domain : str
        Failure domain of this instance.
    instances : int
        Number of entry instances that send to the same targets.
    random_state : random.Random
        Source of random choices.
    now_ms : int
        Current time in milliseconds.
    permits : PermitClient
        Request rate limits of the targets.
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
    permits: PermitClient

    def permit_wait_ms(self, state: TargetState) -> int:
        """Return the expected time until a permit of a target is free, in ms."""
        return self.permits.wait_ms(state.name, self.now_ms)

    def match_depths(self) -> dict[str, int]:
        """Return the number of usable matched blocks of each target with a match."""
        depths = {}
        for state in self.targets:
            slot = self.index.slot(state.name)
            depth = get_match_depth(self.levels, slot)
            if depth:
                depths[state.name] = self.index.usable_depth(slot, depth)
        return depths

    def expected_ttft_ms(
        self, request: RoutingRequest, state: TargetState, matched_blocks: int
    ) -> float:
        """Return the queueing and recomputation time in ms, without a KV import."""
        ms_per_token = self.table.prefill_ms_per_token_
        queued = state.queue_tokens(self.now_ms, ms_per_token)
        return (queued + count_uncached_tokens(request, matched_blocks)) * ms_per_token


class RoutingPolicy(ABC):
    """Selects one of the eligible targets for a request."""

    @abstractmethod
    def select(self, request: RoutingRequest, context: RoutingContext) -> Choice:
        """Select a target.

        Parameters
        ----------
        request : RoutingRequest
            Request to route.
        context : RoutingContext
            Eligible targets and their state.

        Returns
        -------
        Choice
            One of ``context.targets``.
        """


def get_match_depth(levels: list[tuple[int, int]], slot: int | None) -> int:
    """Return the number of matched blocks of the target in a slot of the masks."""
    if slot is None:
        return 0
    for depth, mask in levels:
        if mask >> slot & 1:
            return depth
    return 0


def count_uncached_tokens(request: RoutingRequest, matched_blocks: int) -> int:
    """Return the number of prompt tokens beyond the matched blocks.

    The block size is derived from the request, assuming blocks of equal size.
    """
    if not request.blocks or not matched_blocks:
        return request.prompt_tokens
    block_tokens = request.prompt_tokens // len(request.blocks)
    return max(0, request.prompt_tokens - matched_blocks * block_tokens)
