"""Tests of calls of the leader whose results are late, lost or not readable."""

import pytest

from papayacrank.control._node import LEADER_TASKS_TIMER
from papayacrank.kernel import SetTimer
from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    FileRouting,
    RequestKind,
    Route,
    RoutingConfiguration,
    StreamsBegun,
)

from .call_simulation import (
    STEP_MS,
    TASKS_INTERVAL_MS,
    CallSimulation,
    deliver_in_next_term,
    deliver_late,
    fail_in_handler,
    lose,
    pause,
)

SETTLE_MS = 3_000
# The limit of a call, and the time in which the work that follows is done.
RECOVERY_MS = 8_000
LIST = (CallSimulation.let_target_leave, CallSimulation.sees_target_leave)
# Calls by the begin of their keys, with what has to be done in spite of a lost one.
STREAM_ROUTE = Route("r", "h", "/", RequestKind.STREAM, (), 10_000, 500)
ROUTING = RoutingConfiguration(2, (STREAM_ROUTE,))
WEIGHTS = (CallSimulation.name_weights, CallSimulation.has_loaded_weights)
STORE = (CallSimulation.restart_store, CallSimulation.sees_store_restart)
STATUS_LIST = (CallSimulation.change_status, CallSimulation.sees_status)
ORDER = (CallSimulation.place_order, CallSimulation.has_confirmed_order)
CALLS = {
    "fleet-list ": LIST,
    "rollout-status ": WEIGHTS,
    "rollout-order ": WEIGHTS,
    "store-check ": STORE,
    "platform": STATUS_LIST,
    "order read": ORDER,
    "order send": ORDER,
}


@pytest.mark.parametrize("key", CALLS)
@pytest.mark.parametrize(
    "fault", [pause, lose, fail_in_handler, deliver_late, deliver_in_next_term]
)
def test_call_without_a_usable_result_is_made_again(key, fault):
    """Guards against a leader that waits for a result until the next election."""
    change, is_done = CALLS[key]
    simulation = CallSimulation()
    simulation.run(SETTLE_MS)
    simulation.break_next(key, fault)
    change(simulation)
    simulation.run(RECOVERY_MS)
    assert simulation.broken_calls == [key]
    assert is_done(simulation)


def test_order_is_confirmed_although_its_confirmation_could_not_be_proposed():
    """Guards against an order that stays open since a proposal was not made."""
    simulation = CallSimulation()
    simulation.run(SETTLE_MS)
    simulation.place_order()
    while not simulation.sent_orders:
        simulation.run(STEP_MS)
    simulation.break_next("order read", pause)
    simulation.run(RECOVERY_MS)
    assert simulation.broken_calls == ["order read"]
    assert simulation.has_confirmed_order()


def fail_task(now_ms):
    """Raise the exception of a task."""
    raise ValueError("odd state")


@pytest.mark.parametrize(("runs", "leads"), [(3, True), (10, False)])
def test_leader_whose_tasks_fail_goes_on_or_resigns(runs, leads):
    """Guards against a leader that keeps its office and does nothing."""
    simulation = CallSimulation()
    simulation.run(SETTLE_MS)
    node = simulation.node
    failing, node._quarantine.tick = node._quarantine.tick, fail_task
    for _ in range(runs):
        simulation.now_ms += TASKS_INTERVAL_MS
        effects = node.tick(LEADER_TASKS_TIMER, simulation.now_ms)
        timers = [e.name for e in effects if isinstance(e, SetTimer)]
        assert LEADER_TASKS_TIMER in timers
    node._quarantine.tick = failing
    assert simulation.raft.is_leader == leads
    if leads:
        simulation.let_target_leave()
        simulation.run(RECOVERY_MS)
        assert simulation.sees_target_leave()


def deny_lease(raft):
    """Let the lease lapse, as after a pause."""
    raft.holds_lease = False


def reject_proposals(raft):
    """Reject entries, as while the disk is slow."""
    raft.rejects_proposals = True


@pytest.mark.parametrize("disturb", [deny_lease, reject_proposals])
def test_streams_are_recorded_although_the_leader_could_not_act(disturb):
    """Guards against streams that cannot be taken up because their report was lost."""
    simulation = CallSimulation()
    simulation.command(FileRouting(ROUTING, b"{}"))
    simulation.command(ChangeReleases("s", added=["v1", "v2"]))
    simulation.run(SETTLE_MS)
    disturb(simulation.raft)
    report = StreamsBegun("i1", [BegunStream("stream", "s", "v1")])
    simulation.execute(simulation.node.receive("entry", report, simulation.now_ms))
    simulation.run(10 * STEP_MS)
    simulation.raft.holds_lease = True
    simulation.raft.rejects_proposals = False
    simulation.run(10 * STEP_MS)
    assert simulation.machine.releases.has_stream("stream")
