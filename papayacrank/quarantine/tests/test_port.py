"""Tests of the connection of the quarantine to timers and the leader."""

import pytest

from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    PartSuspicion,
    QuarantineTable,
    QuarantineVerdict,
    SuspectRequest,
    TrialEnded,
    TrialReply,
    TrialRequest,
)
from papayacrank.quarantine import QuarantineClient, QuarantinePort, TrialOutcome
from papayacrank.quarantine._port import (
    MAX_KEPT_REPORTS,
    MAX_TRIAL_WAIT_MS,
    MAX_WAITING,
    REPORT_KEPT_MS,
)


class Clock:
    """Clock that a test advances, with its timers."""

    def __init__(self):
        self.time_ms = 10_000
        self.timers = {}

    def now_ms(self):
        """Return the current time."""
        return self.time_ms

    def set(self, name, at_ms, callback):
        """Schedule a call."""
        self.timers[name] = (at_ms, callback)

    def cancel(self, name):
        """Cancel a call."""
        self.timers.pop(name, None)

    def advance(self, ms):
        """Advance the clock and make the calls that are due."""
        until_ms = self.time_ms + ms
        while True:
            due = [(at, n) for n, (at, _) in self.timers.items() if at <= until_ms]
            if not due:
                break
            at_ms, name = min(due)
            self.time_ms = max(self.time_ms, at_ms)
            self.timers.pop(name)[1]()
        self.time_ms = until_ms


class Setup:
    """Port of an entry process; its messages and decisions are kept."""

    def __init__(self):
        self.clock = Clock()
        self.sent = []
        self.decisions = []
        self.counts = []
        self.has_leader = True
        self.client = QuarantineClient("i1@1")
        self.port = QuarantinePort(self.client, self.send, self.clock, self.clock)
        self.port.count = self.counts.append
        self.port.poll(1)
        self.suspect("x", crashes=2)

    def send(self, message):
        """Keep a message to the leader."""
        if self.has_leader:
            self.sent.append(message)
        return self.has_leader

    def suspect(self, name, crashes, verdicts=()):
        """Let the leader state the evidence against a part."""
        term, revision = self.client.position
        suspicion = PartSuspicion(name, crashes, crashes >= 2, 0, revision + 1)
        table = QuarantineTable(
            term, revision, revision + 1, [suspicion], list(verdicts)
        )
        self.port.receive(table)

    def acquire(self, request_id="r1"):
        """Request a trial."""
        self.port.acquire_trial(request_id, "w", ("x",), self.decisions.append, "r")

    def reply(self, granted, retry_after_ms=0):
        """Let the leader reply to the last trial request."""
        request = [m for m in self.sent if isinstance(m, TrialRequest)][-1]
        self.port.receive(
            TrialReply(1, request.number, request.sent_ms, granted, retry_after_ms)
        )

    def outcomes(self):
        """Return the outcomes of all decisions."""
        return [decision.outcome for decision in self.decisions]

    def sent_of(self, kind):
        """Return the sent messages of a type."""
        return [message for message in self.sent if isinstance(message, kind)]


@pytest.fixture
def setup():
    """Return a port that knows a part on trial."""
    return Setup()


@pytest.mark.parametrize("has_leader", [True, False])
def test_request_without_a_reply_is_refused_within_300_ms(setup, has_leader):
    """Guards against requests that wait for a leader that is gone."""
    setup.has_leader = has_leader
    setup.acquire()
    assert setup.decisions == []
    setup.clock.advance(300)
    assert setup.outcomes() == [TrialOutcome.NO_REPLY]
    assert setup.decisions[0].retry_after_ms > 0
    assert setup.counts == ["trial_no_reply"]
    assert setup.clock.timers == {}


def test_granted_trial_has_its_number(setup):
    """Guards against a crash report that does not name its trial."""
    setup.acquire()
    setup.reply(True)
    assert setup.outcomes() == [TrialOutcome.GRANTED]
    assert setup.decisions[0].trial == setup.sent[-1].number
    setup.port.end_trial(setup.decisions[0].trial)
    assert len(setup.sent_of(TrialEnded)) == 1


