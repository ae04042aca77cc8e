"""Tests of the state machine behind all verdicts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayacrank.entry._request_life import (
    LifeError,
    Phase,
    RecordClosing,
    RequestLife,
)
from papayacrank.kernel import Verdict

EVENTS = (
    "on_queued",
    "on_admitted",
    "on_record_requested",
    "on_record_refused",
    "on_attempt",
    "lost_unsent",
    "lost_sent",
    "on_answered",
    "end",
)


class Model:
    """What really happened, kept independently of the state machine."""

    def __init__(self):
        self.sends = 0
        self.may_have_run = False
        self.answered = False
        self.is_open = False

    def apply(self, event: str) -> None:
        """Note an event that was accepted."""
        if event == "on_attempt":
            self.sends += 1
            self.is_open = True
        elif event == "lost_sent":
            self.may_have_run, self.is_open = True, False
        elif event == "lost_unsent":
            self.sends -= 1
            self.is_open = False
        elif event == "on_answered":
            self.answered, self.is_open = True, False

    @property
    def verdict(self) -> Verdict:
        """Verdict that is true."""
        if self.answered:
            return Verdict.RAN
        if self.may_have_run or self.is_open:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


def apply(life: RequestLife, event: str) -> None:
    if event == "lost_unsent":
        life.on_attempt_failed(bytes_written=False)
    elif event == "lost_sent":
        life.on_attempt_failed(bytes_written=True)
    else:
        getattr(life, event)()


@given(st.booleans(), st.lists(st.sampled_from(EVENTS), max_size=40))
def test_verdicts_are_true_in_any_order_of_events(idempotent, events):
    """Guards against a false verdict, a second run and a record left open."""
    life, model = RequestLife(idempotent), Model()
    for event in events:
        if life.phase is Phase.ENDED and event != "end":
            with pytest.raises(LifeError):
                apply(life, event)
            continue
        try:
            apply(life, event)
        except LifeError:
            continue
        model.apply(event)
        assert life.verdict is model.verdict
        assert life.fail("x", "x", 500).verdict is model.verdict
        assert idempotent or model.sends <= 1
        if life.record_closing is RecordClosing.ABANDON:
            assert model.verdict is Verdict.NOT_RUN
        if life.record_closing is RecordClosing.FINISH:
            assert model.answered


def make_sent_action() -> RequestLife:
    life = RequestLife(idempotent=False)
    life.on_queued()
    life.on_admitted()
    life.on_record_requested()
    life.on_attempt()
    return life


def test_action_is_not_sent_without_a_record():
    """Guards against an action that is sent before its record is committed."""
    life = RequestLife(idempotent=False)
    life.on_queued()
    life.on_admitted()
    with pytest.raises(LifeError):
        life.on_attempt()


def test_unsent_action_may_be_tried_again_and_is_abandoned():
    """Guards against a record that blocks an action that provably never ran."""
    life = make_sent_action()
    life.on_attempt_failed(bytes_written=False)
    assert life.may_repeat
    assert life.record_closing is RecordClosing.ABANDON


def test_sent_action_is_never_repeated():
    """Guards against running a non-idempotent action twice."""
    life = make_sent_action()
    life.on_attempt_failed(bytes_written=True)
    assert not life.may_repeat
    assert life.record_closing is RecordClosing.UNKNOWN
    with pytest.raises(LifeError):
        life.on_attempt()


def test_request_cut_while_an_attempt_is_under_way_may_have_run():
    """Guards against calling a cancelled attempt not run."""
    life = make_sent_action()
    life.end()
    assert life.verdict is Verdict.MAY_HAVE_RUN
    assert life.record_closing is RecordClosing.UNKNOWN


def test_refused_record_is_not_closed():
    """Guards against closing the record of another process."""
    life = RequestLife(idempotent=False)
    life.on_queued()
    life.on_admitted()
    life.on_record_requested()
    life.on_record_refused()
    assert life.record_closing is RecordClosing.NONE
