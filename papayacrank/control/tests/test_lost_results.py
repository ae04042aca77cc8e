"""Tests of calls of the leader whose results are late, lost or not readable."""

import pytest

from .call_simulation import CallSimulation, pause

SETTLE_MS = 3_000
# The limit of a call, and the time in which the work that follows is done.
RECOVERY_MS = 8_000
LIST = (CallSimulation.let_target_leave, CallSimulation.sees_target_leave)
# Calls by the begin of their keys, with what has to be done in spite of a lost one.
CALLS = {
    "fleet-list ": LIST,
}


@pytest.mark.parametrize("key", CALLS)
@pytest.mark.parametrize("fault", [pause])
def test_call_without_a_usable_result_is_made_again(key, fault):
    """Guards against a leader that waits for a result until the next election."""
    change, is_done = CALLS[key]
    simulation = CallSimulation()
    simulation.run(SETTLE_MS)
    simulation.break_next(key, fault)
    simulation.run(SETTLE_MS)
    change(simulation)
    simulation.run(RECOVERY_MS)
    assert is_done(simulation)
