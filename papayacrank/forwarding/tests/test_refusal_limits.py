"""Tests of services whose targets fail if they refuse too many requests."""

import pytest

from papayacrank.forwarding._refusal_limits import (
    FULL_LIFETIME_MS,
    STATEMENT_LIFETIME_MS,
    RefusalLimitedServices,
    RoomLeases,
)
from papayacrank.forwarding._room_waits import MAX_WAITING
from papayacrank.messages import FleetLoad

from .builders import Bench, build_target
from .refusal_simulation import RefusalSimulation

TARGETS = (build_target("p1"), build_target("p2"))
DURATION_MS = 10_000


def apply_leases(bench, leases, reported=0):
    """Let the leader lease slots by the name of the target."""
    numbers = {t.name: t.number for t in bench.forwarder.table.targets}
    counts = {numbers[name]: count for name, count in leases.items()}
    bench.forwarder.apply_load(
        FleetLoad(1, reported, {}, refusal_limited=["plain"], leases=counts)
    )


def open_targets(bench):
    """Return the targets of the calls that are open."""
    return sorted(bench.target_of(call) for call in bench.port.calls if call.is_open)


@pytest.fixture
def limited():
    """Return a bench whose targets have stated that they are refusal-limited."""
    bench = Bench(*TARGETS)
    bench.send()
    bench.respond(refusal_limit=5)
    return bench


def test_statement_holds_for_all_targets_of_the_service_and_ends():
    """Guards against a restarted target that is overrun before its first response."""
    services = RefusalLimitedServices()
    services.on_response("plain", "p1", 5.0, False, 0)
    assert services.is_refusal_limited("plain", STATEMENT_LIFETIME_MS - 1)
    assert not services.is_refusal_limited("engines", 0)
    assert not services.is_refusal_limited("plain", STATEMENT_LIFETIME_MS)
    assert services.take_unreported() == (["plain"], [])
    assert services.take_unreported() == ([], [])


def test_refusal_counts_only_while_the_service_is_refusal_limited():
    """Guards against sound targets that get no requests after a refusal."""
    services = RefusalLimitedServices()
    services.on_response("plain", "p1", None, True, 0)
    assert not services.is_full("p1", 0)
    services.on_reported(["plain"], 0)
    services.on_response("plain", "p1", None, True, 0)
    assert services.is_full("p1", FULL_LIFETIME_MS - 1)
    assert not services.is_full("p1", FULL_LIFETIME_MS)
    assert services.take_unreported() == ([], ["p1"])


def test_number_of_requests_is_limited_only_once_slots_are_divided():
    """Guards against refused requests until the leader has divided the slots."""
    leases = RoomLeases()
    assert leases.may_send("plain", "p1", 100)
    leases.apply(["plain"], {"p1": 2})
    assert leases.may_send("plain", "p1", 1)
    assert not leases.may_send("plain", "p1", 2)
    assert not leases.may_send("plain", "p2", 0)
    assert leases.may_send("engines", "e1", 100)


def test_instance_sends_no_more_requests_than_its_leases_say(limited):
    """Guards against targets that must refuse what all instances send together."""
    apply_leases(limited, {"p1": 2, "p2": 1})
    callers = [limited.send(id=f"r{n}") for n in range(5)]
    assert open_targets(limited) == ["p1", "p1", "p2"]
    assert [c.status for c in callers] == [None] * 5


def test_waiting_request_is_sent_when_a_slot_is_free(limited):
    """Guards against requests refused although a target has room in time."""
    apply_leases(limited, {"p1": 1})
    limited.send(id="first")
    first = limited.call
    caller = limited.send(id="second")
    limited.advance(40)
    limited.respond(call=first, refusal_limit=5)
    limited.advance(20)
    limited.respond(refusal_limit=5)
    assert caller.status == 200


def test_waiting_request_is_refused_in_time_as_not_run(limited):
    """Guards against requests that are held until their deadline."""
    apply_leases(limited, {})
    caller = limited.send(id="r2")
    for _ in range(14):
        limited.advance(20)
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"
    assert int(caller.headers["retry-after-ms"]) >= 400
    assert open_targets(limited) == []
    assert not [n for n in limited.timers.set_timers if n.startswith("room")]


def test_number_of_waiting_requests_is_limited(limited):
    """Guards against memory that grows with the requests that find no room."""
    apply_leases(limited, {})
    callers = [limited.send(id=f"r{n}") for n in range(MAX_WAITING + 3)]
    assert [c.status for c in callers].count(503) == 3


def test_waiting_request_of_a_caller_that_leaves_is_forgotten(limited):
    """Guards against requests that are sent for nobody."""
    apply_leases(limited, {})
    caller = limited.send(id="r2")
    limited.forwarder.on_caller_left(caller.exchange)
    apply_leases(limited, {"p1": 1})
    limited.advance(20)
    assert open_targets(limited) == []


def test_target_that_refused_a_request_gets_none_for_a_while(limited):
    """Guards against the next refusals of a target that has no room."""
    limited.send(id="r2")
    full = limited.target_of(limited.call)
    limited.respond(503, b"", not_run=1, refusal_limit=5)
    for number in range(4):
        limited.send(id=f"later-{number}")
    assert full not in open_targets(limited)
    assert limited.forwarder.take_room_report().full == [full]


def test_demand_and_leases_are_reported(limited):
    """Guards against leases that go to instances without requests."""
    apply_leases(limited, {"p1": 1})
    for number in range(3):
        limited.send(id=f"r{number}")
    report = limited.forwarder.take_room_report()
    assert report.wanted == {"plain": 3}
    assert report.leases == {"p1": 1}


def test_leases_are_kept_while_a_new_leader_knows_of_none(limited):
    """Guards against targets that are overrun during an election."""
    apply_leases(limited, {"p1": 1})
    limited.forwarder.apply_load(FleetLoad(1, 0, {}))
    for number in range(3):
        limited.send(id=f"r{number}")
    assert open_targets(limited) == ["p1"]
    limited.advance(STATEMENT_LIFETIME_MS)
    limited.forwarder.apply_load(FleetLoad(1, 0, {}))
    limited.send(id="later")
    assert limited.call.state.request.request_id == "later"


SIZES = [(9, 5, 6, 45.0), (87, 23, 6, 200.0), (200, 59, 64, 2_000.0)]


@pytest.mark.parametrize(("instances", "servers", "slots", "service_ms"), SIZES)
@pytest.mark.parametrize("load", [1.0, 2.0])
def test_refusal_limited_targets_of_an_overloaded_fleet_do_not_fail(
    instances, servers, slots, service_ms, load
):
    """Guards against refusals of all instances together that end their targets."""
    fleet = RefusalSimulation(instances, servers, slots, 1, load, service_ms)
    fleet.run(DURATION_MS)
    assert fleet.falls <= 2 + servers / 10


def test_simulated_targets_fail_if_nothing_is_done():
    """Guards against a simulation that shows nothing."""
    fleet = RefusalSimulation(9, 5, 6, 1, 2.0, 45.0, knows=False)
    fleet.run(DURATION_MS)
    assert fleet.falls > 2 + 5 / 10
