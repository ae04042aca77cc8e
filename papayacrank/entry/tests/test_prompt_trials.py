"""Tests of the quarantine in a request flow, with a scripted leader and targets."""

from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest
from expression import Ok

from papayacrank.admission import AdmissionRequest
from papayacrank.entry._flow import RequestFlow
from papayacrank.kernel import ManualClock, Verdict
from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    PartSuspicion,
    QuarantineTable,
    QuarantineVerdict,
    TrialEnded,
    TrialReply,
    TrialRequest,
)
from papayacrank.quarantine import QuarantineClient, QuarantinePort
from papayacrank.routing import Choice, RoutingRequest
from papayacrank.targets import TargetFailure

PARTS = ("deadly", "hot")
LOST = TargetFailure("connection_lost", True, "reset")


class PromptFlow(RequestFlow):
    """Flow of a request with a prompt of two shared parts."""

    _admission = MagicMock()

    def _build_admission(self):
        return AdmissionRequest(self.request_id, "team-a", "llm", 0, 1.0, 0)

    def _build_routing(self):
        return RoutingRequest(self._next_attempt_id(), "llm", "team-a")

    def _build_attempt(self, attempt_id, choice):
        return SimpleNamespace(request_id=attempt_id, target=choice.target)

    def on_headers(self, status, headers):
        """Ignore the head."""

    def on_finished(self, usage):
        """End the request."""
        self._finish_attempt()
        self._end("served", None)

    def _handle_attempt_failure(self, target, failure):
        if not self._parts.may_repeat:
            self._fail_with_target_error(target, failure)
        else:
            self._retry_on_other_target(target)

    def _count_tokens(self):
        return 0, 0, 0


class Bench:
    """One flow with a real quarantine port whose messages are kept."""

    def __init__(self):
        self.clock = ManualClock()
        self.sent = []
        self.failures = []
        self.checks = []
        self.timers = MagicMock()
        self.quarantine = QuarantinePort(
            QuarantineClient("i1@1"), self.send, self.clock, self.timers
        )
        context = MagicMock()
        context.clock = self.clock
        context.quarantine = self.quarantine
        context.permits.client.rate_of.return_value = None
        context.contact.has_contact.return_value = True
        context.router.choose.side_effect = lambda *_: Ok(
            Choice(f"e{context.targets.submit.call_count + 1}", 0, 0.0, None, "only")
        )
        context.router.index.incarnation.return_value = 5
        context.flows.call = lambda flow, method, *args: getattr(flow, method)(*args)
        context.crash_checks.on_lost = lambda *loss: self.checks.append(loss)
        self.context = context
        exchange = MagicMock()
        exchange.request_id = exchange.public_id = "r1"
        exchange.respond_failure = self.failures.append
        service = SimpleNamespace(name="llm", targets=())
        caller = SimpleNamespace(workspace="team-a")
        self.flow = PromptFlow(context, exchange, caller, service, True, 10_000)
        self.flow._parts.names = PARTS
        self.flow._find_target_address = lambda target: f"address of {target}"

    def send(self, message):
        """Keep a message to the leader."""
        self.sent.append(message)
        return True

    def tell(self, needs_trial=False, verdict=None):
        """Apply a table of the leader."""
        suspicions = [PartSuspicion("deadly", 2, needs_trial, 0, 1)]
        verdicts = [verdict] if verdict else []
        self.quarantine.receive(QuarantineTable(1, 0, 1, suspicions, verdicts))

    def start(self):
        """Let the request go ahead."""
        self.flow._state.on_queued()
        self.flow.on_admitted()

    def reply(self, granted, retry_after_ms=0):
        """Reply to the last trial request."""
        asked = [m for m in self.sent if isinstance(m, TrialRequest)][-1]
        self.quarantine.receive(
            TrialReply(1, asked.number, asked.sent_ms, granted, retry_after_ms)
        )

    def run_trial(self):
        """Start the request under a trial."""
        self.tell(needs_trial=True)
        self.start()
        self.reply(True)

    def count(self, kind):
        """Return the number of messages of a type."""
        return sum(isinstance(m, kind) for m in self.sent)

    @property
    def attempts(self):
        """Number of attempts sent."""
        return self.context.targets.submit.call_count


@pytest.fixture
def bench():
    """Flow that has not started."""
    return Bench()


def test_quarantined_request_is_refused_unsent(bench):
    """Guards against one more crash, and callers who come back too soon."""
    bench.tell(verdict=QuarantineVerdict(7, ["deadly"], ["team-a"], 3, 60_000, 1, 1))
    bench.start()
    [failure] = bench.failures
    assert (failure.code, failure.status) == ("quarantined", 503)
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.retry_after_ms == 60_000
    assert bench.attempts == 0


def test_verdict_on_another_workspace_refuses_nothing(bench):
    """Guards against a workspace that blocks parts of another one."""
    bench.tell(verdict=QuarantineVerdict(7, ["hot"], ["team-b"], 3, 60_000, 1, 1))
    bench.start()
    assert bench.attempts == 1


def test_suspected_request_waits_for_its_trial(bench):
    """Guards against two requests with a suspected part at the same time."""
    bench.tell(needs_trial=True)
    bench.start()
    assert bench.attempts == 0
    bench.reply(True)
    assert bench.attempts == 1
    assert not bench.count(TrialEnded)


def test_refused_trial_is_not_run(bench):
    """Guards against a request that is held until its deadline."""
    bench.tell(needs_trial=True)
    bench.start()
    bench.reply(False, 5_000)
    [failure] = bench.failures
    assert (failure.code, failure.retry_after_ms) == ("quarantined", 5_000)
    assert failure.verdict is Verdict.NOT_RUN


