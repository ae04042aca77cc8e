"""Tests of what a forwarder learns of its targets and how it uses it."""

import pytest

from papayacrank.costs import Work
from papayacrank.forwarding import _open_requests
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import FleetLoad, RequestKind, TargetCost, TargetLoad

from .builders import (
    Bench,
    build_configuration,
    build_load,
    build_route,
    build_target,
    build_view,
)

ENGINES = [build_target(name, "engines") for name in ("e1", "e2")]
PLAIN = [build_target(name) for name in ("p1", "p2")]


def stream(bench, number, ms):
    """Send a request whose first event takes the given time for each target."""
    bench.send("/reply/x", id=f"r{number}", tokens=2_000)
    name = bench.target_of(bench.call)
    bench.advance(ms[name])
    bench.begin()
    bench.event(1)
    bench.advance(20)
    bench.event(2)
    bench.end()
    return name


def test_requests_follow_the_observed_speed():
    """Guards against a slow engine that gets as much work as a fast one."""
    bench = Bench(*ENGINES)
    names = [stream(bench, n, {"e1": 60, "e2": 180}) for n in range(80)]
    assert bench.forwarder.fleet.costs.factor("e2") > 1.3
    assert names[40:].count("e2") < 5


def test_plain_requests_follow_the_observed_speed():
    """Guards against a slow server that gets as much work as a fast one."""
    bench = Bench(*PLAIN)
    names = []
    for number in range(60):
        bench.send(id=f"r{number}")
        names.append(bench.target_of(bench.call))
        bench.advance({"p1": 30, "p2": 90}[names[-1]])
        bench.respond()
    assert names[30:].count("p2") < 5


@pytest.mark.parametrize("status", [404, 503])
def test_time_of_an_error_is_not_learned(status):
    """Guards against a target that looks fast because it fails at once."""
    bench = Bench(*PLAIN)
    for number in range(20):
        bench.send(id=f"r{number}")
        bench.respond(status)
    assert bench.forwarder.fleet.costs.factors.samples("p1") == 0


def test_slow_route_gets_the_time_that_it_is_expected_to_take():
    """Guards against retries of requests that are on time for their target."""
    routes = (build_route(max_attempts=2, objective_ms=100),)
    bench = Bench(*PLAIN, configuration=build_configuration(routes=routes))
    work = Work("plain", "lookup", is_engine=False, slots=6)
    for _ in range(60):
        for name in ("p1", "p2"):
            bench.forwarder.fleet.costs.observe(name, work, 400)
    calls = len(bench.port.calls)
    bench.send(id="last")
    bench.advance(400)
    assert len(bench.port.calls) == calls + 1
    bench.advance(1_000)
    assert len(bench.port.calls) == calls + 2


def test_load_and_costs_of_the_fleet_reach_the_placement():
    """Guards against factors that are reported but not used."""
    bench = Bench(*ENGINES)
    load = FleetLoad(1, 0, {}, costs={2: TargetCost(3.0, 30), 1: TargetCost(0.8, 30)})
    bench.forwarder.apply_load(load)
    costs = bench.forwarder.fleet.costs
    for number in range(20):
        stream(bench, number, {"e1": 60, "e2": 60})
    assert costs.factor("e2") > costs.factor("e1")
    bench.forwarder.apply_fleet(build_view(ENGINES[0], sequence=2))
    assert costs.factor("e2") == 1.0


def test_observed_times_are_in_the_next_load_report():
    """Guards against observations that no other instance hears of."""
    bench = Bench(*ENGINES)
    for number in range(20):
        stream(bench, number, {"e1": 60, "e2": 180})
    fleet = bench.forwarder.fleet
    report = fleet.table.report("i1", costs=fleet.take_cost_report())
    assert report.costs.keys() == {"e1", "e2"}
    assert report.costs["e2"].factor > report.costs["e1"].factor
    assert [cost.service for cost in report.service_costs] == ["engines"]
    assert not fleet.take_cost_report().is_new


def test_remaining_output_falls_with_each_event():
    """Guards against streams that count as long as their limit until they end."""
    bench = Bench(ENGINES[0])
    bench.forwarder.fleet.costs.outputs.expect = lambda *_: 40.0
    bench.send("/reply/x", tokens=100)
    table = bench.forwarder.table
    assert table.load("e1").decode_tokens == 40
    bench.begin()
    for number in range(1, 11):
        bench.event(number)
    assert table.load("e1").decode_tokens == 30
    assert table.report("i1").loads["e1"].decode_tokens == 32
    bench.end()
    assert table.load("e1").decode_tokens == 0


def test_differences_in_old_sums_fade():
    """Guards against herds at a target whose queue was short seconds ago."""
    table = TargetTable()
    table.update(build_view(*ENGINES))
    loads = {"e1": TargetLoad(4, 8_000, 0), "e2": TargetLoad(4, 0, 0)}
    table.apply_load(build_load(table, loads), 1_000)
    table.age_totals(1_400)
    assert table.load("e1").prefill_tokens == 8_000
    table.age_totals(2_500)
    assert 4_000 < table.load("e1").prefill_tokens < 6_000
    table.age_totals(60_000)
    first, second = (table.load(name).prefill_tokens for name in ("e1", "e2"))
    assert first == second == 4_000
    table.apply_load(build_load(table, loads), 60_100)
    assert table.load("e1").prefill_tokens == 8_000


def test_end_line_tells_what_was_expected(monkeypatch):
    """Guards against late requests whose log does not tell what was believed."""
    lines = []
    monkeypatch.setattr(
        _open_requests, "log_event", lambda event, **fields: lines.append(fields)
    )
    bench = Bench(*ENGINES)
    bench.forwarder.apply_load(
        build_load(bench.forwarder.table, {n: TargetLoad(2, 900) for n in ("e1", "e2")})
    )
    stream(bench, 1, {"e1": 60, "e2": 60})
    line = lines[-1]
    assert line["expected_queue_ms"] == 20
    assert (line["factor"], line["target_decode"]) == (1.0, 0)
    assert line["expected_ms"] > 45


def test_non_idempotent_requests_teach_as_well():
    """Guards against services without a factor because their requests run once."""
    routes = (build_route("claim", RequestKind.NON_IDEMPOTENT),)
    bench = Bench(*PLAIN, configuration=build_configuration(routes=routes))
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.advance(70)
    bench.respond()
    assert bench.forwarder.fleet.costs.factors.samples(name) == 1
