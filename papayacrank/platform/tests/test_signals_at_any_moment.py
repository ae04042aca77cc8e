"""Integration test of signals while processes start and stop."""

import pytest

from .signal_soak import list_cases, run_cases

STEP_S = 0.15
STOP_STEP_S = 0.03
STOP_S = 0.15
PARTS = 4


@pytest.mark.prove
@pytest.mark.parametrize("part", range(PARTS))
def test_signals_during_a_start_or_stop_do_no_harm(tmp_path, part):
    """Guards against a SIGHUP that ends a process, and a SIGTERM that fails."""
    cases = list_cases(STEP_S, STOP_STEP_S, STOP_S)
    assert run_cases(tmp_path, cases[part::PARTS]) == []
