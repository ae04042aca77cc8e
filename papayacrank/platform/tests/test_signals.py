"""Tests of the headers with which servers say that they leave or want a pause."""

from email.utils import formatdate
from time import time

import pytest

from papayacrank.control import HttpResult, TargetSignals
from papayacrank.platform._caller_protocol import PlatformCallerProtocol
from papayacrank.platform._signals import read_pause_ms
from papayacrank.platform._target_protocol import PlatformTargetProtocol


@pytest.mark.parametrize(
    ("values", "pause_ms"),
    [
        (["2"], 2_000),
        ([" 0.25 "], 250),
        ([".5"], 500),
        (["999999999"], 999_999_999_000),
        (["1", "3", "2"], 3_000),
        (["1, 4"], 4_000),
        (["1e9"], None),
        (["-3"], None),
        (["inf"], None),
        (["nan"], None),
        (["soon"], None),
        ([""], None),
        (["9" * 400], None),
        (["-3", "2"], 2_000),
        ([formatdate(0, usegmt=True)], 0),
        ([], None),
    ],
)
def test_pause_is_read_from_any_text(values, pause_ms):
    """Guards against a header that stops a process or shuts a server out for ever."""
    headers = [("retry-after", value) for value in values]
    assert read_pause_ms(503, headers) == pause_ms


def test_pause_until_a_date():
    """Guards against a date that is taken for no pause."""
    headers = [("retry-after", formatdate(time() + 30, usegmt=True))]
    assert 25_000 <= read_pause_ms(503, headers) <= 31_000


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_a_pause(status):
    """Guards against a pause that no server has asked for."""
    assert read_pause_ms(status, [("retry-after", "2")]) is None


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_every_answer_may_say_that_its_server_leaves(status):
    """Guards against requests to a server that has said that it leaves."""
    headers = [(b"server-leaving", b"1"), (b"retry-after", b"1.5")]
    facts = PlatformCallerProtocol().read_response(status, headers)
    assert facts.is_leaving
    assert facts.pause_ms == (1_500 if status == 503 else None)


@pytest.mark.parametrize("value", [b"0", b"", b"no"])
def test_other_values_do_not_say_that_a_server_leaves(value):
    """Guards against a sound server that is shut out."""
    facts = PlatformCallerProtocol().read_response(200, [(b"server-leaving", value)])
    assert not facts.is_leaving


def test_answers_to_status_readings_and_orders_carry_the_same_signals():
    """Guards against orders to a server that leaves or wants a pause."""
    headers = (("server-leaving", "1"), ("retry-after", "2"))
    result = HttpResult("rollout-order e1", 503, headers=headers)
    protocol = PlatformTargetProtocol("10.0.0.1:1")
    assert protocol.read_signals(result) == TargetSignals(True, 2_000)


def test_store_that_says_it_leaves_counts_as_not_answering():
    """Guards against prompts that are fetched from a store that goes away."""
    body = b'{"boot_epoch": 4, "next": 1, "lost": false, "events": []}'
    protocol = PlatformTargetProtocol("10.0.0.1:1")
    leaving = HttpResult("store-check s", 200, body, headers=(("server-leaving", "1"),))
    assert protocol.read_store_check(HttpResult("store-check s", 200, body)) == 4
    assert isinstance(protocol.read_store_check(leaving), str)
