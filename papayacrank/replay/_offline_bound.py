"""Offline bound: one shared cache with Belady's optimal eviction."""

import heapq
from collections import defaultdict

from ._entry import RequestRecord
from ._runner import Run
from ._trace import BlockHasher, Trace

NO_NEXT_USE = 1 << 60


def compute_offline_bound(trace: Trace) -> Run:
    """Replay the trace on one cache of the size of all engines' caches.

    The block whose next use is farthest in the future is evicted first (Belady), and
    a block that is used later than all cached ones is not stored. Each request
    runs alone on an idle engine. No policy can reach a higher hit rate or a shorter
    time to first token, apart from requests that are served out of order.
    """
    header = trace.header
    hasher = BlockHasher(header)
    records = [RequestRecord(a, hasher.hash_arrival(a)) for a in trace.arrivals]
    capacity = header.engine.cache_blocks * len(header.engines)
    next_use = _find_next_uses(records)
    cached: dict[int, int] = {}
    order: list[tuple[int, int]] = []
    for number, record in enumerate(records):
        record.cached_blocks = _count_leading(record.blocks, cached)
        for block in record.blocks:
            cached[block] = next_use[(number, block)]
            heapq.heappush(order, (-cached[block], block))
        while len(cached) > capacity:
            negative_use, block = heapq.heappop(order)
            if cached.get(block) == -negative_use:
                del cached[block]
        cached_tokens = record.cached_blocks * header.block_tokens
        missing = max(1, record.arrival.prompt_tokens - cached_tokens)
        record.ttft_ms = missing * 1_000 / header.engine.prefill_tokens_per_s
        record.is_done = True
    return Run(trace, "offline_bound", records)


def _find_next_uses(records: list[RequestRecord]) -> dict[tuple[int, int], int]:
    upcoming: dict[int, int] = defaultdict(lambda: NO_NEXT_USE)
    next_use = {}
    for number in range(len(records) - 1, -1, -1):
        for block in records[number].blocks:
            next_use[(number, block)] = upcoming[block]
            upcoming[block] = number
    return next_use


def _count_leading(blocks: tuple[int, ...], cached: dict[int, int]) -> int:
    for depth, block in enumerate(blocks):
        if block not in cached:
            return depth
    return len(blocks)
