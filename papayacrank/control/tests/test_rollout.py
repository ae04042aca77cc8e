"""Tests of the fleet controller: rollout of weights, view of the targets, load."""

from collections import deque

import msgspec
import pytest

from papayacrank.control import (
    EngineStatus,
    FleetController,
    HttpCall,
    HttpResult,
    ListedTarget,
    ListingPage,
    OrderOutcome,
    TargetProtocol,
    TargetSignals,
)
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import (
    EntryLoad,
    PartLocation,
    PartLocationGroup,
    RoutingConfiguration,
    ServiceProfile,
    StoreProfile,
    TargetLoad,
)
from papayacrank.permits import read_rate_statement

MODEL = "m"
LOAD_MS = 600


class SimulatedEngine:
    """Engine that loads weights in simulated time."""

    def __init__(self, name, models=(MODEL,)):
        self.name = name
        self.versions = dict.fromkeys(models, 1)
        self.orders = 0
        self.fencing_token = 0
        self.loading = None
        self.is_down = False
        self.is_replaced = False
        self.is_stuck = False
        self.lost_order_replies = 0
        self.load_ms = LOAD_MS
        self.report_lag_ms = 0
        self.headers = ()
        self.calls = 0
        self._reports = deque()

    @property
    def lagged_status(self):
        """Status as of `report_lag_ms` ago."""
        return self._reports[0][1]

    def advance(self, now_ms):
        """Finish a load that is due."""
        status = EngineStatus(
            self.loading is not None, self.orders, dict(self.versions)
        )
        self._reports.append((now_ms, status))
        shown_ms = now_ms - self.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= shown_ms:
            self._reports.popleft()
        is_due = self.loading is not None and now_ms >= self.loading[0]
        if is_due and not self.is_stuck:
            self.versions = self.versions | self.loading[1]
            self.loading = None

    def handle_order(self, order, now_ms):
        """Return the outcome of an order."""
        if order.fencing_token < self.fencing_token:
            return OrderOutcome.FENCED
        if order.model not in self.versions:
            return OrderOutcome.REFUSED
        if self.versions[order.model] == order.version:
            return OrderOutcome.ALREADY_LOADED
        if self.loading or order.expected_orders != self.orders:
            return OrderOutcome.CONFLICT
        self.fencing_token = order.fencing_token
        self.orders += 1
        self.loading = (now_ms + self.load_ms, {order.model: order.version})
        return OrderOutcome.ACCEPTED


class FakeProtocol(TargetProtocol):
    """Protocol whose URLs name the call; it keeps the orders that it has built."""

    def __init__(self, engines):
        self.engines = engines
        self.orders = {}
        self.leaving = set()
        self.list_fails = False

    def build_listing(self, key, page):
        """Return the call for a page."""
        return HttpCall(key, "GET", f"list {page or ''}")

    def read_listing(self, result):
        """Return the engines in two pages."""
        if result.status != 200:
            return "down"
        listed = tuple(
            ListedTarget(
                e.name,
                f"{e.name}:80",
                "s",
                "east",
                e.name in self.leaving,
                64,
                1,
                dict(e.versions),
            )
            for e in self.engines.values()
        )
        half = len(listed) // 2
        if result.body == b"first":
            return ListingPage(listed[:half], "second")
        return ListingPage(listed[half:])

    def build_status(self, key, target, address):
        """Return the call for a status."""
        return HttpCall(key, "GET", f"status {target}")

    def read_status(self, result):
        """Return the status."""
        if result.status != 200:
            return "down"
        engine = self.engines[result.body.decode()]
        if engine.report_lag_ms:
            return engine.lagged_status
        busy = engine.loading is not None
        return EngineStatus(busy, engine.orders, dict(engine.versions))

    def build_load(self, key, order):
        """Return the call for an order."""
        self.orders[key] = order
        return HttpCall(key, "POST", f"order {order.target}")

    def read_load(self, result):
        """Return the outcome."""
        return (
            OrderOutcome(result.body.decode()) if result.body else OrderOutcome.UNKNOWN
        )

    def read_signals(self, result):
        """Return the signals in the headers of a result."""
        header_values = dict(result.headers)
        pause = header_values.get("pause-ms")
        rate = header_values.get("rate")
        return TargetSignals(
            "leaving" in header_values,
            int(pause) if pause else None,
            read_rate_statement([rate] if rate else []),
        )

    def build_store_check(self, key, address):
        """Return the call for a store."""
        return HttpCall(key, "GET", f"store {address}")

    def read_store_check(self, result):
        """Return the start number of the store."""
        return int(result.body) if result.status == 200 else "down"


