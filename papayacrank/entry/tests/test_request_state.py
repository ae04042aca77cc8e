"""Tests of the state machine of a request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayacrank.entry._request_state import (
    InvalidTransitionError,
    Phase,
    RecordClosing,
    RequestStateMachine,
)
from papayacrank.kernel import Verdict

EVENTS = (
    "on_queued",
    "on_admitted",
    "on_record_requested",
    "on_record_refused",
    "on_attempt",
    "failed_unsent",
    "failed_sent",
    "on_response_complete",
    "end",
)


class Model:
    """Reference model, independent of the state machine under test."""

    def __init__(self):
        self.sends = 0
        self.may_have_run = False
        self.answered = False
        self.is_attempt_open = False

    def apply(self, event: str) -> None:
        """Apply an event that the state machine accepted."""
        if event == "on_attempt":
            self.sends += 1
            self.is_attempt_open = True
        elif event == "failed_sent":
            self.may_have_run, self.is_attempt_open = True, False
        elif event == "failed_unsent":
            self.sends -= 1
            self.is_attempt_open = False
        elif event == "on_response_complete":
            self.answered, self.is_attempt_open = True, False

    @property
    def verdict(self) -> Verdict:
        """Correct verdict."""
        if self.answered:
            return Verdict.RAN
        if self.may_have_run or self.is_attempt_open:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


def apply(state: RequestStateMachine, event: str) -> None:
    if event == "failed_unsent":
        state.on_attempt_failed(bytes_written=False)
    elif event == "failed_sent":
        state.on_attempt_failed(bytes_written=True)
    else:
        getattr(state, event)()


@given(st.booleans(), st.lists(st.sampled_from(EVENTS), max_size=40))
def test_verdicts_are_true_in_any_order_of_events(idempotent, events):
    """Guards against a wrong verdict, a second run and a wrongly closed record."""
    state, model = RequestStateMachine(idempotent), Model()
    for event in events:
        if state.phase is Phase.ENDED and event != "end":
            with pytest.raises(InvalidTransitionError):
                apply(state, event)
            continue
        try:
            apply(state, event)
        except InvalidTransitionError:
            continue
        model.apply(event)
        assert state.verdict is model.verdict
        assert state.fail("x", "x", 500).verdict is model.verdict
        assert idempotent or model.sends <= 1
        if state.record_closing is RecordClosing.ABANDON:
            assert model.verdict is Verdict.NOT_RUN
        if state.record_closing is RecordClosing.FINISH:
            assert model.answered


def make_sent_action() -> RequestStateMachine:
    state = RequestStateMachine(idempotent=False)
    state.on_queued()
    state.on_admitted()
    state.on_record_requested()
    state.on_attempt()
    return state


def test_action_is_not_sent_without_a_record():
    """Guards against an action that is sent before its record is committed."""
    state = RequestStateMachine(idempotent=False)
    state.on_queued()
    state.on_admitted()
    with pytest.raises(InvalidTransitionError):
        state.on_attempt()


def test_unsent_action_may_be_tried_again_and_is_abandoned():
    """Guards against a record that blocks an action that provably never ran."""
    state = make_sent_action()
    state.on_attempt_failed(bytes_written=False)
    assert state.may_repeat
    assert state.record_closing is RecordClosing.ABANDON


def test_sent_action_is_never_repeated():
    """Guards against running a non-idempotent action twice."""
    state = make_sent_action()
    state.on_attempt_failed(bytes_written=True)
    assert not state.may_repeat
    assert state.record_closing is RecordClosing.UNKNOWN
    with pytest.raises(InvalidTransitionError):
        state.on_attempt()


def test_request_ended_during_an_attempt_may_have_run():
    """Guards against the verdict "not run" for a cancelled attempt."""
    state = make_sent_action()
    state.end()
    assert state.verdict is Verdict.MAY_HAVE_RUN
    assert state.record_closing is RecordClosing.UNKNOWN


def test_refused_record_is_not_closed():
    """Guards against closing a record that belongs to another request."""
    state = RequestStateMachine(idempotent=False)
    state.on_queued()
    state.on_admitted()
    state.on_record_requested()
    state.on_record_refused()
    assert state.record_closing is RecordClosing.NONE
