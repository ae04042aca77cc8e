"""Tests of the choice of targets under the loads that they answer."""

import random
from collections import Counter

import pytest

from papayacrank.forwarding import PromptPart
from papayacrank.forwarding._placement import (
    ExpectedLossPlacement,
    LeastRunningPlacement,
    PartPlaces,
    PlacementRequest,
)
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import EngineProfile, ServiceProfile, TargetLoad

from .builders import MODEL, build_load, build_target, build_view

ENGINE = ServiceProfile("engines", engine=EngineProfile(64, 100_000, models=(MODEL,)))
PLAIN = ServiceProfile("plain")
NAMES = [f"e{number}" for number in range(9)]


class Bench:
    """Engines with a load that the test sets."""

    def __init__(self, versions=None):
        versions = versions or {}
        self.targets = [
            build_target(name, "engines", version=versions.get(name, 1))
            for name in NAMES
        ]
        self.table = TargetTable()
        self.table.update(build_view(*self.targets))
        self.parts = PartPlaces()
        random_state = random.Random(3)
        self.placement = ExpectedLossPlacement(
            self.table, self.parts, "east", random_state
        )

    def set_loads(self, **loads):
        """Set the load of engines in prompt tokens that wait."""
        totals = {n: TargetLoad(4, tokens, tokens) for n, tokens in loads.items()}
        self.table.apply_load(build_load(self.table, totals))

    def choose(self, parts=(), own=2_000, newest=1, age_ms=0, **fields):
        """Place a request."""
        shared = tuple(PromptPart(name, tokens) for name, tokens in parts)
        total = own + sum(part.tokens for part in shared)
        request = PlacementRequest(
            ENGINE,
            MODEL,
            total,
            total,
            shared,
            "",
            newest,
            age_ms,
            store="store",
            **fields,
        )
        return self.placement.choose(request, self.targets, 1_000)


def test_instances_agree_on_the_engine_of_a_shared_part():
    """Guards against a hot part that every instance reads at another engine."""
    chosen = {Bench().choose([("a", 2_500), ("b", 3_800)]).target.name for _ in "xyz"}
    assert len(chosen) == 1


def test_different_parts_spread_over_the_engines():
    """Guards against one engine that gets most of the parts."""
    bench = Bench()
    for number in range(4):
        bench.parts.stores.record("store", "1", f"a{number}", 1_000)
    counts = Counter(
        bench.choose([(f"a{n % 4}", 2_500), (f"b{n}", 3_800)]).target.name
        for n in range(180)
    )
    assert len(counts) == 9
    assert max(counts.values()) <= 45


def test_unknown_first_part_is_read_at_one_engine():
    """Guards against new weights after which all engines read the same part."""
    bench = Bench()
    chosen = {
        bench.choose([("a", 2_500), (f"b{n}", 3_800)]).target.name for n in range(30)
    }
    assert len(chosen) == 1


def test_burst_on_one_part_spreads_once_the_store_has_it():
    """Guards against callers who wait at one engine while others are idle."""
    bench = Bench()
    parts = [("a", 2_500), ("b", 3_800)]
    home = bench.choose(parts).target.name
    for name in ("a", "b"):
        bench.parts.stores.record("store", "1", name, 1_000)
    bench.set_loads(**{home: 30_000})
    assert bench.choose(parts).target.name != home


def test_part_is_not_read_again_for_a_short_wait():
    """Guards against wasted recomputation for a gain of some milliseconds."""
    bench = Bench()
    parts = [("a", 2_500), ("b", 3_800)]
    home = bench.choose(parts).target.name
    bench.set_loads(**{home: 5_000})
    assert bench.choose(parts).target.name == home


def test_idle_engine_is_preferred_without_shared_parts():
    """Guards against short requests behind long prompts."""
    bench = Bench()
    loads = {name: 9_000 for name in NAMES if name != "e4"}
    bench.set_loads(**loads)
    assert bench.choose(own=600).target.name == "e4"


def test_new_weights_are_preferred_after_the_free_time():
    """Guards against answers from replaced weights while new ones have room."""
    bench = Bench({"e2": 2})
    late = bench.choose(newest=2, age_ms=2_000)
    assert late.target.name == "e2"


def test_old_weights_serve_while_the_new_ones_are_crowded():
    """Guards against late answers because few engines have new weights yet."""
    bench = Bench({"e2": 2})
    bench.set_loads(e2=60_000)
    assert bench.choose(newest=2, age_ms=2_000).target.name != "e2"


def test_old_weights_are_refused_at_their_limit():
    """Guards against a request that begins on replaced weights too late."""
    bench = Bench()
    assert bench.choose(newest=2, age_ms=7_000, max_old_age_ms=6_500) is None


def test_full_memory_is_avoided():
    """Guards against requests that preempt each other."""
    bench = Bench()
    totals = {n: TargetLoad(9, 0, 99_000) for n in NAMES if n != "e7"}
    bench.table.apply_load(build_load(bench.table, totals))
    assert bench.choose().target.name == "e7"


@pytest.mark.parametrize("load", [0, 12])
def test_plain_services_get_even_load(load):
    """Guards against one target with a queue beside idle ones."""
    table = TargetTable()
    targets = [build_target(name) for name in ("p1", "p2", "p3")]
    table.update(build_view(*targets))
    loads = {"p1": TargetLoad(load + 1), "p2": TargetLoad(load)}
    table.apply_load(build_load(table, loads))
    placement = LeastRunningPlacement(table, PartPlaces(), "east", random.Random(1))
    request = PlacementRequest(PLAIN)
    counts = Counter()
    for _ in range(30):
        choice = placement.choose(request, targets, 0)
        table.begin(choice.target.name, 0, 0)
        counts[choice.target.name] += 1
    running = [table.load(name).running for name in ("p1", "p2", "p3")]
    assert max(running) - min(running) <= 2


def test_known_parts_expire_and_are_forgotten_with_their_place():
    """Guards against trust in cache that an engine has evicted or lost."""
    parts = PartPlaces().engines
    assert parts.record("e1", "1", "a", 0)
    assert not parts.record("e1", "1", "a", 10)
    assert not parts.has("e1", "2", "a", 10)
    assert not parts.has("e1", "1", "a", 9_000)
    parts.record("e1", "1", "a", 9_000)
    parts.forget_place("e1")
    assert not parts.has("e1", "1", "a", 9_001)