class FleetSimulation:
    """Fleet controller with simulated engines; each call takes 5 ms."""

    def __init__(self, count=9, delay_ms=0, models=(MODEL,)):
        names = [f"e{n}" for n in range(count)]
        self.engines = {name: SimulatedEngine(name, models) for name in names}
        self.protocol = FakeProtocol(self.engines)
        self.controller = FleetController(self.protocol, "leader", delay_ms)
        self.now_ms = 10_000
        self.controller.reset(1, self.now_ms)
        self.desired_versions = {}
        self.configuration = None
        self.stores = {}
        self.store_checks = 0
        self.max_loading = 0
        # Time in milliseconds for which engines were shown in service while they load.
        self.shown_while_loading_ms = 0
        self.pending = []
        self.order_log = []

    def run(self, ms):
        """Advance the time in steps of 5 ms."""
        for _ in range(0, ms, 5):
            self.now_ms += 5
            for engine in self.engines.values():
                engine.advance(self.now_ms)
            calls = self.poll()
            for call in self.pending:
                self.controller.handle(self.respond(call), self.now_ms)
                if call.url.startswith("list"):
                    calls += self.poll()
            self.pending = calls
            loading_count = sum(target.loading for target in self.controller.targets)
            self.max_loading = max(self.max_loading, loading_count)
            self.shown_while_loading_ms += 5 * sum(
                self.engines[target.name].loading is not None and not target.loading
                for target in self.controller.targets
            )

    def poll(self):
        """Return the calls that are due."""
        return self.controller.poll(
            self.desired_versions, self.configuration, self.now_ms
        )

    def respond(self, call):
        """Return the result of a call to the platform, a store or an engine."""
        kind, _, name = call.url.partition(" ")
        if kind == "list":
            status = 500 if self.protocol.list_fails else 200
            return HttpResult(call.key, status, b"second" if name else b"first")
        if kind == "store":
            start = self.stores[name]
            self.store_checks += 1
            if isinstance(start, str):
                return HttpResult(call.key, 503, headers=(("pause-ms", start),))
            if start is None:
                return HttpResult(call.key, 0, error="refused")
            return HttpResult(call.key, 200, str(start).encode())
        engine = self.engines[name]
        if engine.is_down:
            return HttpResult(call.key, 0, error="refused")
        engine.calls += 1
        if any(name == "pause-ms" for name, _ in engine.headers):
            return HttpResult(call.key, 503, headers=engine.headers)
        if kind == "status":
            return HttpResult(call.key, 200, name.encode(), headers=engine.headers)
        order = self.protocol.orders[call.key]
        if engine.is_replaced:
            return HttpResult(call.key, 421, OrderOutcome.WRONG_TARGET.value.encode())
        outcome = engine.handle_order(order, self.now_ms)
        self.order_log.append((self.now_ms, name, order.version, outcome))
        if engine.lost_order_replies:
            engine.lost_order_replies -= 1
            return HttpResult(call.key, 0, error="timeout")
        return HttpResult(call.key, 200, outcome.value.encode())

    def report_loads(self, sequence, loads):
        """Apply a load report of one entry process and the totals with it."""
        self.controller.observe_load(EntryLoad("i1", sequence, loads), self.now_ms)
        self.controller.push_load({"i1": "x"}, self.now_ms)

    def versions(self):
        """Return the versions that the engines run."""
        return [engine.versions[MODEL] for engine in self.engines.values()]


