"""Tests of the placement policies under different loads."""

import random
from collections import Counter
from itertools import cycle

import pytest

from papayacrank.forwarding import PromptPart
from papayacrank.forwarding._known_parts import KnownPartLocations
from papayacrank.forwarding._placement import (
    ExpectedLossPlacement,
    LeastRunningPlacement,
    PlacementRequest,
)
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import EngineProfile, ServiceProfile, TargetLoad
from papayacrank.permits import PermitClient

from .builders import MODEL, build_load, build_target, build_view

ENGINE = ServiceProfile("engines", engine=EngineProfile(64, 100_000, models=(MODEL,)))
PLAIN = ServiceProfile("plain")
NAMES = [f"e{number}" for number in range(9)]


class Bench:
    """Placement among engines whose load the test sets."""

    def __init__(self, versions=None, names=NAMES, domains=("east",)):
        versions = versions or {}
        self.targets = [
            build_target(name, "engines", domain, version=versions.get(name, 1))
            for name, domain in zip(names, cycle(domains))
        ]
        self.table = TargetTable()
        self.table.update(build_view(*self.targets))
        self.parts = KnownPartLocations()
        random_state = random.Random(3)
        self.placement = ExpectedLossPlacement(
            self.table, self.parts, PermitClient("i1"), "east", random_state
        )

    def set_loads(self, **loads):
        """Set the queued prompt tokens of engines."""
        totals = {n: TargetLoad(4, tokens, tokens) for n, tokens in loads.items()}
        self.table.apply_load(build_load(self.table, totals))

    def choose(self, parts=(), own=2_000, newest=1, age_ms=0, **fields):
        """Return the placement of a request."""
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
    """Guards against a popular part computed at a different engine per instance."""
    chosen = {Bench().choose([("a", 2_500), ("b", 3_800)]).target.name for _ in "xyz"}
    assert len(chosen) == 1


def test_different_parts_spread_over_the_engines():
    """Guards against a single engine that is preferred for most parts."""
    bench = Bench()
    for number in range(4):
        bench.parts.stores.record("store", "1", f"a{number}", 1_000)
    counts = Counter(
        bench.choose([(f"a{n % 4}", 2_500), (f"b{n}", 3_800)]).target.name
        for n in range(180)
    )
    assert len(counts) == 9
    assert max(counts.values()) <= 45


def test_uncached_first_part_is_computed_at_one_engine():
    """Guards against a part that all engines compute after a change of weights."""
    bench = Bench()
    chosen = {
        bench.choose([("a", 2_500), (f"b{n}", 3_800)]).target.name for n in range(30)
    }
    assert len(chosen) == 1


def test_prompts_with_the_same_beginning_spread_over_a_large_service():
    """Guards against a queue at one engine after a change of weights.

    Instances learn only later where a part is cached, and send meanwhile what arrives.
    """
    bench = Bench(names=[f"e{number}" for number in range(45)])
    counts = Counter(
        bench.choose([("a", 2_500), (f"b{n}", 3_800)]).target.name for n in range(100)
    )
    assert len(counts) == 5
    assert max(counts.values()) <= 2 * 100 / 5


def test_requests_stay_in_a_failure_domain_with_many_engines():
    """Guards against bytes between failure domains that help no caller."""
    names = [f"e{number}" for number in range(45)]
    bench = Bench(names=names, domains=("east", "west", "north"))
    loads = {name: 100 * (number % 11) for number, name in enumerate(names)}
    bench.set_loads(**loads)
    for number in range(100):
        target = bench.choose([("a", 2_500), (f"b{number}", 3_800)]).target
        assert target.failure_domain == "east"
    bench.set_loads(**{t.name: 30_000 for t in bench.targets if t.name in names[::3]})
    target = bench.choose([("a", 2_500), ("b", 3_800)]).target
    assert target.failure_domain != "east"


def test_burst_on_one_part_spreads_once_the_store_has_it():
    """Guards against a queue at one engine while others are idle."""
    bench = Bench()
    parts = [("a", 2_500), ("b", 3_800)]
    preferred = bench.choose(parts).target.name
    for name in ("a", "b"):
        bench.parts.stores.record("store", "1", name, 1_000)
    bench.set_loads(**{preferred: 30_000})
    assert bench.choose(parts).target.name != preferred


def test_part_is_not_recomputed_to_save_a_short_wait():
    """Guards against recomputation that saves only some milliseconds of waiting."""
    bench = Bench()
    parts = [("a", 2_500), ("b", 3_800)]
    preferred = bench.choose(parts).target.name
    bench.set_loads(**{preferred: 5_000})
    assert bench.choose(parts).target.name == preferred


def test_idle_engine_is_preferred_without_shared_parts():
    """Guards against short requests queued behind long prompts."""
    bench = Bench()
    loads = {name: 9_000 for name in NAMES if name != "e4"}
    bench.set_loads(**loads)
    assert bench.choose(own=600).target.name == "e4"


def test_new_weights_are_preferred_after_the_grace_period():
    """Guards against use of replaced weights while engines with new ones have room."""
    bench = Bench({"e2": 2})
    late = bench.choose(newest=2, age_ms=2_000)
    assert late.target.name == "e2"


def test_old_weights_are_used_while_engines_with_new_ones_are_overloaded():
    """Guards against late responses because few engines have the new weights yet."""
    bench = Bench({"e2": 2})
    bench.set_loads(e2=60_000)
    assert bench.choose(newest=2, age_ms=2_000).target.name != "e2"


def test_old_weights_are_refused_after_their_maximum_age():
    """Guards against a request that starts on weights replaced too long ago."""
    bench = Bench()
    assert bench.choose(newest=2, age_ms=7_000, max_old_age_ms=6_500) is None


def test_engine_with_full_memory_is_not_chosen():
    """Guards against preemption of requests at an engine without free memory."""
    bench = Bench()
    totals = {n: TargetLoad(9, 0, 99_000) for n in NAMES if n != "e7"}
    bench.table.apply_load(build_load(bench.table, totals))
    assert bench.choose().target.name == "e7"


@pytest.mark.parametrize("load", [0, 12])
def test_load_of_plain_services_is_balanced(load):
    """Guards against a queue at one target while others are idle."""
    table = TargetTable()
    targets = [build_target(name) for name in ("p1", "p2", "p3")]
    table.update(build_view(*targets))
    loads = {"p1": TargetLoad(load + 1), "p2": TargetLoad(load)}
    table.apply_load(build_load(table, loads))
    placement = LeastRunningPlacement(
        table, KnownPartLocations(), PermitClient("i1"), "east", random.Random(1)
    )
    request = PlacementRequest(PLAIN)
    counts = Counter()
    for _ in range(30):
        choice = placement.choose(request, targets, 0)
        table.begin(choice.target.name, 0, 0)
        counts[choice.target.name] += 1
    running = [table.load(name).running for name in ("p1", "p2", "p3")]
    assert max(running) - min(running) <= 2


def test_known_parts_expire_and_are_forgotten_with_their_place():
    """Guards against reliance on cached parts that an engine evicted or lost."""
    parts = KnownPartLocations().engines
    assert parts.record("e1", "1", "a", 0)
    assert not parts.record("e1", "1", "a", 10)
    assert not parts.has("e1", "2", "a", 10)
    assert not parts.has("e1", "1", "a", 9_000)
    parts.record("e1", "1", "a", 9_000)
    parts.forget_location("e1")
    assert not parts.has("e1", "1", "a", 9_001)
