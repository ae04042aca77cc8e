"""Tests of the difference between crashes and single lost connections."""

import pytest
from structlog.testing import capture_logs

from papayacrank.kernel import ManualClock
from papayacrank.messages import SuspectRequest
from papayacrank.quarantine import ConnectionCheck, CrashChecks
from papayacrank.quarantine._crash_checks import JOIN_MS
from papayacrank.transport import ConnectOutcome


class Timers:
    """Timers that run when the test says so."""

    def __init__(self, clock):
        self._clock = clock
        self.due = {}

    def set(self, name, at_ms, callback):
        """Keep a timer."""
        self.due[name] = (at_ms, callback)

    def run_next(self):
        """Advance the clock to the next timer and run it."""
        name = min(self.due, key=lambda item: self.due[item][0])
        at_ms, callback = self.due.pop(name)
        self._clock.advance(max(0, at_ms - self._clock.now_ms()))
        callback()


class Bench:
    """Crash checks with scripted outcomes of connection attempts."""

    def __init__(self, *outcomes):
        self.clock = ManualClock()
        self.timers = Timers(self.clock)
        self.reports = []
        self.results = []
        self.outcomes = list(outcomes)
        self.checked = []
        address_check = ConnectionCheck(self.clock, self.timers, (10, 150))
        address_check._check = self
        self.checks = CrashChecks(
            address_check, self.clock, lambda *report: self.reports.append(report)
        )

    def start(self, address, callback):
        """Report the next outcome, as `ConnectCheck.start`."""
        self.checked.append(address)
        callback(self.outcomes.pop(0))

    def lose(self, target="e1", start=1, parts=("p",), trial=0, opened_ms=None):
        """Lose an attempt."""
        suspect = SuspectRequest("team-a", list(parts), trial)
        self.checks.on_lost(
            target, "127.0.0.1:9", start, opened_ms, suspect, self.results.append
        )

    def run(self):
        """Run all timers."""
        while self.timers.due:
            self.timers.run_next()


def test_report_states_when_the_last_connection_was_opened():
    """Guards against a crash of a new start that is taken for one of the former."""
    bench = Bench(ConnectOutcome.REFUSED)
    for opened_ms in (None, 20, 10):
        bench.lose(opened_ms=opened_ms)
    bench.run()
    assert [report[3] for report in bench.reports] == [20]


def test_lost_attempts_of_one_crash_are_reported_together():
    """Guards against several crashes counted for one."""
    bench = Bench(ConnectOutcome.REFUSED)
    lost_ms = bench.clock.now_ms()
    bench.lose(parts=("p", "q"))
    bench.lose(parts=("p", "r"), trial=4)
    bench.run()
    [(target, start, reported_ms, _, suspects)] = bench.reports
    assert (target, start, reported_ms) == ("e1", 1, lost_ms)
    assert [s.trial for s in suspects] == [0, 4]
    assert bench.results == [True, True]
    assert len(bench.checked) == 1


def test_starts_of_a_target_are_checked_apart():
    """Guards against a second crash that is taken for the first one."""
    bench = Bench(ConnectOutcome.REFUSED, ConnectOutcome.REFUSED)
    bench.lose(start=1)
    bench.lose(start=2)
    bench.run()
    assert [report[1] for report in bench.reports] == [1, 2]


def test_target_that_accepts_connections_has_not_crashed():
    """Guards against parts blamed for one reset connection."""
    bench = Bench(ConnectOutcome.ACCEPTED, ConnectOutcome.ACCEPTED)
    bench.lose()
    bench.run()
    assert (bench.reports, bench.results) == ([], [False])


def test_socket_that_closes_last_hides_no_crash():
    """Guards against a crash missed because the process was still exiting."""
    bench = Bench(ConnectOutcome.ACCEPTED, ConnectOutcome.REFUSED)
    bench.lose()
    bench.run()
    assert (len(bench.reports), bench.results) == (1, [True])


def lose_later(bench, **fields):
    """Lose an attempt, and another one after the first connection was accepted."""
    bench.lose(parts=("p",), **fields)
    bench.timers.run_next()
    bench.clock.advance(JOIN_MS)
    bench.lose(parts=("q",), opened_ms=bench.clock.now_ms())


def test_later_loss_of_a_closing_target_belongs_to_its_crash():
    """Guards against one crash counted as two while its socket still accepts."""
    bench = Bench(ConnectOutcome.ACCEPTED, ConnectOutcome.REFUSED)
    lost_ms = bench.clock.now_ms()
    lose_later(bench, opened_ms=lost_ms)
    bench.run()
    [(_, _, reported_ms, opened_ms, suspects)] = bench.reports
    assert (reported_ms, opened_ms) == (lost_ms, lost_ms)
    assert [s.parts for s in suspects] == [["p"], ["q"]]
    assert bench.results == [True, True]


def test_loss_during_a_check_is_checked_to_its_own_end():
    """Guards against a crash unseen because an earlier loss was being checked."""
    accepted = [ConnectOutcome.ACCEPTED] * 3
    bench = Bench(*accepted, ConnectOutcome.REFUSED)
    lose_later(bench)
    bench.run()
    [(_, _, _, _, suspects)] = bench.reports
    assert [s.parts for s in suspects] == [["q"]]
    assert bench.results == [False, True]


def test_loss_that_is_no_crash_is_logged():
    """Guards against crashes that leave no trace if they are not recognized."""
    bench = Bench(ConnectOutcome.ACCEPTED, ConnectOutcome.ACCEPTED)
    bench.lose()
    with capture_logs() as lines:
        bench.run()
    assert [(line["event"], line["checked_ms"]) for line in lines] == [
        ("loss_not_counted", 160)
    ]


def test_silent_target_has_not_crashed():
    """Guards against parts blamed for a cut path."""
    bench = Bench(ConnectOutcome.SILENT)
    bench.lose()
    bench.run()
    assert (bench.reports, bench.results) == ([], [False])


def test_request_without_parts_is_not_reported():
    """Guards against reports that name nothing; the crash still counts."""
    bench = Bench(ConnectOutcome.REFUSED)
    bench.lose(parts=())
    bench.run()
    assert (bench.reports, bench.results) == ([], [True])


@pytest.mark.parametrize("outcome", list(ConnectOutcome))
def test_later_loss_is_checked_again(outcome):
    """Guards against a target that is never checked again after its first check."""
    outcomes = [outcome] * (2 if outcome is ConnectOutcome.ACCEPTED else 1)
    bench = Bench(*outcomes * 2)
    for _ in range(2):
        bench.lose()
        bench.run()
    assert len(bench.results) == 2