def test_weights_are_loaded_on_a_third_of_the_engines_at_a_time():
    """Guards against a service without capacity during a rollout."""
    sim = FleetSimulation()
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    sim.run(3_000)
    assert sim.versions() == [2] * 9
    assert sim.max_loading == 3
    assert [e.orders for e in sim.engines.values()] == [1] * 9


def test_no_engine_is_starved_by_frequent_new_versions():
    """Guards against an engine that is skipped for each newer version.

    It would keep running a version that is no longer allowed.
    """
    sim = FleetSimulation()
    sim.run(100)
    for version in (2, 3, 4, 5):
        sim.desired_versions = {MODEL: version}
        sim.run(3_200)
        assert min(sim.versions()) >= version - 1
    sim.run(1_000)
    assert sim.versions() == [5] * 9


def test_each_model_of_an_engine_gets_its_new_weights():
    """Guards against versions of one model that are taken for those of another."""
    sim = FleetSimulation(6, models=("m1", "m2", "m3"))
    sim.run(100)
    sim.desired_versions = {"m1": 2}
    sim.run(3_000)
    assert all(t.weights["m2"] == 1 for t in sim.controller.targets)
    sim.desired_versions = {"m1": 2, "m2": 7, "m3": 1}
    sim.run(4_000)
    expected = {"m1": 2, "m2": 7, "m3": 1}
    assert [e.versions for e in sim.engines.values()] == [expected] * 6
    assert [t.weights for t in sim.controller.targets] == [expected] * 6
    assert [e.orders for e in sim.engines.values()] == [2] * 6


def test_three_models_are_updated_within_the_limit():
    """Guards against models that stay behind while orders for others go on."""
    models = ("m1", "m2", "m3")
    sim = FleetSimulation(6, models=models)
    sim.run(100)
    sim.desired_versions = dict.fromkeys(models, 2)
    sim.run(8_000)
    expected = dict.fromkeys(models, 2)
    assert [e.versions for e in sim.engines.values()] == [expected] * 6
    assert [e.orders for e in sim.engines.values()] == [3] * 6
    assert sim.max_loading == 2


def test_frequent_versions_of_one_model_do_not_starve_another():
    """Guards against a model that waits until another one has no newer version."""
    sim = FleetSimulation(3, models=("m1", "m2"))
    sim.run(100)
    for version in range(2, 8):
        sim.desired_versions = {"m1": version, "m2": 2}
        sim.run(1_200)
    assert [e.versions["m2"] for e in sim.engines.values()] == [2] * 3


def test_leader_change_between_the_orders_for_two_models():
    """Guards against a second load, or none, by a new leader."""
    sim = FleetSimulation(3, models=("m1", "m2"))
    sim.run(100)
    sim.desired_versions = {"m1": 2, "m2": 2}
    sim.run(900)
    sim.controller.reset(2, sim.now_ms)
    sim.run(8_000)
    assert [e.versions for e in sim.engines.values()] == [{"m1": 2, "m2": 2}] * 3
    assert [e.orders for e in sim.engines.values()] == [2] * 3


def test_model_that_an_engine_dropped_is_not_ordered():
    """Guards against repeated orders, or none for other models, after a drop."""
    sim = FleetSimulation(3, models=("m1", "m2"))
    sim.run(100)
    sim.desired_versions = {"m1": 2, "m2": 2}
    sim.run(170)
    for engine in sim.engines.values():
        engine.versions.pop("m2")
    sim.run(8_000)
    assert [e.versions for e in sim.engines.values()] == [{"m1": 2}] * 3
    assert max(e.orders for e in sim.engines.values()) == 1


def test_idle_engines_are_loaded_first():
    """Guards against loads that disturb running requests although engines are idle."""
    sim = FleetSimulation()
    sim.run(100)
    loads = {f"e{n}": TargetLoad(5, 0, 100) for n in range(6)}
    sim.report_loads(1, loads)
    sim.desired_versions = {MODEL: 2}
    sim.run(200)
    loading_engines = {
        target.name for target in sim.controller.targets if target.loading
    }
    assert loading_engines == {"e6", "e7", "e8"}