def test_request_waits_for_a_part_that_is_cleared_meanwhile(setup):
    """Guards against sound requests refused in the moment before a part is cleared."""
    setup.acquire()
    setup.reply(False, 100)
    assert setup.decisions == []
    setup.clock.advance(80)
    setup.suspect("x", crashes=0)
    assert setup.outcomes() == [TrialOutcome.NOT_NEEDED]
    assert setup.clock.timers == {}


def test_waiting_request_asks_again_and_is_refused_at_last(setup):
    """Guards against a wait without end for a trial that others hold."""
    setup.acquire()
    for _ in range(10):
        if setup.decisions:
            break
        setup.clock.advance(100)
        setup.reply(False, 100)
    assert setup.outcomes() == [TrialOutcome.REFUSED]
    assert setup.clock.time_ms <= 10_000 + MAX_TRIAL_WAIT_MS
    assert len(setup.sent_of(TrialRequest)) > 2


def test_waiting_request_is_refused_at_once_by_a_verdict(setup):
    """Guards against a wait for a trial that will not be granted."""
    setup.acquire()
    setup.reply(False, 100)
    setup.suspect("x", 3, [QuarantineVerdict(1, ["x"], [], 3, 600_000, 1, 2)])
    assert setup.outcomes() == [TrialOutcome.REFUSED]
    assert setup.decisions[0].retry_after_ms == 600_000


def test_number_of_waiting_requests_is_bounded(setup):
    """Guards against a flood of requests that wait for one trial."""
    for number in range(MAX_WAITING + 1):
        setup.acquire(f"r{number}")
        setup.reply(False, 100)
    assert setup.outcomes() == [TrialOutcome.REFUSED]


def test_cancelled_request_gets_no_decision_and_leaves_no_trial(setup):
    """Guards against a trial of a request whose caller has left."""
    setup.acquire()
    setup.port.cancel("r1")
    setup.reply(True)
    setup.clock.advance(1_000)
    assert setup.decisions == []
    assert setup.sent_of(TrialEnded)


def test_response_on_a_suspected_part_is_reported(setup):
    """Guards against parts that stay on trial although targets answer them."""
    setup.clock.advance(10)
    setup.port.on_begun(("rules", "x"))
    assert setup.sent_of(PartsCleared) == [PartsCleared("i1@1", ["x"], 0)]
    assert setup.counts == ["cleared"]


def test_crash_report_states_its_age_when_it_is_sent(setup):
    """Guards against a late report that counts as a new crash."""
    setup.has_leader = False
    suspect = SuspectRequest("w", ["x"], 0)
    now_ms = setup.clock.now_ms()
    setup.port.report_crash("t", 1, now_ms - 50, now_ms - 80, [suspect])
    setup.clock.advance(700)
    setup.has_leader = True
    setup.port.poll(1)
    setup.port.poll(1)
    report = CrashReport("i1@1", "t", 1, 750, [suspect], 780)
    assert setup.sent_of(CrashReport) == [report]


def test_crash_is_reported_to_a_new_leader_too(setup):
    """Guards against evidence that a change of the leader loses."""
    for number in range(MAX_KEPT_REPORTS + 5):
        setup.port.report_crash(f"t{number}", 1, setup.clock.now_ms(), None, [])
    setup.sent.clear()
    setup.port.poll(2)
    assert len(setup.sent_of(CrashReport)) == MAX_KEPT_REPORTS
    setup.sent.clear()
    setup.clock.advance(REPORT_KEPT_MS + 1)
    setup.port.poll(3)
    assert setup.sent_of(CrashReport) == []


def test_crashed_trial_is_not_ended_as_well(setup):
    """Guards against a leader that hears of no crash before the trial is over."""
    setup.acquire()
    setup.reply(True)
    trial = setup.decisions[0].trial
    suspect = SuspectRequest("w", ["x"], trial)
    setup.port.report_crash("t", 1, setup.clock.now_ms(), None, [suspect])
    setup.port.end_trial(trial)
    assert setup.sent_of(TrialEnded) == []
