"""Tests of rollouts of releases on the leader."""

import pytest

from papayacrank.control._release_rollouts import ReleaseRollouts
from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    EntryLoad,
    FleetTarget,
    ReleaseReport,
    StartRollout,
    TargetLoad,
)
from papayacrank.rollouts import ExposureLimits
from papayacrank.state import StateMachine

DURATION_MS = 12_000
TARGETS = [FleetTarget(f"t-{r}", "", "app", "d", release=r) for r in ("v1", "v2")]


class LeaderBench:
    """A leader with one running rollout, and entry processes that report."""

    def __init__(self):
        self.machine = StateMachine()
        self.table = self.machine.rollouts
        self.leader = ReleaseRollouts(self.table, ExposureLimits())
        self.leader.reset(1)
        order = StartRollout("app", "v2", DURATION_MS)
        self.table.start(order, ["v1"], ["app"], 0)
        self.now_ms = 0
        self.sequence = 0
        self.live = ["i1", "i2"]
        self.silent = set()
        self.stale_step = {}
        self.open_at_old = 0
        self.sent = 0

    def advance(self, ms):
        """Run the leader every 100 ms and return the verdicts."""
        verdicts = []
        for _ in range(0, ms, 100):
            self.now_ms += 100
            verdicts += self.leader.poll(TARGETS, self.live, self.now_ms, self.now_ms)
            for instance in self.live:
                if instance not in self.silent:
                    self.report(instance)
        return verdicts

    def report(self, instance):
        (share,) = self.leader.shares
        self.sequence += 1
        self.sent += 10
        step = self.stale_step.get(instance, share.step)
        new = int(self.sent * 0.05)
        reports = [
            ReleaseReport(1, "r", "v1", step, self.sent, self.sent),
            ReleaseReport(1, "r", "v2", step, new, new),
        ]
        loads = {"t-v1": TargetLoad(self.open_at_old)}
        load = EntryLoad(instance, self.sequence, loads, releases=reports)
        self.leader.observe_load(load, self.now_ms)


@pytest.fixture
def bench():
    """Return a leader with a running rollout."""
    return LeaderBench()


def test_rollout_completes_before_its_deadline(bench):
    verdicts = bench.advance(DURATION_MS - 500)
    assert verdicts[0].state == COMPLETED


def hold_by_open_request(bench):
    bench.open_at_old = 1


def hold_by_silence(bench):
    bench.silent.add("i2")


def hold_by_old_step(bench):
    bench.stale_step["i2"] = 3


@pytest.mark.parametrize(
    "hold", [hold_by_open_request, hold_by_silence, hold_by_old_step]
)
def test_rollout_waits_for_processes_that_may_use_old_targets(bench, hold):
    """Guards against requests at targets that stop without draining."""
    hold(bench)
    assert bench.advance(DURATION_MS + 2_000) == []
    bench.open_at_old = 0
    bench.live = ["i1"]
    assert bench.advance(200)[0].state == COMPLETED


def test_shares_of_a_new_leader_have_higher_steps(bench):
    """Guards against a step of an earlier leader that is taken for a new one."""
    bench.advance(9_000)
    (before,) = bench.leader.shares
    bench.leader.reset(2)
    bench.advance(100)
    (after,) = bench.leader.shares
    assert after.step > before.step
    assert after.share == 0


def test_verdict_is_proposed_again_until_it_is_in_the_log(bench):
    """Guards against a verdict that is lost with its proposal."""
    verdicts = bench.advance(DURATION_MS)
    assert len(verdicts) > 1
    assert len({verdict.state for verdict in verdicts}) == 1
    bench.table.conclude(verdicts[0])
    assert bench.advance(2_000) == []
    (share,) = bench.leader.shares
    assert (share.state, share.share) == (COMPLETED, 1.0)


def test_rollout_without_targets_is_rolled_back_at_its_deadline(bench, monkeypatch):
    """Guards against a rollout that runs for ever."""
    monkeypatch.setattr("papayacrank.control.tests.test_release_rollouts.TARGETS", [])
    verdicts = bench.advance(DURATION_MS + 100)
    assert verdicts[0].state == ROLLED_BACK
