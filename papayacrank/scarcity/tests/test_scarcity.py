"""Tests of the admission while targets cannot serve all requests in time."""

import pytest

from papayacrank.messages import EntryLoad, ServiceDemand
from papayacrank.scarcity import (
    Candidate,
    DemandKey,
    DemandSums,
    LoadAdmission,
    LoadDecision,
    share_room,
)
from papayacrank.scarcity._demand import MAX_ROWS
from papayacrank.scarcity._sharing import MIN_SHARE

from .load_simulation import ForecastOnly, LoadedFleet, Stream

DURATION_MS = 20_000
# Ten targets serve 250 requests/s of 40 ms.
HOT = [
    Stream("hot", 1, 400),
    Stream("a", 1, 50),
    Stream("b", 1, 50),
    Stream("c", 0, 30),
    Stream("d", 2, 20),
]
RATES = {"hot": 50.0, "a": 50.0, "b": 50.0, "c": 50.0, "d": 50.0}


def play(seed, policy, streams=HOT, **options):
    """Return a fleet after its run."""
    fleet = LoadedFleet(seed, streams, policy, **options)
    fleet.run(DURATION_MS, RATES)
    return fleet


@pytest.mark.parametrize("seed", range(3))
def test_workspaces_within_their_part_are_served_beside_a_hot_one(seed):
    """Guards against one workspace whose queue all others wait in.

    With the forecast alone, 0.43 to 0.51 of each are admitted and up to 0.03 in time.
    """
    before, after = play(seed, ForecastOnly), play(seed, LoadAdmission)
    for stream in HOT[1:4]:
        key = (stream.workspace, stream.urgency)
        assert after.part(*key, "admitted") >= 0.85
        assert after.part(*key, "in time") >= before.part(*key, "in time") + 0.5
    for stream in HOT:
        assert after.part(stream.workspace, stream.urgency, "in time") >= 0.2


@pytest.mark.parametrize("seed", range(3))
def test_more_urgent_requests_are_admitted_at_least_as_often(seed):
    """Guards against patient requests that take the room of urgent ones."""
    streams = [
        Stream("a", 0, 150, objective_ms=300),
        Stream("a", 1, 150, objective_ms=900),
        Stream("b", 1, 150, objective_ms=900),
    ]
    fleet = play(seed, LoadAdmission, streams)
    urgent = fleet.part("a", 0, "admitted")
    assert urgent >= fleet.part("a", 1, "admitted") - 0.02
    assert urgent >= fleet.part("b", 1, "admitted") - 0.02
    assert fleet.part("a", 1, "admitted") >= 0.2


@pytest.mark.parametrize("seed", range(3))
def test_large_requests_are_not_starved(seed):
    """Guards against large requests that are late whenever small ones are not."""
    fleet = play(seed, LoadAdmission)
    for stream in HOT:
        key = (stream.workspace, stream.urgency)
        large = fleet.part(*key, "admitted", 100)
        assert large >= 0.5 * fleet.part(*key, "admitted", 20)


def test_targets_with_room_are_used_as_before():
    """Guards against refusals while all requests are in time."""
    streams = [Stream("a", 0, 60), Stream("b", 1, 60)]
    fleet = play(1, LoadAdmission, streams)
    assert fleet.part("a", 0, "admitted") == fleet.part("b", 1, "admitted") == 1.0
    assert all(admission.report(DURATION_MS) == [] for admission in fleet.admissions)


def test_instances_decide_alone_without_a_leader():
    """Guards against admission that stops, or starves someone, without sums."""
    fleet = LoadedFleet(1, HOT)
    fleet.leader_works = False
    fleet.run(DURATION_MS, RATES)
    for stream in HOT:
        assert fleet.part(stream.workspace, stream.urgency, "admitted") >= 0.2


def build_candidate(**fields):
    """Return a request of workspace `a` that would be late."""
    defaults = {
        "key": DemandKey("s", "a", 1),
        "elapsed_ms": 0,
        "objective_ms": 500,
        "remaining_ms": 5_000,
        "wait_ms": 490,
        "work_ms": 50,
    }
    return Candidate(**(defaults | fields))


def test_request_that_no_target_begins_in_time_is_refused():
    """Guards against requests held until their callers leave."""
    admission = LoadAdmission()
    late = build_candidate(wait_ms=200, remaining_ms=100, elapsed_ms=400)
    assert admission.decide(late, 0) is LoadDecision.TOO_LATE


def test_long_request_without_a_queue_is_admitted():
    """Guards against prompts that no retry can help."""
    admission = LoadAdmission()
    for number in range(20):
        request = build_candidate(wait_ms=0, work_ms=5_000)
        assert admission.decide(request, number) is LoadDecision.ADMITTED


def test_long_request_behind_a_short_queue_does_not_hold_up_others():
    """Guards against an overload that is seen in one large prompt."""
    admission = LoadAdmission()
    for number in range(20):
        large = build_candidate(wait_ms=20, work_ms=5_000)
        other = build_candidate(wait_ms=20, elapsed_ms=450)
        assert admission.decide(large, number) is LoadDecision.ADMITTED
        assert admission.decide(other, number) is LoadDecision.ADMITTED
    assert admission.behind(20) == set()


def test_old_sums_are_not_used():
    """Guards against parts of an overload that has ended, after a leader was lost."""
    admission = LoadAdmission()
    rows = [
        ServiceDemand("s", "a", 1, 1_000, 0),
        ServiceDemand("s", "b", 0, 9_000, 900),
    ]
    admission.apply_sums(rows, 0)
    fresh = [admission.decide(build_candidate(), 10) for _ in range(10)]
    assert LoadDecision.SHARED in fresh
    admission = LoadAdmission()
    admission.apply_sums(rows, 0)
    assert admission.decide(build_candidate(), 5_000) is LoadDecision.ADMITTED


def test_room_is_shared_by_rate_and_no_row_is_starved():
    """Guards against shares that follow the demand instead of the rates."""
    rows = [
        ServiceDemand("s", "hot", 0, 800, 0),
        ServiceDemand("s", "a", 0, 100, 0),
        ServiceDemand("s", "b", 1, 100, 0),
    ]
    parts = share_room(rows, 500, {"hot": 10, "a": 10, "b": 10})
    assert parts[("a", 0)] == 1.0
    assert MIN_SHARE < parts[("hot", 0)] < 0.7
    assert parts[("b", 1)] == pytest.approx(MIN_SHARE)


def test_sums_are_bounded_and_forget_instances_that_are_gone():
    """Guards against messages that grow with workspaces, and demand of the past."""
    sums = DemandSums()
    rows = [ServiceDemand("s", f"w{n}", 0, n, 0) for n in range(3 * MAX_ROWS)]
    for instance in ("i", "j", "k"):
        sums.observe(EntryLoad(instance, 1, {}, demand=rows[-MAX_ROWS:]), 0)
    assert len(sums.rows(100)) == MAX_ROWS
    assert sums.rows(100)[0].asked == 3 * rows[-1].asked
    assert sums.rows(5_000) == []


def test_services_that_serve_all_are_not_in_the_sums():
    """Guards against messages about services with room."""
    sums = DemandSums()
    row = ServiceDemand("s", "w", 0, 10, 10)
    sums.observe(EntryLoad("i", 1, {}, demand=[row]), 0)
    assert sums.rows(0) == []
