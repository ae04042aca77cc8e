"""Tests of the roll-out of weights and of the leader's view of the targets."""

import msgspec

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
    PartGroup,
    PartPlace,
    RoutingConfiguration,
    ServiceProfile,
    StoreProfile,
    TargetLoad,
)

MODEL = "m"
LOAD_MS = 600


class Engine:
    """Engine that loads weights in simulated time."""

    def __init__(self, name, version=1):
        self.name = name
        self.versions = {MODEL: version}
        self.orders = 0
        self.token = 0
        self.loading = None
        self.is_down = False
        self.is_replaced = False
        self.mute_orders = 0
        self.headers = ()
        self.calls = 0

    def advance(self, now_ms):
        """Finish a load that is due."""
        if self.loading is not None and now_ms >= self.loading[0]:
            self.versions = {MODEL: self.loading[1]}
            self.loading = None

    def take(self, order, now_ms):
        """Answer an order."""
        if order.fencing_token < self.token:
            return OrderOutcome.FENCED
        if self.versions[MODEL] == order.version:
            return OrderOutcome.ALREADY_LOADED
        if self.loading or order.expected_orders != self.orders:
            return OrderOutcome.CONFLICT
        self.token = order.fencing_token
        self.orders += 1
        self.loading = (now_ms + LOAD_MS, order.version)
        return OrderOutcome.ACCEPTED


class Protocol(TargetProtocol):
    """Calls whose URL names what is asked; orders are kept aside."""

    def __init__(self, engines):
        self.engines = engines
        self.orders = {}
        self.leaving = set()
        self.fails = False

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
        """Return what the headers of a result say."""
        known = dict(result.headers)
        pause = known.get("pause-ms")
        return TargetSignals("leaving" in known, int(pause) if pause else None)

    def build_store_check(self, key, address):
        """Return the call for a store."""
        return HttpCall(key, "GET", f"store {address}")

    def read_store_check(self, result):
        """Return the start of the store."""
        return int(result.body) if result.status == 200 else "down"


class Bench:
    """Board with engines whose calls take 5 ms."""

    def __init__(self, count=9, delay_ms=0):
        self.engines = {f"e{n}": Engine(f"e{n}") for n in range(count)}
        self.protocol = Protocol(self.engines)
        self.board = FleetController(self.protocol, "leader", delay_ms)
        self.now_ms = 10_000
        self.board.reset(1, self.now_ms)
        self.wanted = {}
        self.configuration = None
        self.stores = {}
        self.most_out = 0
        self.pending = []
        self.log = []

    def run(self, ms):
        """Let time pass in steps of 5 ms."""
        for _ in range(0, ms, 5):
            self.now_ms += 5
            for engine in self.engines.values():
                engine.advance(self.now_ms)
            calls = self.board.poll(self.wanted, self.configuration, self.now_ms)
            ready, self.pending = self.pending, []
            for call in ready:
                result = self.answer(call)
                calls += self.board.handle(result, self.now_ms)
            self.pending += calls
            out = sum(target.loading for target in self.board.targets)
            self.most_out = max(self.most_out, out)

    def answer(self, call):
        """Let the platform or an engine answer."""
        kind, _, name = call.url.partition(" ")
        if kind == "list":
            status = 500 if self.protocol.fails else 200
            return HttpResult(call.key, status, b"second" if name else b"first")
        if kind == "store":
            start = self.stores[name]
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
        outcome = engine.take(order, self.now_ms)
        self.log.append((self.now_ms, name, order.version, outcome))
        if engine.mute_orders:
            engine.mute_orders -= 1
            return HttpResult(call.key, 0, error="timeout")
        return HttpResult(call.key, 200, outcome.value.encode())

    def versions(self):
        """Return the versions that the engines run."""
        return [engine.versions[MODEL] for engine in self.engines.values()]


def test_all_engines_get_new_weights_a_third_at_a_time():
    """Guards against a service without capacity during a roll-out."""
    bench = Bench()
    bench.run(100)
    bench.wanted = {MODEL: 2}
    bench.run(3_000)
    assert bench.versions() == [2] * 9
    assert bench.most_out == 3
    assert [e.orders for e in bench.engines.values()] == [1] * 9


def test_no_engine_stays_behind_when_versions_follow_quickly():
    """Guards against VERSION: an engine that every newer version passes over."""
    bench = Bench()
    bench.run(100)
    for version in (2, 3, 4, 5):
        bench.wanted = {MODEL: version}
        bench.run(3_200)
        assert min(bench.versions()) >= version - 1
    bench.run(1_000)
    assert bench.versions() == [5] * 9


