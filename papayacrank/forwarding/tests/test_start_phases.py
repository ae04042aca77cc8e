"""Tests of the reported durations of a start."""

from papayacrank.forwarding._start_phases import StartPhases


def test_a_phase_keeps_the_time_at_which_it_was_first_reached():
    phases = StartPhases(1_000)
    phases.reach("targets", 1_300)
    phases.reach("targets", 1_900)
    phases.reach("ready", 1_900)
    assert phases.to_fields() == {"targets_after_ms": 300, "ready_after_ms": 900}
