"""Tests of the operator's calls on rollouts, with a state machine as the group."""

import json

import pytest
from expression import Error, Ok

from papayacrank.kernel import Failure, Verdict
from papayacrank.messages import (
    ROLLED_BACK,
    ChangeReleases,
    ConcludeRollout,
    ControlRequest,
    ReadState,
)
from papayacrank.platform._control_api import ControlApi
from papayacrank.state import CommandEntry, StateMachine, check_command, encode_entry

from .builders import encode
from .test_adapter import TIMED_OUT, FakeExchange, FakeGroup

ORDER = {"service": "llm", "to": "v2", "duration_s": 12.5}


class CommittingGroup:
    """Control group that commits each command at once."""

    def __init__(self):
        self.machine = StateMachine()
        self.submit(ChangeReleases("llm", added=["v1"]), lambda outcome: None, 0)

    def submit(self, command, callback, timeout_ms):
        """Run a command as the leader does."""
        if isinstance(command, ReadState):
            callback(Ok(self.machine.read(command.what)))
            return
        failure = check_command(command)
        if failure is None:
            index = self.machine.applied_index + 1
            request = ControlRequest(f"r{index}", "x", 1, command)
            data = encode_entry(CommandEntry(0, 0, request))
            reply = self.machine.apply(index, data)
            failure = reply.failure
        callback(Error(failure.to_failure()) if failure else Ok(reply.result))

    def call(self, method, path, body=None):
        """Return the status and the body of a call of an operator."""
        source = b"" if body is None else encode(body)
        exchange = FakeExchange(method, path, source)
        ControlApi(self.submit).on_exchange(exchange)
        return exchange.status, json.loads(exchange.response_body)

    def start(self, **changed):
        """Return the status of an order."""
        return self.call("POST", "/v1/rollouts/start", ORDER | changed)[0]

    def read(self, service="llm"):
        """Return the status and the body of a read."""
        return self.call("GET", f"/v1/rollouts/{service}/get")


@pytest.fixture
def group():
    """Return a group whose service has one release."""
    return CommittingGroup()


def test_order_is_acknowledged_and_read_back(group):
    """Guards against an order that is refused or lost, and against its repeat."""
    assert group.read()[0] == 404
    assert group.start() == group.start() == 200
    assert group.read() == (200, {"state": "running", "to": "v2"})
    [rollout] = group.machine.rollouts.running
    assert rollout.duration_ms == 12_500
    command = ConcludeRollout(rollout.number, ROLLED_BACK)
    group.submit(command, lambda outcome: None, 0)
    assert group.start() == 200
    assert group.read() == (200, {"state": "rolled_back", "to": "v2"})


def test_racing_and_unknown_orders_are_refused(group):
    """Guards against an order that looks accepted while another one runs."""
    assert group.start() == 200
    assert group.start(to="v3") == 409
    assert group.start(service="other") == 404
    assert group.read("other")[0] == 404


@pytest.mark.parametrize(
    "changed",
    [
        {"service": 1},
        {"to": ""},
        {"to": "v 2"},
        {"duration_s": 0},
        {"duration_s": "12"},
        {"duration_s": True},
        {"duration_s": 1e9},
        {"duration_s": None},
    ],
)
def test_invalid_order_is_refused(group, changed):
    """Guards against a rollout with a guessed service, release or time."""
    assert group.start(**changed) == 400
    assert group.machine.rollouts.list() == []


UNREADABLE = Error(Failure("invalid_command", Verdict.NOT_RUN, "no such part", 400))
NOT_READ_BY_ALL = Error(Failure("format_not_read", Verdict.NOT_RUN, "c2", 503, 500))


@pytest.mark.parametrize("outcome", [TIMED_OUT, UNREADABLE])
def test_read_without_the_newest_state_is_unavailable(outcome):
    """Guards against an old state, and a refusal by a leader of an older build."""
    exchange = FakeExchange("GET", "/v1/rollouts/llm/get")
    ControlApi(FakeGroup(outcome).submit).on_exchange(exchange)
    assert exchange.status == 503


@pytest.mark.parametrize("outcome", [TIMED_OUT, NOT_READ_BY_ALL])
def test_order_that_may_succeed_later_is_not_refused(outcome):
    """Guards against an operator who gives up during an upgrade or an election."""
    exchange = FakeExchange("POST", "/v1/rollouts/start", encode(ORDER))
    ControlApi(FakeGroup(outcome).submit).on_exchange(exchange)
    assert exchange.status == 503