def test_idle_engines_go_first():
    """Guards against running requests that new weights change needlessly."""
    bench = Bench()
    bench.run(100)
    loads = {f"e{n}": TargetLoad(5, 0, 100) for n in range(6)}
    bench.board.observe_load(EntryLoad("i1", 1, loads), bench.now_ms)
    bench.board.push_load({"i1": "x"}, bench.now_ms)
    bench.wanted = {MODEL: 2}
    bench.run(200)
    out = {target.name for target in bench.board.targets if target.loading}
    assert out == {"e6", "e7", "e8"}


def test_view_shows_an_engine_in_service_when_its_load_is_due():
    """Guards against engines that idle until a lagging report shows their load."""
    bench = Bench(3)
    bench.run(100)
    bench.wanted = {MODEL: 2}
    bench.run(150 + 10 + 620 + 20)
    first = next(t for t in bench.board.targets if t.weights == {MODEL: 2})
    assert not first.loading


def test_order_without_answer_is_carried_out_once():
    """Guards against a second load by the copy of an order that was accepted."""
    bench = Bench(3)
    bench.engines["e0"].mute_orders = 1
    bench.run(100)
    bench.wanted = {MODEL: 2}
    bench.run(5_000)
    assert bench.versions() == [2] * 3
    assert [e.orders for e in bench.engines.values()] == [1] * 3


def test_engine_that_is_down_does_not_hold_the_others_up():
    """Guards against a crashed engine that keeps a place of the roll-out."""
    bench = Bench()
    for name in ("e0", "e1", "e2"):
        bench.engines[name].is_down = True
    bench.run(100)
    bench.wanted = {MODEL: 2}
    bench.run(4_500)
    assert [bench.engines[f"e{n}"].versions[MODEL] for n in range(3, 9)] == [2] * 6
    for name in ("e0", "e1", "e2"):
        bench.engines[name].is_down = False
    bench.run(2_500)
    assert bench.versions() == [2] * 9


def test_replaced_engine_is_shown_as_leaving():
    """Guards against requests and orders for a process that is gone."""
    bench = Bench()
    bench.run(100)
    bench.engines["e0"].is_replaced = True
    bench.wanted = {MODEL: 2}
    bench.run(4_000)
    view = {target.name: target for target in bench.board.targets}
    assert view["e0"].leaving
    assert bench.versions()[1:] == [2] * 8


def test_fenced_leader_sends_no_more_orders():
    """Guards against orders of a leader that another one has replaced."""
    bench = Bench(3)
    bench.run(100)
    for engine in bench.engines.values():
        engine.token = 9
    bench.wanted = {MODEL: 2}
    bench.run(5_000)
    assert {outcome for _, _, _, outcome in bench.log} == {OrderOutcome.FENCED}
    assert len(bench.log) <= 3


def test_new_leader_waits_for_targets_that_check_no_fence():
    """Guards against two leaders that give orders in turn."""
    bench = Bench(3, delay_ms=3_000)
    bench.wanted = {MODEL: 2}
    bench.run(2_900)
    assert bench.log == []
    bench.run(3_000)
    assert bench.versions() == [2] * 3


def test_new_leader_goes_on_where_the_last_one_stopped():
    """Guards against a second load of engines that are loading."""
    bench = Bench(6)
    bench.run(100)
    bench.wanted = {MODEL: 2}
    bench.run(400)
    bench.board.reset(2, bench.now_ms)
    bench.pending.clear()
    bench.run(5_000)
    assert bench.versions() == [2] * 6
    assert [e.orders for e in bench.engines.values()] == [1] * 6


def test_list_that_cannot_be_read_changes_nothing():
    """Guards against a fleet that vanishes with the platform's list."""
    bench = Bench()
    bench.run(100)
    bench.protocol.fails = True
    bench.run(3_000)
    assert len(bench.board.targets) == 9


def test_leaving_target_changes_the_view():
    """Guards against new work for a target that drains."""
    bench = Bench()
    bench.run(100)
    before = bench.board.sequence
    bench.protocol.leaving = {"e3"}
    bench.run(1_300)
    assert bench.board.sequence > before
    assert [t.name for t in bench.board.targets if t.leaving] == ["e3"]


def test_engine_that_says_it_is_leaving_gets_no_order():
    """Guards against orders to an engine that leaves before the list shows it."""
    bench = Bench()
    bench.run(100)
    bench.engines["e3"].headers = (("leaving", "1"),)
    bench.wanted = {MODEL: 2}
    bench.run(4_000)
    assert bench.engines["e3"].orders == 0
    assert [t.name for t in bench.board.targets if t.leaving] == ["e3"]
    assert [e.orders for e in bench.engines.values()].count(1) == 8


