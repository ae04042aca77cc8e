"""Tests of the order runner."""

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

TAKEOVER_DELAY_MS = 1_500


class LeaderHarness:
    """Order runner whose proposals are applied immediately."""

    def __init__(self, engines=6):
        self.machine = StateMachine()
        self.index = 0
        addresses = tuple(f"127.0.0.1:{9_000 + n}" for n in range(engines))
        answers = build_questionnaire(addresses)
        document = canonical_json(generate_configuration(answers))
        self.command("conf", FileConfiguration(0, document, "ann"))
        self.start_term(1, 0)

    def start_term(self, term, now_ms):
        self.runner = OrderRunner(self.machine, TAKEOVER_DELAY_MS)
        self.runner.reset(term, now_ms)

    def apply(self, entry):
        self.index += 1
        return self.machine.apply(self.index, encode_entry(entry))

    def command(self, request_id, command):
        return self.apply(
            CommandEntry(0, 0, ControlRequest(request_id, "x", 1, command))
        )

    def place_order(self, number, version="2"):
        command = PlaceOrder(f"sample-llm-{number}", "load_weights", version, "ann")
        self.command(f"o{number}-{version}", command)

    def execute(self, decisions):
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
        return self.execute(self.runner.poll(now_ms))

    def respond(self, call: HttpCall, now_ms, version="1", orders=(), status=200):
        body = json.dumps({"weights_version": version, "orders": list(orders)})
        result = HttpResult(call.key, status, body.encode())
        return self.execute(self.runner.handle(result, now_ms))

    def state(self, order_id):
        return self.machine.orders.find(order_id).state


@pytest.fixture
def leader():
    """Return the leader of the first term."""
    return LeaderHarness()


def test_unfenced_targets_receive_nothing_before_the_takeover_delay(leader):
    """Guards against concurrent orders of two leaders to one engine.

    The previous leader may send orders until its lease expires.
    """
    leader.place_order(1)
    read_calls = leader.poll(100)
    assert [call.method for call in read_calls] == ["GET"]
    leader.respond(read_calls[0], 110)
    assert leader.poll(TAKEOVER_DELAY_MS - 1) == []
    leader.poll(TAKEOVER_DELAY_MS)
    send_calls = leader.poll(TAKEOVER_DELAY_MS + 1)
    assert [call.method for call in send_calls] == ["POST"]
    assert json.loads(send_calls[0].body)["fencing_token"][0] == 1


def test_inherited_order_that_took_effect_is_confirmed_without_sending(leader):
    """Guards against loading the same weights twice after an election."""
    leader.place_order(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.start_term(2, 0)
    assert leader.respond(leader.poll(100)[0], 110, version="2") == []
    assert leader.state("o1-2") == "confirmed"


def test_running_order_of_a_previous_leader_is_awaited(leader):
    """Guards against a second load on an engine that is still loading."""
    leader.place_order(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.start_term(2, 0)
    running_orders = [{"order_id": "o1-2/3", "status": "running"}]
    leader.respond(leader.poll(2_000)[0], 2_000, orders=running_orders)
    next_calls = leader.poll(2_300)
    assert [call.method for call in next_calls] == ["GET"]


def test_unresponsive_engine_occupies_no_loading_slot(leader):
    """Guards against three unreachable engines that block all loads."""
    for number in range(1, 5):
        leader.place_order(number)
    for call in leader.poll(2_000):
        if "o4" not in call.key:
            leader.respond(call, 2_000, status=0)
    leader.respond(HttpCall("order read o4-2", "GET", ""), 2_000)
    leader.poll(2_001)
    assert leader.state("o4-2") == "issued"
    assert leader.machine.orders.weight_loads == 1


@pytest.mark.parametrize(
    ("engines", "loads"), [(2, 1), (3, 1), (6, 2), (9, 3), (12, 3)]
)
def test_most_engines_of_a_service_keep_serving(engines, loads):
    """Guards against concurrent loads on all engines of a small service."""
    leader = LeaderHarness(engines)
    for number in range(1, engines + 1):
        leader.place_order(number)
    for step in range(5):
        now_ms = 2_000 + 100 * step
        for call in leader.poll(now_ms):
            if call.method == "GET":
                leader.respond(call, now_ms)
    assert leader.machine.orders.weight_loads == loads


def test_attempt_times_out_and_releases_its_slot(leader):
    """Guards against a load that never ends and occupies its slot forever."""
    leader.place_order(1)
    leader.respond(leader.poll(2_000)[0], 2_000)
    leader.poll(2_001)
    leader.respond(leader.poll(2_002)[0], 2_002, status=202)
    leader.poll(2_002 + orders_module.ATTEMPT_TIMEOUT_MS)
    assert leader.state("o1-2") == "waiting"
    assert leader.machine.orders.weight_loads == 0
    leader.respond(leader.poll(30_000)[0], 30_000)
    leader.poll(30_001)
    row = leader.machine.orders.find("o1-2")
    assert (row.state, row.attempts) == ("issued", 2)


def test_superseded_load_keeps_its_slot_until_it_ends(leader):
    """Guards against a fourth load while the superseded one is still running."""
    leader.place_order(1)
    leader.apply(OrderEntry(0, 0, "o1-2", True))
    leader.place_order(1, "3")
    assert leader.state("o1-2") == "superseded"
    assert leader.machine.orders.weight_loads == 1


def test_all_confirmed_orders_are_verified_in_turn(leader, monkeypatch):
    """Guards against engines that are never verified because others come first."""
    monkeypatch.setattr(orders_module, "MAX_OPEN_CALLS", 2)
    for number in range(1, 7):
        leader.place_order(number)
        leader.command(f"c{number}", ConfirmOrder(f"o{number}-2", "2"))
    verified = set()
    for step in range(3):
        verified |= {call.key for call in leader.poll(5_000 + step)}
    assert len(verified) == 6
    verify_call = HttpCall("order verify o1-2", "GET", "")
    leader.respond(verify_call, 5_100, version="1")
    assert leader.state("o1-2") == "issued"