def test_engine_is_in_service_when_its_load_is_expected_to_end():
    """Guards against engines that stay idle until a lagging report shows the load."""
    sim = FleetSimulation(3)
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    sim.run(150 + 10 + 620 + 20)
    first = next(t for t in sim.controller.targets if t.weights == {MODEL: 2})
    assert not first.loading


@pytest.mark.parametrize("load_ms", [300, 570, 1_300, 2_500])
@pytest.mark.parametrize("report_lag_ms", [100, 300])
def test_engine_is_out_of_service_while_it_loads(load_ms, report_lag_ms):
    """Guards against requests to engines that refuse them because they still load.

    An engine that has just lost its queue looks idle, so that it would attract them.
    """
    sim = FleetSimulation()
    for engine in sim.engines.values():
        engine.load_ms, engine.report_lag_ms = load_ms, report_lag_ms
    sim.run(500)
    for version in (2, 3):
        sim.desired_versions = {MODEL: version}
        sim.run(12_000)
        assert sim.versions() == [version] * 9
    # Reports are read each 60 ms, which limits how well the time can be known.
    assert sim.shown_while_loading_ms / 18 <= 60
    assert [e.orders for e in sim.engines.values()] == [2] * 9


def test_order_waits_for_requests_that_have_not_started():
    """Guards against requests that wait at an engine and are then refused."""
    sim = FleetSimulation(3)
    sim.run(100)
    loads = {f"e{n}": TargetLoad(1, 5_000, 5_000) for n in range(3)}
    sim.report_loads(1, loads)
    sim.desired_versions = {MODEL: 2}
    sim.run(400)
    assert sim.order_log == []
    loads = {f"e{n}": TargetLoad(1, 0, 5_000) for n in range(3)}
    sim.report_loads(2, loads)
    sim.run(50)
    assert len(sim.order_log) == 1


def test_order_does_not_wait_for_requests_that_never_start():
    """Guards against an engine that stays on old weights because of a stuck request."""
    sim = FleetSimulation(3)
    sim.run(100)
    loads = {f"e{n}": TargetLoad(1, 5_000, 5_000) for n in range(3)}
    sim.report_loads(1, loads)
    sim.desired_versions = {MODEL: 2}
    sim.run(700)
    assert len(sim.order_log) == 1


def test_busy_engines_load_few_at_a_time():
    """Guards against a service that has too few engines left for its load."""
    sim = FleetSimulation(12)
    sim.run(100)
    loads = {f"e{n}": TargetLoad(42, 0, 42_000) for n in range(12)}
    sim.report_loads(1, loads)
    sim.desired_versions = {MODEL: 2}
    sim.run(600)
    assert sim.max_loading == 2
    sim.run(6_000)
    # They must not serve old weights for longer than that, whatever their load.
    assert sim.versions() == [2] * 12


def test_order_without_response_is_executed_once():
    """Guards against a second load if an accepted order is sent again."""
    sim = FleetSimulation(3)
    sim.engines["e0"].lost_order_replies = 1
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    sim.run(5_000)
    assert sim.versions() == [2] * 3
    assert [e.orders for e in sim.engines.values()] == [1] * 3


def test_unreachable_engine_does_not_block_the_rollout():
    """Guards against crashed engines that occupy all loading slots."""
    sim = FleetSimulation()
    for name in ("e0", "e1", "e2"):
        sim.engines[name].is_down = True
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    sim.run(4_500)
    assert [sim.engines[f"e{n}"].versions[MODEL] for n in range(3, 9)] == [2] * 6
    for name in ("e0", "e1", "e2"):
        sim.engines[name].is_down = False
    sim.run(2_500)
    assert sim.versions() == [2] * 9


def test_replaced_engine_is_shown_as_leaving():
    """Guards against requests and orders for a process that no longer exists."""
    sim = FleetSimulation()
    sim.run(100)
    sim.engines["e0"].is_replaced = True
    sim.desired_versions = {MODEL: 2}
    sim.run(4_000)
    view = {target.name: target for target in sim.controller.targets}
    assert view["e0"].leaving
    assert sim.versions()[1:] == [2] * 8