def test_leaving_target_of_a_report_changes_the_view_for_that_start_only():
    """Guards against a list that brings a leaving target back, or hides a new one."""
    bench = Bench()
    bench.run(100)
    report = EntryLoad("i1", 1, {}, leaving=[("e2", 1), ("e4", 0), ("gone", 5)])
    bench.board.observe_load(report, bench.now_ms)
    assert [t.name for t in bench.board.targets if t.leaving] == ["e2"]
    bench.run(3_000)
    assert [t.name for t in bench.board.targets if t.leaving] == ["e2"]
    bench.board.reset(2, bench.now_ms)
    bench.run(1_300)
    assert [t.name for t in bench.board.targets if t.leaving] == []


def test_engine_that_asks_for_a_pause_gets_no_calls_until_its_end():
    """Guards against status readings that reach an overloaded engine."""
    bench = Bench()
    bench.run(100)
    engine = bench.engines["e3"]
    engine.headers = (("pause-ms", "2000"),)
    bench.wanted = {MODEL: 2}
    bench.run(1_800)
    assert engine.calls == 1
    assert not any(t.loading for t in bench.board.targets if t.name == "e3")
    engine.headers = ()
    bench.run(3_000)
    assert bench.versions() == [2] * 9


def test_pause_of_an_engine_ends_before_its_weights_are_late():
    """Guards against an absurd pause that keeps replaced weights in use."""
    bench = Bench()
    bench.run(100)
    engine = bench.engines["e3"]
    engine.headers = (("pause-ms", "900000000"),)
    bench.wanted = {MODEL: 2}
    bench.run(500)
    engine.headers = ()
    bench.run(6_000)
    assert bench.versions() == [2] * 9


def test_pause_asked_of_this_machine_holds_for_its_orders():
    """Guards against orders to an overloaded engine from the machine it turned away."""
    bench = Bench()
    bench.run(100)
    engine = bench.engines["e3"]
    for instance, name in (("leader@7", "e3"), ("other@7", "e4")):
        report = EntryLoad(instance, 1, {}, paused=[(name, 2_000)])
        bench.board.observe_load(report, bench.now_ms)
    bench.wanted = {MODEL: 2}
    bench.run(1_900)
    assert engine.calls == 0
    assert bench.engines["e4"].orders == 1
    bench.run(3_000)
    assert bench.versions() == [2] * 9


def test_pause_asked_of_the_leader_is_told_to_its_machine_once():
    """Guards against requests from a machine whose orders were turned away."""
    bench = Bench()
    bench.run(100)
    number = {t.name: t.number for t in bench.board.targets}
    bench.engines["e3"].headers = (("pause-ms", "2000"),)
    bench.wanted = {MODEL: 2}
    while not bench.engines["e3"].calls:
        bench.run(10)
    bench.run(10)
    receivers = {"leader@7": "local", "other@7": "other"}
    sent = {s.to: s.message for s in bench.board.push_load(receivers, bench.now_ms)}
    [(paused, left_ms)] = sent["local"].paused
    assert paused == number["e3"]
    assert 1_900 < left_ms <= 2_000
    assert sent["other"].paused == []
    assert bench.board.push_load(receivers, bench.now_ms) == []


def test_loads_are_summed_and_sent_only_when_they_change():
    """Guards against traffic without news, and against loads of lost processes."""
    bench = Bench()
    bench.run(100)
    number = {t.name: t.number for t in bench.board.targets}
    receivers = {"i1": "a", "i2": "b"}
    places = [PartPlace("e1", "1", part, "store") for part in "pq"]
    load = {"e1": TargetLoad(2, 10, 20)}
    bench.board.observe_load(EntryLoad("i1", 1, load, ["e5"], places), 0)
    bench.board.observe_load(EntryLoad("i2", 1, load), 0)
    first = bench.board.push_load(receivers, 10)
    assert {send.to for send in first} == {"a", "b"}
    message = first[0].message
    assert message.loads == {number["e1"]: TargetLoad(4, 20, 40)}
    assert message.silent == [number["e5"]]
    group = PartGroup("1", "store", [(number["e1"], "p"), (number["e1"], "q")])
    assert message.parts == [group]
    assert bench.board.push_load(receivers, 210) == []
    late = bench.board.push_load(receivers, 5_000)
    assert late[0].message.loads == {}


