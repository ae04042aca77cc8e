"""Measures routing decisions, the prefix index and cache events on one core.

Run with ``python benchmarks/routing_decisions.py``; prints one JSON object a line.
"""

import json
import random
import time
import tracemalloc

import fire

from papayacrank.cache import EngineEvents, PrefixIndex, encode_batch, encode_listing
from papayacrank.config import Goals
from papayacrank.kernel import configure_logging
from papayacrank.routing import LoadReport, Router, RoutingRequest, TargetView

BLOCK_TOKENS = 2_048
CHAIN_BLOCKS = 40
BATCH_BLOCKS = 16
SERVICE = "llm"


class RoutingBenchmarks:
    """Routing benchmarks; each prints one JSON object a line."""

    def all(self, seed: int = 1):
        """Run all benchmarks.

        Parameters
        ----------
        seed : int
            Seed of prompts and loads.
        """
        self.index(seed=seed)
        self.index((1_000_000, 2_000_000), targets=3_300, seed=seed)
        self.events(seed=seed)
        for targets in (9, 100, 3_300):
            self.decisions(targets, 1_000_000, seed=seed)
        for blocks in (250_000, 2_000_000, 4_000_000):
            self.decisions(9, blocks, seed=seed)

    def index(
        self,
        sizes=(250_000, 1_000_000, 2_000_000, 4_000_000),
        targets: int = 9,
        seed: int = 1,
    ):
        """Measure memory use and match time of the index by number of blocks.

        Parameters
        ----------
        sizes : tuple of int
            Numbers of distinct blocks; each is cached by one or two engines.
        targets : int
            Number of engines.
        """
        previous = None
        for size in sizes:
            rng = random.Random(seed)
            tracemalloc.start()
            index = PrefixIndex(max(sizes))
            chains = _fill_index(index, size, targets, rng)
            used_bytes = tracemalloc.get_traced_memory()[0]
            sampled = [chains[i] for i in range(0, len(chains), len(chains) // 2_000)]
            tracemalloc.stop()
            started = time.perf_counter()
            for chain in sampled:
                index.match(chain)
            match_us = (time.perf_counter() - started) / len(sampled) * 1e6
            # The Python integers of the benchmark's chains are not part of the index.
            index_bytes = used_bytes - _chain_bytes(chains)
            line = {
                "benchmark": "index",
                "targets": targets,
                "blocks": len(index),
                "bytes_per_block": round(index_bytes / len(index), 1),
                "match_us": round(match_us, 1),
                "match_blocks": CHAIN_BLOCKS,
            }
            if previous is not None:
                growth = (match_us - previous[1]) / (size - previous[0]) * 1e6
                line["match_slope_us_per_million_blocks"] = round(growth, 2)
            previous = (size, match_us)
            print(json.dumps(line), flush=True)

    def events(self, batches: int = 20_000, blocks: int = 1_000_000, seed: int = 1):
        """Measure cache events per second; one event is one block.

        Parameters
        ----------
        batches : int
            Batches of 16 blocks, alternating between stores and removals.
        blocks : int
            Blocks in the index at the start.
        """
        rng = random.Random(seed)
        index = PrefixIndex(2 * blocks)
        _fill_index(index, blocks, 9, rng)
        events = EngineEvents("e0", index)
        events.start(0)
        events.receive_listing(encode_listing(1, 0, []), 0)
        payloads = []
        for _ in range(batches // 2):
            hashes = [rng.getrandbits(128) for _ in range(BATCH_BLOCKS)]
            payloads.append(encode_batch(1, stored=hashes))
            payloads.append(encode_batch(1, removed=hashes))
        started = time.perf_counter()
        for sequence, payload in enumerate(payloads, start=1):
            events.receive(sequence, payload, 0)
        elapsed_s = time.perf_counter() - started
        line = {
            "benchmark": "events",
            "blocks": blocks,
            "events_per_s_per_core": round(len(payloads) * BATCH_BLOCKS / elapsed_s),
        }
        print(json.dumps(line), flush=True)

    def decisions(
        self, targets: int, blocks: int, requests: int = 2_000, seed: int = 1
    ):
        """Measure `choose` alone, and with the notifications of a complete request.

        Parameters
        ----------
        targets : int
            Engines of the service.
        blocks : int
            Blocks in the index.
        requests : int
            Decisions to measure.
        """
        rng = random.Random(seed)
        router = Router("papayacrank", Goals(), "i1", "d0", rng, max_blocks=2 * blocks)
        views = [
            TargetView(f"e{i}", "127.0.0.1:1", f"d{i % 28}", weights_version="1")
            for i in range(targets)
        ]
        router.update_targets(SERVICE, views, 0)
        for view in views:
            queued = rng.randrange(40_000)
            report = LoadReport(1, "1", rng.randrange(16), 0, queued)
            router.observe_load(view.name, report, 0)
        chains = _fill_index(router.index, blocks, targets, rng)
        choose_us, total_us = [], []
        for number in range(requests):
            chain = rng.choice(chains)
            request = RoutingRequest(
                request_id=f"r{number}",
                service=SERVICE,
                workspace="team-a",
                blocks=chain,
                prompt_tokens=len(chain) * BLOCK_TOKENS + 500,
            )
            started = time.perf_counter()
            choice = router.choose(request, number).ok
            chosen = time.perf_counter()
            router.on_sent(request, choice, number)
            router.on_first_token(request.request_id, number)
            router.on_finished(request.request_id, True, number)
            ended = time.perf_counter()
            choose_us.append((chosen - started) * 1e6)
            total_us.append((ended - started) * 1e6)
        line = {
            "benchmark": "decisions",
            "targets": targets,
            "blocks": len(router.index),
            "prompt_blocks": CHAIN_BLOCKS,
            "choose_p50_us": round(_quantile(choose_us, 0.5), 1),
            "choose_p99_us": round(_quantile(choose_us, 0.99), 1),
            "request_p50_us": round(_quantile(total_us, 0.5), 1),
            "request_p99_us": round(_quantile(total_us, 0.99), 1),
        }
        print(json.dumps(line), flush=True)


def _fill_index(
    index: PrefixIndex, blocks: int, targets: int, rng: random.Random
) -> list[tuple[int, ...]]:
    """Store chains of blocks, of which 50 each share the first 8; return the chains."""
    chains = []
    shared: list[int] = []
    stored = 0
    while stored < blocks:
        if len(chains) % 50 == 0:
            shared = [rng.getrandbits(128) for _ in range(8)]
            stored += len(shared)
        own = CHAIN_BLOCKS - len(shared)
        chain = (*shared, *(rng.getrandbits(128) for _ in range(own)))
        stored += own
        chains.append(chain)
        for _ in range(1 + (len(chains) % 4 == 0)):
            index.store(f"e{rng.randrange(targets)}", 1, chain)
    return chains


def _chain_bytes(chains: list[tuple[int, ...]]) -> int:
    """Return the memory of the block chains in bytes; shared hashes count once."""
    numbers = {}
    total = chains.__sizeof__()
    for chain in chains:
        total += chain.__sizeof__() + 16
        for number in chain:
            numbers[id(number)] = number.__sizeof__()
    return total + sum(numbers.values())


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


if __name__ == "__main__":
    configure_logging("benchmark", "error")
    fire.Fire(RoutingBenchmarks, name="routing_decisions")