def test_fenced_leader_stops_sending_orders():
    """Guards against orders of a leader that was replaced by another one."""
    sim = FleetSimulation(3)
    sim.run(100)
    for engine in sim.engines.values():
        engine.fencing_token = 9
    sim.desired_versions = {MODEL: 2}
    sim.run(5_000)
    assert {outcome for _, _, _, outcome in sim.order_log} == {OrderOutcome.FENCED}
    assert len(sim.order_log) <= 3


def test_new_leader_delays_orders_to_targets_without_fencing():
    """Guards against two leaders that send orders alternately."""
    sim = FleetSimulation(3, delay_ms=3_000)
    sim.desired_versions = {MODEL: 2}
    sim.run(2_900)
    assert sim.order_log == []
    sim.run(3_000)
    assert sim.versions() == [2] * 3


def test_new_leader_continues_a_rollout():
    """Guards against a second load of engines that were loading at the election."""
    sim = FleetSimulation(6)
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    sim.run(400)
    sim.controller.reset(2, sim.now_ms)
    sim.pending.clear()
    sim.run(5_000)
    assert sim.versions() == [2] * 6
    assert [e.orders for e in sim.engines.values()] == [1] * 6


def test_unreadable_list_keeps_the_targets():
    """Guards against losing all targets while the platform's list is unreadable."""
    sim = FleetSimulation()
    sim.run(100)
    sim.protocol.list_fails = True
    sim.run(3_000)
    assert len(sim.controller.targets) == 9


def test_platform_list_is_read_once_a_second():
    """Guards against reads beyond the rate that the platform allows to all together."""
    sim = FleetSimulation()
    reads = []
    build = sim.protocol.build_listing
    sim.protocol.build_listing = lambda key, page: (
        reads.append(page) or build(key, page)
    )
    sim.run(10_000)
    assert reads.count(None) <= 11


def test_leaving_target_changes_the_view():
    """Guards against new requests for a leaving target."""
    sim = FleetSimulation()
    sim.run(100)
    before = sim.controller.sequence
    sim.protocol.leaving = {"e3"}
    sim.run(1_300)
    assert sim.controller.sequence > before
    assert [t.name for t in sim.controller.targets if t.leaving] == ["e3"]


def test_engine_that_reports_leaving_receives_no_order():
    """Guards against orders to an engine that is leaving before the list shows it."""
    sim = FleetSimulation()
    sim.run(100)
    sim.engines["e3"].headers = (("leaving", "1"),)
    sim.desired_versions = {MODEL: 2}
    sim.run(4_000)
    assert sim.engines["e3"].orders == 0
    assert [t.name for t in sim.controller.targets if t.leaving] == ["e3"]
    assert [e.orders for e in sim.engines.values()].count(1) == 8


def test_leaving_target_of_a_report_changes_the_view_for_that_start_only():
    """Guards against a lagging list that restores a leaving target.

    A restarted target of the same name must not be marked as leaving.
    """
    sim = FleetSimulation()
    sim.run(100)
    report = EntryLoad("i1", 1, {}, leaving=[("e2", 1), ("e4", 0), ("gone", 5)])
    sim.controller.observe_load(report, sim.now_ms)
    assert [t.name for t in sim.controller.targets if t.leaving] == ["e2"]
    sim.run(3_000)
    assert [t.name for t in sim.controller.targets if t.leaving] == ["e2"]
    sim.controller.reset(2, sim.now_ms)
    sim.run(1_300)
    assert [t.name for t in sim.controller.targets if t.leaving] == []


def test_engine_receives_no_calls_during_a_requested_pause():
    """Guards against status calls to an overloaded engine."""
    sim = FleetSimulation()
    sim.run(100)
    engine = sim.engines["e3"]
    engine.headers = (("pause-ms", "2000"),)
    sim.desired_versions = {MODEL: 2}
    sim.run(1_800)
    assert engine.calls == 1
    assert not any(t.loading for t in sim.controller.targets if t.name == "e3")
    engine.headers = ()
    sim.run(3_000)
    assert sim.versions() == [2] * 9


