"""Tests of the directory and the load of instances of different size."""

import random
from collections import Counter

import pytest

from papayacrank.forwarding._directory import (
    MAX_ADDRESSES,
    choose_addresses,
    compute_shares,
    has_room_elsewhere,
)
from papayacrank.forwarding._instance_load import (
    InstanceLoad,
    LoadSample,
    count_caller_descriptors,
    count_idle_descriptors,
)
from papayacrank.forwarding._target_port import MAX_IDLE
from papayacrank.messages import UNKNOWN_CAPACITY, EntryAddress, InstanceCapacity

# Instances of a failure domain as on the users' deployment: cores, MB, descriptors
# and Mbit/s.
SIZES = (
    [InstanceCapacity(0.387, 136.0, 1_638, 3.75)] * 5
    + [InstanceCapacity(0.516, 128.0, 4_100, 5.0)] * 5
    + [InstanceCapacity(1.29, 260.0, 10_250, 12.5)] * 4
    + [InstanceCapacity(1.38, 128.0, 4_100, 100.0)] * 2
)
CALLERS = 400


def build_entries(capacities=SIZES, domain="east", status="serving", prefix="i"):
    """Return an instance for each capacity."""
    return tuple(
        EntryAddress(
            f"{prefix}{n:03}", 1, domain, f"{prefix}{n:03}:80", status, capacity
        )
        for n, capacity in enumerate(capacities)
    )


def play(entries, domain, seed, utilization=None, lookups=20):
    """Return how often callers choose each instance."""
    random_source = random.Random(seed)
    chosen = Counter()
    for caller in range(CALLERS):
        for period in range(lookups):
            key = f"10.0.{caller}|{seed}|{period}"
            addresses = choose_addresses(entries, domain, utilization, key)
            chosen[random_source.choice(addresses)[:-3]] += 1
    return chosen


def find_largest_load(entries, chosen):
    """Return the callers of the most loaded instance, relative to the mean."""
    total_cores = sum(item.capacity.processor for item in entries)
    total = sum(chosen.values())
    return max(
        chosen[item.instance] / total / (item.capacity.processor / total_cores)
        for item in entries
    )


@pytest.mark.parametrize("seed", range(10))
def test_small_instances_get_callers_by_their_capacity(seed):
    """Guards against small instances that are late while large ones are idle."""
    entries = build_entries()
    unweighed = [
        EntryAddress(e.instance, 1, e.failure_domain, e.address, e.status)
        for e in entries
    ]
    before = find_largest_load(entries, play(tuple(unweighed), "east", seed))
    after = find_largest_load(entries, play(entries, "east", seed))
    assert before > 1.9
    assert after < 1.45


@pytest.mark.parametrize("capacity", [UNKNOWN_CAPACITY, SIZES[0], SIZES[-1]])
@pytest.mark.parametrize("count", [2, 9, 64, 87, 200])
def test_equal_instances_are_all_listed(capacity, count):
    """Guards against a change for deployments whose instances are equal."""
    entries = build_entries([capacity] * count)
    expected = [item.address for item in entries][:MAX_ADDRESSES]
    for key in range(20):
        assert choose_addresses(entries, "east", {}, str(key)) == expected


def test_small_differences_do_not_matter():
    """Guards against callers that lose connections for a difference of a tenth."""
    sizes = [InstanceCapacity(1.0 + n / 50) for n in range(10)]
    entries = build_entries(sizes)
    assert len(choose_addresses(entries, "east", {}, "x")) == 10


def test_unknown_capacity_counts_as_the_median():
    """Guards against instances of an older build that get all callers, or none."""
    entries = build_entries([SIZES[0], SIZES[5], UNKNOWN_CAPACITY, SIZES[5], SIZES[10]])
    shares = compute_shares(list(entries), {})
    assert shares["i002"] == shares["i001"]
    assert shares["i000"] < shares["i002"] < shares["i004"]


def test_answer_changes_only_with_its_key():
    """Guards against callers that close connections after each look-up."""
    entries = build_entries()
    first = choose_addresses(entries, "east", {}, "caller|1")
    assert choose_addresses(entries, "east", {}, "caller|1") == first
    # The end of another instance does not change the rest of the choice.
    left = choose_addresses(entries[:-1], "east", {}, "caller|1")
    assert set(left) >= set(first) - {entries[-1].address}
    assert any(
        choose_addresses(entries, "east", {}, f"caller|{n}") != first for n in range(9)
    )


@pytest.mark.parametrize("seed", range(20))
def test_at_least_two_addresses(seed):
    """Guards against callers without a second address when one has failed."""
    sizes = [InstanceCapacity(100.0)] + [InstanceCapacity(0.1)] * 20
    entries = build_entries(sizes)
    addresses = choose_addresses(entries, "east", {}, str(seed))
    assert len(addresses) >= 2
    assert entries[0].address in addresses