def test_changes_lead_to_the_view():
    """Guards against entry processes that lack a change of a target."""
    bench = Bench()
    bench.run(100)
    table = TargetTable()
    table.update(bench.board.pop_change(["c1"], bench.now_ms))
    assert table.targets == bench.board.targets
    bench.wanted = {MODEL: 2}
    changes = 0
    for _ in range(800):
        bench.run(5)
        if bench.now_ms == 11_000:
            bench.protocol.leaving = {"e3"}
        change = bench.board.pop_change(["c1"], bench.now_ms)
        if change is not None:
            changes += 1
            table.update(table.merge(change))
            assert table.targets == bench.board.targets
    assert changes >= 6
    # An engine that leaves before its order gets none; all others get one.
    stayed = [e for e in bench.engines.values() if e.name != "e3"]
    assert [(e.versions[MODEL], e.orders) for e in stayed] == [(2, 1)] * 8
    assert bench.engines["e3"].orders == 0


def test_roll_out_takes_little_traffic():
    """Guards against a leader's link that is full of views while weights load.

    Each of 87 receivers gets each change; the link takes 12.5 MB/s.
    """
    bench = Bench(count=30)
    bench.run(100)
    bench.board.pop_change([], bench.now_ms)
    bench.wanted = {MODEL: 2}
    sent = 0
    for _ in range(200):
        bench.run(5)
        change = bench.board.pop_change([], bench.now_ms)
        if change is not None:
            sent += len(msgspec.msgpack.encode(change))
    assert 0 < sent * 87 < 1_250_000


def test_view_is_sent_again_to_a_process_that_lacks_a_change():
    """Guards against a lost message that hides a change for good."""
    bench = Bench()
    bench.run(100)
    board = bench.board
    assert board.needs_view(0, 0, bench.now_ms)
    board.pop_change([], bench.now_ms)
    bench.wanted = {MODEL: 2}
    bench.run(20)
    known = board.sequence - 1
    board.pop_change([], bench.now_ms)
    assert not board.needs_view(1, known, bench.now_ms)
    assert board.needs_view(1, known, bench.now_ms + 300)
    assert not board.needs_view(1, board.sequence, bench.now_ms + 300)


def test_new_leader_shows_no_targets_before_it_has_the_list():
    """Guards against entry processes that refuse everything after an election."""
    bench = Bench()
    bench.configuration = build_stores(s1="a")
    bench.stores = {"a": 7}
    bench.run(100)
    bench.board.reset(2, bench.now_ms)
    bench.protocol.fails = True
    bench.run(1_000)
    assert bench.board.sequence == 0
    assert bench.board.pop_change([], bench.now_ms) is None
    assert not bench.board.needs_view(1, 5, bench.now_ms)
    bench.protocol.fails = False
    bench.run(400)
    table = TargetTable()
    assert table.update(bench.board.pop_change([], bench.now_ms)) == []
    assert table.position[0] == 2


def build_stores(**addresses):
    """Return a configuration with stores."""
    services = tuple(
        ServiceProfile(name, store=StoreProfile(address, "east"))
        for name, address in addresses.items()
    )
    return RoutingConfiguration(1, services=services)


def test_restart_of_a_store_is_seen_within_its_check():
    """Guards against prompts that are expected in a store that has lost them."""
    bench = Bench()
    bench.configuration = build_stores(s1="a", s2="b")
    bench.stores = {"a": 7, "b": 9}
    bench.run(100)
    assert bench.board.view([]).stores == {"s1": 7, "s2": 9}
    before = bench.board.sequence
    bench.stores["b"] = None
    bench.run(1_300)
    assert bench.board.view([]).stores == {"s1": 7, "s2": 0}
    bench.stores["b"] = 10
    bench.run(600)
    assert bench.board.view([]).stores == {"s1": 7, "s2": 10}
    assert bench.board.sequence == before + 2


def test_single_failed_check_does_not_lose_a_store():
    """Guards against a store that is given up for one lost packet."""
    bench = Bench()
    bench.configuration = build_stores(s1="a")
    bench.stores = {"a": 7}
    bench.run(900)
    bench.stores["a"] = None
    bench.run(120)
    bench.stores["a"] = 7
    bench.run(1_000)
    assert bench.board.view([]).stores == {"s1": 7}
    assert bench.board.sequence <= 2


def test_removed_store_is_not_checked():
    """Guards against calls to an address that another service may have now."""
    bench = Bench()
    bench.configuration = build_stores(s1="a")
    bench.stores = {"a": 7}
    bench.run(100)
    bench.configuration = build_stores()
    bench.stores = {}
    bench.run(2_500)
    assert bench.board.view([]).stores == {}