def test_requested_pause_is_limited():
    """Guards against an excessive pause that keeps superseded weights in use."""
    sim = FleetSimulation()
    sim.run(100)
    engine = sim.engines["e3"]
    engine.headers = (("pause-ms", "900000000"),)
    sim.desired_versions = {MODEL: 2}
    sim.run(500)
    engine.headers = ()
    sim.run(6_000)
    assert sim.versions() == [2] * 9


def test_pause_requested_from_this_instance_applies_to_its_orders():
    """Guards against orders from an instance that the engine asked to pause."""
    sim = FleetSimulation()
    sim.run(100)
    engine = sim.engines["e3"]
    for instance, name in (("leader@7", "e3"), ("other@7", "e4")):
        report = EntryLoad(instance, 1, {}, paused=[(name, 2_000)])
        sim.controller.observe_load(report, sim.now_ms)
    sim.desired_versions = {MODEL: 2}
    sim.run(1_900)
    assert engine.calls == 0
    assert sim.engines["e4"].orders == 1
    sim.run(3_000)
    assert sim.versions() == [2] * 9


def test_pause_requested_from_the_leader_is_sent_to_its_instance_once():
    """Guards against requests from an instance whose orders the engine refused."""
    sim = FleetSimulation()
    sim.run(100)
    number = {t.name: t.number for t in sim.controller.targets}
    sim.engines["e3"].headers = (("pause-ms", "2000"),)
    sim.desired_versions = {MODEL: 2}
    while not sim.engines["e3"].calls:
        sim.run(10)
    sim.run(10)
    receivers = {"leader@7": "local", "other@7": "other"}
    sent = {s.to: s.message for s in sim.controller.push_load(receivers, sim.now_ms)}
    [(paused, left_ms)] = sent["local"].paused
    assert paused == number["e3"]
    assert 1_900 < left_ms <= 2_000
    assert sent["other"].paused == []
    assert sim.controller.push_load(receivers, sim.now_ms) == []


def test_limit_in_a_response_to_an_order_is_applied():
    """Guards against a rate limit that only the leader has read."""
    sim = FleetSimulation(3)
    sim.run(100)
    sim.engines["e0"].headers = (("rate", "1.5"),)
    sim.desired_versions = {MODEL: 2}
    sim.run(4_000)
    assert sim.controller.permits.rate_of("e0") == 1.5
    assert sim.versions() == [2] * 3


def test_calls_of_the_leader_stay_within_the_limit_of_an_engine():
    """Guards against status requests that exceed the rate of an engine in need."""
    sim = FleetSimulation(3)
    sim.run(100)
    engine = sim.engines["e0"]
    engine.headers = (("rate", "1"),)
    engine.is_stuck = True
    sim.desired_versions = {MODEL: 2}
    sim.run(2_000)
    calls = engine.calls
    sim.run(10_000)
    assert engine.calls - calls <= 10 + 4


def test_response_of_a_replaced_engine_states_no_limit():
    """Guards against the limit of another process at the address of an engine."""
    sim = FleetSimulation(3)
    sim.run(100)
    sim.desired_versions = {MODEL: 2}
    while not sim.pending or not sim.pending[0].key.endswith(" e0"):
        sim.run(5)
    key = sim.pending.pop(0).key
    result = HttpResult(key, 421, headers=(("rate", "1"),))
    sim.controller.handle(result, sim.now_ms)
    assert sim.controller.permits.rate_of("e0") is None