@pytest.mark.parametrize("seed", range(5))
def test_busy_instance_gets_fewer_callers_and_never_none(seed):
    """Guards against a busy instance that is late, or that counts as not ready."""
    entries = build_entries([SIZES[5]] * 8)
    calm = play(entries, "east", seed)
    busy = play(entries, "east", seed, {"i000": 8})
    assert 0 < busy["i000"] < 0.4 * calm["i000"]


def test_all_overloaded_are_served_alike():
    """Guards against an empty or arbitrary response when all instances are full."""
    entries = build_entries([SIZES[5]] * 8)
    full = {item.instance: 8 for item in entries}
    assert len(choose_addresses(entries, "east", full, "x")) == 8


def test_full_failure_domain_gets_help_from_others():
    """Guards against callers that stay at full instances while others are idle."""
    local = build_entries([SIZES[5]] * 4)
    others = build_entries([SIZES[5]] * 4, domain="west", prefix="w")
    entries = local + others
    full = {item.instance: 8 for item in local}
    assert set(play(entries, "east", 1)) == {item.instance for item in local}
    partly = {**full, "i003": 7}
    assert not any(name.startswith("w") for name in play(entries, "east", 1, partly))
    chosen = play(entries, "east", 1, full)
    away = sum(count for name, count in chosen.items() if name.startswith("w"))
    assert away / sum(chosen.values()) > 0.7
    # Another full failure domain is no help.
    full |= {item.instance: 8 for item in others}
    assert set(play(entries, "east", 1, full)) == {item.instance for item in local}


def test_full_instance_keeps_its_callers_if_all_are_busy():
    """Guards against callers that are passed around among full instances."""
    entries = build_entries([SIZES[5]] * 3)
    assert has_room_elsewhere("i000", entries, {"i000": 8, "i001": 7})
    assert not has_room_elsewhere("i000", entries, {"i001": 7, "i002": 6})
    assert not has_room_elsewhere("i000", entries[:1], {})
    stopping = build_entries([SIZES[5]] * 3, status="draining")
    assert not has_room_elsewhere("x", stopping, {})


@pytest.mark.parametrize("descriptors", [0, 500, 1_638, 4_100, 10_250])
def test_callers_leave_descriptors_for_targets(descriptors):
    """Guards against an instance that accepts callers and cannot reach targets."""
    capacity = InstanceCapacity(descriptors=descriptors)
    callers = count_caller_descriptors(capacity)
    idle = count_idle_descriptors(capacity)
    if not descriptors:
        assert (callers, idle) == (2_000, MAX_IDLE)
    else:
        assert 64 <= callers <= 2_000
        assert callers + idle + 300 < descriptors
        assert descriptors - 300 - callers - idle >= min(callers, 100) / 2


def build_samples(load, seconds, processor=0.0, start_ms=0, **fields):
    """Feed two samples a second; return the time of the last one."""
    for number in range(2 * seconds + 1):
        now_ms = start_ms + 500 * number
        load.observe(LoadSample(now_ms, processor * now_ms, **fields))
    return now_ms


def test_processor_counts_against_the_capacity():
    """Guards against a small instance that is taken for idle."""
    small = InstanceLoad(InstanceCapacity(0.387))
    large = InstanceLoad(InstanceCapacity(1.38))
    unknown = InstanceLoad(UNKNOWN_CAPACITY)
    for load in (small, large, unknown):
        build_samples(load, 20, processor=0.36)
    assert small.utilization == pytest.approx(0.93, abs=0.01)
    assert small.eighths == 7
    assert large.eighths == 2
    assert unknown.eighths == 0


@pytest.mark.parametrize(
    "fields",
    [{"buffered": 1.0}, {"late_ms": 200.0}, {"descriptors": 3_900}],
)
def test_scarcest_resource_decides(fields):
    """Guards against an instance that is killed, or late, while it counts as idle."""
    load = InstanceLoad(InstanceCapacity(1.0, 128.0, 4_100, 10.0))
    end_ms = build_samples(load, 20, **fields)
    assert load.eighths == 8 or load.utilization > 0.99
    build_samples(load, 20, start_ms=end_ms)
    assert load.eighths == 0


def test_short_burst_does_not_move_callers():
    """Guards against callers that move back and forth."""
    load = InstanceLoad(InstanceCapacity(1.0))
    end_ms = build_samples(load, 10)
    load.observe(LoadSample(end_ms + 500, 500.0))
    load.observe(LoadSample(end_ms + 1_000, 1_000.0))
    assert load.eighths < 6
