"""Tests of requests to plain services, and of actions, that crash their targets."""

from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest
from expression import Ok

from papayacrank.entry._action_flow import ActionFlow
from papayacrank.entry._service_flow import ServiceFlow
from papayacrank.kernel import ManualClock, Verdict
from papayacrank.messages import ActionRecord, QuarantineTable, QuarantineVerdict
from papayacrank.quarantine import QuarantineClient, QuarantinePort, name_request
from papayacrank.routing import Choice
from papayacrank.targets import TargetFailure

NAME = name_request("team-a", "POST", "/claims?x=1", b"body")
LOST = TargetFailure("connection_lost", True, "reset")


class Bench:
    """One flow with a real quarantine port and scripted targets."""

    def __init__(self, is_action):
        self.clock = ManualClock()
        self.failures = []
        self.losses = []
        self.port = QuarantinePort(
            QuarantineClient("i1@1"), lambda _: True, self.clock, MagicMock()
        )
        context = MagicMock()
        context.clock = self.clock
        context.quarantine = self.port
        context.permits.client.rate_of.return_value = None
        context.plain_admission.submit.return_value = Ok(None)
        context.contact.has_contact.return_value = True
        context.router.choose.side_effect = lambda *_: Ok(
            Choice("p1", 0, 0.0, None, "only")
        )
        context.router.index.incarnation.return_value = 5
        context.flows.call = lambda flow, method, *args: getattr(flow, method)(*args)
        context.crash_checks.on_lost = lambda *loss: self.losses.append(loss)
        self.context = context
        exchange = MagicMock()
        exchange.request_id = exchange.public_id = "r1"
        exchange.extra_headers = []
        exchange.request.method = "POST"
        exchange.request.body = b"body"
        exchange.request.headers = {}
        exchange.respond_failure = self.failures.append
        arguments = (
            context,
            exchange,
            SimpleNamespace(workspace="team-a"),
            SimpleNamespace(name="shop", targets=()),
            "/claims?x=1",
        )
        self.flow = (
            ActionFlow(*arguments, "key-1") if is_action else ServiceFlow(*arguments)
        )
        self.flow._find_target_address = lambda target: f"address of {target}"
        self.is_action = is_action

    def start(self):
        """Send the request, for an action once its record is committed."""
        self.flow.begin()
        self.flow.on_admitted()
        if self.is_action:
            record = MagicMock(spec=ActionRecord, started_now=True)
            self.flow.on_begin_result(Ok(record))

    def quarantine(self):
        """Put the request into quarantine."""
        verdict = QuarantineVerdict(9, [NAME], ["team-a"], 3, 60_000, 1, 1)
        self.port.receive(QuarantineTable(1, 0, 1, [], [verdict]))

    @property
    def attempts(self):
        """Number of attempts sent to targets."""
        return self.context.targets.submit.call_count


@pytest.mark.parametrize("is_action", [False, True])
def test_crash_under_a_request_without_a_prompt_is_reported(is_action):
    """Guards against requests to plain services that crash target after target."""
    bench = Bench(is_action)
    bench.start()
    bench.flow.on_failed(LOST)
    _, _, start, _, suspect, _ = bench.losses[0]
    assert (start, suspect.workspace, suspect.parts) == (5, "team-a", [NAME])


@pytest.mark.parametrize("is_action", [False, True])
def test_quarantined_request_without_a_prompt_is_not_run(is_action):
    """Guards against a verdict that plain services and actions do not heed."""
    bench = Bench(is_action)
    bench.quarantine()
    bench.start()
    assert bench.attempts == 0
    (failure,) = bench.failures
    assert (failure.code, failure.verdict) == ("quarantined", Verdict.NOT_RUN)


def test_request_to_a_service_takes_part_in_two_crashes_at_most():
    """Guards against a request that takes down one target for each attempt."""
    bench = Bench(is_action=False)
    bench.start()
    bench.flow.on_failed(LOST)
    bench.flow.on_failed(LOST)
    assert bench.attempts == 2
    assert bench.failures[0].verdict is Verdict.MAY_HAVE_RUN


def test_action_without_a_caller_is_not_sent_after_its_trial():
    """Guards against actions that run although their caller was told otherwise."""
    bench = Bench(is_action=True)
    bench.flow._is_detached = True
    bench.flow.on_trial_decision(SimpleNamespace(trial=0))
    assert bench.attempts == 0
    assert bench.flow.ended
