"""Leader whose calls can lose their results, or get them at the wrong moment."""

import contextlib
import json

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control import FleetController, HttpCall, HttpResult
from papayacrank.messages import (
    ControlRequest,
    FileConfiguration,
    FileRouting,
    NameWeights,
    PlaceOrder,
)
from papayacrank.testing import build_questionnaire

from .test_node import NodeHarness
from .test_rollout import (
    MODEL,
    FakeProtocol,
    SimulatedEngine,
    build_store_configuration,
)

STEP_MS = 20
# Longer than the lease, shorter than the time until an election.
PAUSE_MS = 400
TASKS_INTERVAL_MS = 100
# Longer than the time limit of any call and the margin for its result.
LATE_MS = 4_000
TARGET = "sample-llm-1"
STATUS_TARGET = "t1"


class CallSimulation(NodeHarness):
    """Leader of both interfaces with the platform, engines, a store and targets.

    Each call takes `STEP_MS`.
    """

    def __init__(self):
        self.engines = {f"e{n}": SimulatedEngine(f"e{n}") for n in range(4)}
        self.protocol = FakeProtocol(self.engines)
        self.store_start = 7
        self.listed = {STATUS_TARGET: "live"}
        self.ordered_version = "1"
        self.sent_orders = {}
        self.made = []
        self._open = []
        self._faults = {}
        self.broken_calls = []
        super().__init__(
            FleetController(self.protocol, "c1"), platform_list_url="http://platform"
        )
        addresses = tuple(f"127.0.0.1:{9_000 + n}" for n in range(6))
        answers = build_questionnaire(addresses)
        document = canonical_json(generate_configuration(answers))
        self.command(FileConfiguration(0, document, "ann"))
        self.command(FileRouting(build_store_configuration(s1="a"), b"{}"))

    def command(self, command):
        """Submit a command of an operator."""
        name = f"r{len(self.raft.entries)}-{self.now_ms}"
        self.receive("operator", ControlRequest(name, "operator", 1, command))

    def break_next(self, key, fault):
        """Apply a fault to the next call whose key begins with a text.

        Parameters
        ----------
        key : str
            Begin of the key.
        fault : callable
            Called with this simulation and the call instead of the delivery of the
            result.
        """
        self._faults[key] = fault

    def run(self, ms):
        """Advance the time."""
        for _ in range(0, ms, STEP_MS):
            self.now_ms += STEP_MS
            for engine in self.engines.values():
                engine.advance(self.now_ms)
            due, self._open = self._open, []
            for call in due:
                fault = self._take_fault(call)
                if fault is not None:
                    fault(self, call)
                else:
                    self.deliver(self.respond(call))
            if self.now_ms % TASKS_INTERVAL_MS < STEP_MS:
                self.execute(self.node.tick("control.leader-tasks", self.now_ms))
            self.execute(self.node.tick("control.fleet", self.now_ms))

    def _take_fault(self, call):
        for key in list(self._faults):
            if call.key.startswith(key):
                self.broken_calls.append(key)
                return self._faults.pop(key)
        return None

    def deliver(self, result):
        """Deliver a result; an exception is logged by the process and has no effect."""
        self.execute(self.node.http_finished(result, self.now_ms))

    def execute(self, effects):
        """Collect the calls among the effects of a step."""
        calls = [e for e in [*effects, *self.flush()] if isinstance(e, HttpCall)]
        self.made += [(self.now_ms, call) for call in calls]
        self._open += calls

    def respond(self, call):
        """Return the result of a call."""
        kind, _, name = call.url.partition(" ")
        if kind == "list":
            return HttpResult(call.key, 200, b"second" if name else b"first")
        if kind == "store":
            return HttpResult(call.key, 200, str(self.store_start).encode())
        if kind == "status":
            return HttpResult(call.key, 200, name.encode())
        if kind == "order":
            order = self.protocol.orders[call.key]
            outcome = self.engines[name].handle_order(order, self.now_ms)
            return HttpResult(call.key, 200, outcome.value.encode())
        if call.key == "platform":
            rows = [{"target": t, "state": s} for t, s in self.listed.items()]
            return HttpResult(call.key, 200, json.dumps(rows).encode())
        return self._respond_to_target_call(call)

    def _respond_to_target_call(self, call):
        if call.body:
            order = json.loads(call.body)
            self.sent_orders[order["order_id"]] = "done"
            self.ordered_version = order["arguments"]["weights_version"]
            return HttpResult(call.key, 200, b"{}")
        orders = [{"order_id": o, "status": s} for o, s in self.sent_orders.items()]
        state = {"weights_version": self.ordered_version, "orders": orders}
        return HttpResult(call.key, 200, json.dumps(state).encode())

    # What the leader is to notice or to do

    def let_target_leave(self):
        """Show on the list that an engine of the second page leaves."""
        self.protocol.leaving = {"e3"}

    def sees_target_leave(self):
        """Whether the view shows it."""
        targets = self.node._fleet.targets
        return [t.name for t in targets if t.leaving] == ["e3"]

    def name_weights(self):
        """Name a new version of the weights."""
        self.command(NameWeights(MODEL, 2))

    def has_loaded_weights(self):
        """Whether all engines run it."""
        return all(e.versions[MODEL] == 2 for e in self.engines.values())

    def restart_store(self):
        """Restart the store."""
        self.store_start = 8

    def sees_store_restart(self):
        """Whether the view shows it."""
        return self.node._fleet.view([]).stores == {"s1": 8}

    def change_status(self):
        """Change the state of a target on the list of the own interface."""
        self.listed = {STATUS_TARGET: "leaving"}

    def sees_status(self):
        """Whether the log has it."""
        return [row.state for row in self.machine.targets.targets] == ["leaving"]

    def place_order(self):
        """Order a target to load weights."""
        self.command(PlaceOrder(TARGET, "load_weights", "2", "ann"))

    def has_confirmed_order(self):
        """Whether the order is confirmed."""
        return [row.argument for row in self.machine.orders.confirmed()] == ["2"]


# Faults


def pause(simulation, call):
    """Deliver the result after a pause in which the lease has lapsed."""
    result = simulation.respond(call)
    simulation.now_ms += PAUSE_MS
    simulation.raft.holds_lease = False
    simulation.deliver(result)
    simulation.execute(simulation.node.tick("control.leader-tasks", simulation.now_ms))
    simulation.raft.holds_lease = True


def lose(simulation, call):
    """Lose the result, as if the call had never been made."""


def fail_in_handler(simulation, call):
    """Let the handling of the result fail."""
    result = simulation.respond(call)
    broken = HttpResult(result.key, result.status, None, headers=None)
    with contextlib.suppress(Exception):
        simulation.deliver(broken)


def deliver_late(simulation, call):
    """Deliver the result after the call has been made again."""
    result = simulation.respond(call)
    for _ in range(int(LATE_MS / STEP_MS)):
        simulation.run(STEP_MS)
    simulation.deliver(result)


def deliver_in_next_term(simulation, call):
    """Deliver the result after an election that this process has won again."""
    result = simulation.respond(call)
    simulation.change_leader()
    simulation.execute(simulation.node.tick("control.leader-tasks", simulation.now_ms))
    simulation.deliver(result)
