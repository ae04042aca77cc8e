"""Tests of the headers by which targets announce departure, a pause or a rate limit."""

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
def test_retry_after_values_are_parsed(values, pause_ms):
    """Guards against a header that stops a process or excludes a target forever."""
    headers = [("retry-after", value) for value in values]
    assert read_pause_ms(503, headers) == pause_ms


def test_retry_after_date_is_parsed():
    """Guards against a date that is ignored."""
    headers = [("retry-after", formatdate(time() + 30, usegmt=True))]
    assert 25_000 <= read_pause_ms(503, headers) <= 31_000


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_a_pause(status):
    """Guards against a pause that no target requested."""
    assert read_pause_ms(status, [("retry-after", "2")]) is None


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_leaving_header_is_read_with_any_status(status):
    """Guards against requests to a target that announced that it is leaving."""
    headers = [(b"server-leaving", b"1"), (b"retry-after", b"1.5")]
    facts = PlatformCallerProtocol().read_response(status, headers)
    assert facts.is_leaving
    assert facts.pause_ms == (1_500 if status == 503 else None)


@pytest.mark.parametrize("value", [b"0", b"", b"no"])
def test_other_values_of_the_leaving_header_are_ignored(value):
    """Guards against the exclusion of a healthy target."""
    facts = PlatformCallerProtocol().read_response(200, [(b"server-leaving", value)])
    assert not facts.is_leaving


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
def test_rate_limit_is_read_with_any_status(status):
    """Guards against a rate limit that is known to no process."""
    headers = [(b"server-limit", b"1.2"), (b"server-limit", b"x")]
    assert PlatformCallerProtocol().read_response(status, headers).rate.per_s == 1.2
    assert PlatformCallerProtocol().read_response(status, []).rate is None
    pairs = tuple((n.decode(), v.decode()) for n, v in headers)
    result = HttpResult("rollout-status e1", status, headers=pairs)
    assert PlatformTargetProtocol("10.0.0.1:1").read_signals(result).rate.per_s == 1.2


@pytest.mark.parametrize(
    ("values", "limit"),
    [([], None), ([b"5"], 5.0), ([b"7", b"2.5"], 2.5), ([b"many"], 0.0)],
)
@pytest.mark.parametrize("status", [200, 503])
def test_refusal_limit_is_read_with_any_status(status, values, limit):
    """Guards against servers that fall over since no process reads their warning."""
    headers = [(b"server-brittle", value) for value in values]
    facts = PlatformCallerProtocol().read_response(status, headers)
    assert facts.refusal_limit == limit


def test_signals_are_read_from_responses_to_orders():
    """Guards against orders to a target that is leaving or requested a pause."""
    headers = (("server-leaving", "1"), ("retry-after", "2"))
    result = HttpResult("rollout-order e1", 503, headers=headers)
    protocol = PlatformTargetProtocol("10.0.0.1:1")
    assert protocol.read_signals(result) == TargetSignals(True, 2_000)


def test_leaving_store_counts_as_unavailable():
    """Guards against fetching prompts from a store that is shutting down."""
    body = b'{"boot_epoch": 4, "next": 1, "lost": false, "events": []}'
    protocol = PlatformTargetProtocol("10.0.0.1:1")
    leaving = HttpResult("store-check s", 200, body, headers=(("server-leaving", "1"),))
    assert protocol.read_store_check(HttpResult("store-check s", 200, body)) == 4
    assert isinstance(protocol.read_store_check(leaving), str)