def test_loads_are_summed_and_sent_only_when_they_change():
    """Guards against messages without changes, and against loads of lost processes."""
    sim = FleetSimulation()
    sim.run(100)
    number = {t.name: t.number for t in sim.controller.targets}
    receivers = {"i1": "a", "i2": "b"}
    locations = [PartLocation("e1", "1", part, "store") for part in "pq"]
    load = {"e1": TargetLoad(2, 10, 20)}
    sim.controller.observe_load(EntryLoad("i1", 1, load, ["e5"], locations), 0)
    sim.controller.observe_load(EntryLoad("i2", 1, load), 0)
    first = sim.controller.push_load(receivers, 10)
    assert {send.to for send in first} == {"a", "b"}
    message = first[0].message
    assert message.loads == {number["e1"]: TargetLoad(4, 20, 40)}
    assert message.silent == [number["e5"]]
    group = PartLocationGroup("1", "store", [(number["e1"], "p"), (number["e1"], "q")])
    assert message.parts == [group]
    assert sim.controller.push_load(receivers, 210) == []
    late = sim.controller.push_load(receivers, 5_000)
    assert late[0].message.loads == {}


def test_applied_changes_reproduce_the_view():
    """Guards against entry processes whose view misses a change of a target."""
    sim = FleetSimulation()
    sim.run(100)
    table = TargetTable()
    table.update(sim.controller.pop_change(["c1"], sim.now_ms))
    assert table.targets == sim.controller.targets
    sim.desired_versions = {MODEL: 2}
    changes = 0
    for _ in range(800):
        sim.run(5)
        if sim.now_ms == 11_000:
            sim.protocol.leaving = {"e3"}
        change = sim.controller.pop_change(["c1"], sim.now_ms)
        if change is not None:
            changes += 1
            table.update(table.merge(change))
            assert table.targets == sim.controller.targets
    assert changes >= 6
    # The engine that left before its order receives none; all others receive one.
    remaining = [e for e in sim.engines.values() if e.name != "e3"]
    assert [(e.versions[MODEL], e.orders) for e in remaining] == [(2, 1)] * 8
    assert sim.engines["e3"].orders == 0


def test_rollout_traffic_is_bounded():
    """Guards against view updates that saturate the link of the leader.

    Each change is sent to 87 receivers; the link carries 12.5 MB/s.
    """
    sim = FleetSimulation(count=30)
    sim.run(100)
    sim.controller.pop_change([], sim.now_ms)
    sim.desired_versions = {MODEL: 2}
    sent = 0
    for _ in range(200):
        sim.run(5)
        change = sim.controller.pop_change([], sim.now_ms)
        if change is not None:
            sent += len(msgspec.msgpack.encode(change))
    assert 0 < sent * 87 < 1_250_000


def test_view_is_resent_to_a_process_that_lacks_a_change():
    """Guards against a lost message that hides a change permanently."""
    sim = FleetSimulation()
    sim.run(100)
    controller = sim.controller
    assert controller.needs_view(0, 0, sim.now_ms)
    controller.pop_change([], sim.now_ms)
    sim.desired_versions = {MODEL: 2}
    sim.run(20)
    header_values = controller.sequence - 1
    controller.pop_change([], sim.now_ms)
    assert not controller.needs_view(1, header_values, sim.now_ms)
    assert controller.needs_view(1, header_values, sim.now_ms + 300)
    assert not controller.needs_view(1, controller.sequence, sim.now_ms + 300)


def test_new_leader_sends_no_view_before_it_has_the_list():
    """Guards against entry processes without targets after an election.

    They refuse all requests if a new leader sends an empty view.
    """
    sim = FleetSimulation()
    sim.configuration = build_store_configuration(s1="a")
    sim.stores = {"a": 7}
    sim.run(100)
    sim.controller.reset(2, sim.now_ms)
    sim.protocol.list_fails = True
    sim.run(1_000)
    assert sim.controller.sequence == 0
    assert sim.controller.pop_change([], sim.now_ms) is None
    assert not sim.controller.needs_view(1, 5, sim.now_ms)
    sim.protocol.list_fails = False
    sim.run(400)
    table = TargetTable()
    assert table.update(sim.controller.pop_change([], sim.now_ms)) == []
    assert table.position[0] == 2


