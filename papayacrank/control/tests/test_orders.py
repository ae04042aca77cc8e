"""Tests of the leader's decisions on orders."""

import json

import pytest

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control import _orders as orders_module
from papayacrank.control._effects import HttpCall, HttpResult
from papayacrank.control._orders import OrderRunner, ProposeOrder
from papayacrank.messages import (
    ConfirmOrder,
    ControlRequest,
    FileConfiguration,
    PlaceOrder,
)
from papayacrank.state import CommandEntry, OrderEntry, StateMachine, encode_entry
from papayacrank.testing import build_questionnaire

SETTLE_MS = 1_500


class Leader:
    """Order runner whose proposals are applied at once."""

    def __init__(self, engines=6):
        self.machine = StateMachine()
        self.index = 0
        addresses = tuple(f"127.0.0.1:{9_000 + n}" for n in range(engines))
        answers = build_questionnaire(addresses)
        document = canonical_json(generate_configuration(answers))
        self.command("conf", FileConfiguration(0, document, "ann"))
        self.elect(1, 0)

    def elect(self, term, now_ms):
        self.runner = OrderRunner(self.machine, SETTLE_MS)
        self.runner.reset(term, now_ms)

    def apply(self, entry):
        self.index += 1
        return self.machine.apply(self.index, encode_entry(entry))

    def command(self, request_id, command):
        return self.apply(
            CommandEntry(0, 0, ControlRequest(request_id, "x", 1, command))
        )

    def place(self, number, version="2"):
        command = PlaceOrder(f"sample-llm-{number}", "load_weights", version, "ann")
        self.command(f"o{number}-{version}", command)

    def carry_out(self, decisions):
        """Apply proposals and return the calls."""
        calls = []
        for decision in decisions:
            if isinstance(decision, ProposeOrder):
                entry = OrderEntry(0, 0, decision.order_id, decision.issue)
                self.apply(entry)
                self.runner.entry_applied(entry)
            elif isinstance(decision, ConfirmOrder):
                self.command(f"c{self.index}", decision)
            else:
                calls.append(decision)
        return calls

    def poll(self, now_ms):
        return self.carry_out(self.runner.poll(now_ms))

    def answer(self, call: HttpCall, now_ms, version="1", orders=(), status=200):
        body = json.dumps({"weights_version": version, "orders": list(orders)})
        result = HttpResult(call.key, status, body.encode())
        return self.carry_out(self.runner.handle(result, now_ms))

    def state(self, order_id):
        return self.machine.orders.find(order_id).state


@pytest.fixture
def leader():
    """Leader of the first term."""
    return Leader()


def test_nothing_is_sent_to_unfenced_targets_before_the_lease_has_passed(leader):
    """Guards against orders of two leaders that reach an engine at the same time."""
    leader.place(1)
    read = leader.poll(100)
    assert [call.method for call in read] == ["GET"]
    leader.answer(read[0], 110)
    assert leader.poll(SETTLE_MS - 1) == []
    leader.poll(SETTLE_MS)
    sent = leader.poll(SETTLE_MS + 1)
    assert [call.method for call in sent] == ["POST"]
    assert json.loads(sent[0].body)["fencing_token"][0] == 1


def test_inherited_order_that_took_effect_is_confirmed_without_sending(leader):
    """Guards against loading the same weights again after an election."""
    leader.place(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.elect(2, 0)
    assert leader.answer(leader.poll(100)[0], 110, version="2") == []
    assert leader.state("o1-2") == "confirmed"


def test_running_order_of_a_predecessor_is_waited_for(leader):
    """Guards against a second load on an engine that is still loading."""
    leader.place(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.elect(2, 0)
    running = [{"order_id": "o1-2/3", "status": "running"}]
    leader.answer(leader.poll(2_000)[0], 2_000, orders=running)
    again = leader.poll(2_300)
    assert [call.method for call in again] == ["GET"]


def test_silent_engine_takes_no_place_among_the_loads(leader):
    """Guards against three dead engines that block all loads."""
    for number in range(1, 5):
        leader.place(number)
    for call in leader.poll(2_000):
        if "o4" not in call.key:
            leader.answer(call, 2_000, status=0)
    leader.answer(HttpCall("order read o4-2", "GET", ""), 2_000)
    leader.poll(2_001)
    assert leader.state("o4-2") == "issued"
    assert leader.machine.orders.weight_loads == 1


@pytest.mark.parametrize(
    ("engines", "loads"), [(2, 1), (3, 1), (6, 2), (9, 3), (12, 3)]
)
def test_most_engines_of_a_service_go_on_serving(engines, loads):
    """Guards against loads that take all engines of a small service at once."""
    leader = Leader(engines)
    for number in range(1, engines + 1):
        leader.place(number)
    for step in range(5):
        now_ms = 2_000 + 100 * step
        for call in leader.poll(now_ms):
            if call.method == "GET":
                leader.answer(call, now_ms)
    assert leader.machine.orders.weight_loads == loads


def test_attempt_ends_after_its_time_and_frees_its_place(leader):
    """Guards against a load that never ends and holds its place for ever."""
    leader.place(1)
    leader.answer(leader.poll(2_000)[0], 2_000)
    leader.poll(2_001)
    leader.answer(leader.poll(2_002)[0], 2_002, status=202)
    leader.poll(2_002 + orders_module.ATTEMPT_TIMEOUT_MS)
    assert leader.state("o1-2") == "waiting"
    assert leader.machine.orders.weight_loads == 0
    leader.answer(leader.poll(30_000)[0], 30_000)
    leader.poll(30_001)
    row = leader.machine.orders.find("o1-2")
    assert (row.state, row.attempts) == ("issued", 2)


def test_replaced_load_keeps_its_place_until_the_engine_has_ended_it(leader):
    """Guards against a fourth load while the replaced one still runs."""
    leader.place(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.place(1, "3")
    assert leader.state("o1-2") == "superseded"
    assert leader.machine.orders.weight_loads == 1


def test_all_confirmed_orders_are_read_back_in_turn(leader, monkeypatch):
    """Guards against engines that are never read back because others come first."""
    monkeypatch.setattr(orders_module, "MAX_OPEN_CALLS", 2)
    for number in range(1, 7):
        leader.place(number)
        leader.command(f"c{number}", ConfirmOrder(f"o{number}-2", "2"))
    seen = set()
    for step in range(3):
        seen |= {call.key for call in leader.poll(5_000 + step)}
    assert len(seen) == 6
    overwritten = HttpCall("order verify o1-2", "GET", "")
    leader.answer(overwritten, 5_100, version="1")
    assert leader.state("o1-2") == "issued"