def test_response_past_its_beginning_ends_the_trial_and_clears(bench):
    """Guards against sound parts that stay on trial."""
    bench.run_trial()
    bench.clock.advance(10)
    bench.flow._parts.on_begun()
    assert (bench.count(PartsCleared), bench.count(TrialEnded)) == (1, 1)
    bench.flow.on_finished(None)
    assert bench.count(TrialEnded) == 1


@pytest.mark.parametrize(
    "end",
    [
        lambda bench: bench.flow.on_caller_left(),
        lambda bench: bench.flow.on_deadline(),
        lambda bench: bench.flow.on_key_withdrawn(),
        lambda bench: bench.flow.on_failed(TargetFailure("progress_timeout", True)),
        lambda bench: bench.flow.abort(),
    ],
)
def test_any_other_end_of_an_attempt_ends_its_trial(bench, end):
    """Guards against a trial that blocks the part until its lease ends."""
    bench.run_trial()
    end(bench)
    assert bench.count(TrialEnded) == 1
    assert bench.checks == []


def test_attempt_that_sent_nothing_leaves_the_trial_to_the_next_one(bench):
    """Guards against trials used up by targets that are still down."""
    bench.run_trial()
    bench.flow.on_failed(TargetFailure("connect_failed", False))
    assert (bench.attempts, bench.count(TrialEnded)) == (2, 0)
    assert bench.count(TrialRequest) == 1
    bench.flow.on_failed(LOST)
    assert bench.checks[0][4].trial
    bench.checks[0][-1](False)
    assert bench.count(TrialEnded) == 1


def test_trial_granted_to_a_request_that_has_ended_is_returned(bench):
    """Guards against a trial of nobody."""
    bench.tell(needs_trial=True)
    bench.start()
    bench.flow.on_caller_left()
    bench.sent = [m for m in bench.sent if not isinstance(m, TrialEnded)]
    bench.reply(True)
    assert (bench.attempts, bench.count(TrialEnded)) == (0, 1)


def test_lost_trial_is_kept_until_the_crash_is_known(bench):
    """Guards against the next trial while the crash of this one is not reported."""
    bench.run_trial()
    bench.flow.on_failed(LOST)
    [(target, address, start, _, suspect, callback)] = bench.checks
    assert (target, address, start) == ("e1", "address of e1", 5)
    assert suspect.parts == list(PARTS) and suspect.trial
    assert not bench.count(TrialEnded)
    bench.quarantine.report_crash(target, start, 0, None, [suspect])
    callback(True)
    assert (bench.count(CrashReport), bench.count(TrialEnded)) == (1, 0)


def test_single_lost_connection_ends_the_trial(bench):
    """Guards against a part on trial because one connection was reset."""
    bench.run_trial()
    bench.flow.on_failed(LOST)
    bench.checks[0][-1](False)
    assert bench.count(TrialEnded) == 1


def test_request_is_repeated_after_one_crash_and_not_after_two(bench):
    """Guards against one request that ends one target after the other."""
    bench.start()
    bench.flow.on_failed(LOST)
    assert bench.attempts == 2
    bench.checks[0][-1](True)
    bench.flow.on_failed(LOST)
    assert bench.attempts == 2
    assert bench.failures[0].code == "target_failed"
    assert bench.failures[0].verdict is Verdict.MAY_HAVE_RUN


def test_resets_without_a_crash_do_not_use_up_the_repeats(bench):
    """Guards against requests that fail because connections were reset."""
    bench.start()
    for expected in (2, 3):
        bench.flow.on_failed(LOST)
        bench.checks[-1][-1](False)
        assert bench.attempts == expected


def test_response_past_its_beginning_is_no_suspect(bench):
    """Guards against parts blamed for the crash of an engine that wrote on them."""
    bench.start()
    bench.flow._parts.on_begun()
    bench.flow.on_failed(LOST)
    assert bench.checks == []


def test_repeat_of_a_request_that_ran_is_not_called_unsent(bench):
    """Guards against "not run" for a request that a target has begun."""
    bench.start()
    bench.tell(verdict=QuarantineVerdict(7, ["deadly"], ["team-a"], 3, 60_000, 1, 1))
    bench.flow.on_failed(LOST)
    [failure] = bench.failures
    assert (failure.code, failure.verdict) == ("quarantined", Verdict.MAY_HAVE_RUN)


def test_permit_is_returned_while_a_request_waits_for_a_trial(bench):
    """Guards against a permit that lapses unused."""
    bench.start()
    bench.tell(needs_trial=True)
    permit = object()
    bench.flow._admit_parts(lambda _: None, permit)
    bench.context.permits.give_back.assert_called_once_with(permit)


def test_lost_target_that_was_configured_only_meanwhile_is_replaced(bench):
    """Guards against a request that fails because its target left the configuration."""
    del bench.flow._find_target_address
    targets = [SimpleNamespace(name="e1", address="10.0.0.1:80")]
    configuration = bench.context.contact.configuration
    configuration.find_service.return_value = SimpleNamespace(targets=targets)
    build = bench.flow._build_attempt
    bench.flow._build_attempt = lambda attempt_id, choice: (
        bench.flow._find_target_address(choice.target) and build(attempt_id, choice)
    )
    bench.start()
    configuration.find_service.return_value.targets = [
        SimpleNamespace(name="e2", address="10.0.0.2:80")
    ]
    bench.flow.on_failed(LOST)
    assert bench.checks[0][:2] == ("e1", "10.0.0.1:80")
    assert bench.attempts == 2