def build_store_configuration(**addresses):
    """Return a configuration with stores."""
    services = tuple(
        ServiceProfile(name, store=StoreProfile(address, "east"))
        for name, address in addresses.items()
    )
    return RoutingConfiguration(1, services=services)


def test_store_restart_is_detected_by_the_next_check():
    """Guards against routing to prompts that a restarted store has lost."""
    sim = FleetSimulation()
    sim.configuration = build_store_configuration(s1="a", s2="b")
    sim.stores = {"a": 7, "b": 9}
    sim.run(100)
    assert sim.controller.view([]).stores == {"s1": 7, "s2": 9}
    before = sim.controller.sequence
    sim.stores["b"] = None
    sim.run(1_300)
    assert sim.controller.view([]).stores == {"s1": 7, "s2": 0}
    sim.stores["b"] = 10
    sim.run(600)
    assert sim.controller.view([]).stores == {"s1": 7, "s2": 10}
    assert sim.controller.sequence == before + 2


def test_single_failed_check_keeps_a_store():
    """Guards against a store marked as unavailable because of one lost packet."""
    sim = FleetSimulation()
    sim.configuration = build_store_configuration(s1="a")
    sim.stores = {"a": 7}
    sim.run(900)
    sim.stores["a"] = None
    sim.run(120)
    sim.stores["a"] = 7
    sim.run(1_000)
    assert sim.controller.view([]).stores == {"s1": 7}
    assert sim.controller.sequence <= 2


def test_store_is_not_checked_during_a_requested_pause():
    """Guards against calls that an overloaded store has asked this instance to stop."""
    sim = FleetSimulation()
    sim.configuration = build_store_configuration(s1="a")
    sim.stores = {"a": 7}
    sim.run(900)
    sim.stores["a"] = "3000"
    sim.run(300)
    checks = sim.store_checks
    sim.run(2_600)
    assert sim.store_checks == checks
    assert sim.controller.view([]).stores == {"s1": 7}
    sim.run(500)
    assert sim.store_checks > checks


def test_removed_store_is_not_checked():
    """Guards against calls to an address that another service may use now."""
    sim = FleetSimulation()
    sim.configuration = build_store_configuration(s1="a")
    sim.stores = {"a": 7}
    sim.run(100)
    sim.configuration = build_store_configuration()
    sim.stores = {}
    sim.run(2_500)
    assert sim.controller.view([]).stores == {}


def test_load_sent_to_ended_instances_is_forgotten():
    """Guards against memory that grows with each start of an instance."""
    sim = FleetSimulation(1)
    sim.run(100)
    for boot in range(50):
        instance = f"i1@{boot}"
        load = EntryLoad(instance, 1, {"e0": TargetLoad(1, 0, 100)})
        sim.controller.observe_load(load, sim.now_ms)
        sim.controller.push_load({instance: "x"}, sim.now_ms)
    assert len(sim.controller._last_sent) == 1


def test_busy_processes_are_told_to_all_at_most_once_a_second():
    """Guards against messages for each change of a utilization, or about lost ones."""
    sim = FleetSimulation()
    sim.run(100)
    receivers = {f"i{n}": f"link{n}" for n in range(3)}

    def push(now_ms, *eighths):
        for number, value in enumerate(eighths):
            report = EntryLoad(f"i{number}", now_ms, {}, utilization=value)
            sim.controller.observe_load(report, now_ms)
        sends = sim.controller.push_load(receivers, now_ms)
        return [send.message.busy for send in sends]

    assert push(10_000, 5, 0, 0) == [{}] * 3
    assert push(11_000, 7, 5, 8) == [{"i0": 7, "i2": 8}] * 3
    seen = [push(11_000 + delay, 6, 6, 6) for delay in (100, 500, 900)]
    assert [len(busies) for busies in seen] == [3, 3, 3]
    assert all(busy is None for busies in seen for busy in busies)
    assert push(12_000, 1, 1, 1) == [{}] * 3
    push(13_000, 8, 8, 8)
    # Reports that are too old count as not busy.
    assert [s.message.busy for s in sim.controller.push_load(receivers, 16_000)] == [
        {}
    ] * 3
