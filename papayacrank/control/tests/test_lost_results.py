"""Tests of calls of the leader whose results are late, lost or not readable."""

import pytest

from .call_simulation import (
    STEP_MS,
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
