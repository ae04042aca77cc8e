"""Tests of usage counters, histograms and request records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayacrank.accounting import (
    RequestRecords,
    UsageRecorder,
    decode_histogram,
    merge_usage,
)
from papayacrank.kernel import Failure, Verdict
from papayacrank.messages import UsageDelta

OVER_RATE = Failure("over_rate", Verdict.NOT_RUN, "over the rate", 429)
LOST = Failure("target_lost", Verdict.MAY_HAVE_RUN, "no answer", 502)


def record_requests(recorder, times_ms):
    """Record a served request per time, one refused and one failed request."""
    for ttft_ms in times_ms:
        recorder.on_asked("w")
        recorder.on_served("w", 100, 60, 10, ttft_ms)
    recorder.on_asked("w")
    recorder.on_refused("w", OVER_RATE)
    recorder.on_asked("w")
    recorder.on_failed("w", LOST, prompt_tokens=5)


def test_reports_are_numbered_and_resent_until_confirmed():
    """Guards against usage counted twice or lost after a lost confirmation."""
    recorder = UsageRecorder("i", 7)
    record_requests(recorder, [10])
    first = recorder.close_report(100)
    assert recorder.close_report(100) is None
    record_requests(recorder, [20])
    second = recorder.close_report(101)
    assert [first.sequence, second.sequence] == [1, 2]
    recorder.confirm(1)
    assert recorder.pending == [second]
    delta = first.deltas[0]
    assert (delta.asked, delta.served, delta.refused, delta.failed) == (3, 1, 1, 1)
    assert delta.may_have_run == 1
    assert delta.charged_tokens == 115
    assert delta.refused_by_code == {"over_rate": 1}


def test_usage_is_kept_while_control_is_unreachable():
    """Guards against unbounded pending reports, and against usage lost at the limit."""
    recorder = UsageRecorder("i", 7)
    for _ in range(200):
        record_requests(recorder, [10])
        recorder.close_report(1)
    asked = sum(report.deltas[0].asked for report in recorder.pending)
    assert len(recorder.pending) == 60
    for report in recorder.pending:
        recorder.confirm(report.sequence)
    assert asked + recorder.close_report(2).deltas[0].asked == 600


@given(st.lists(st.integers(0, 10**6), max_size=30), st.integers(0, 30))
def test_merge_equals_recording_together(times_ms, cut):
    """Guards against percentiles that depend on which instance served a request."""
    combined, first, second = (UsageRecorder("i", b) for b in range(3))
    record_requests(combined, times_ms)
    record_requests(first, times_ms[:cut])
    record_requests(second, times_ms[cut:])
    merged = merge_usage(
        first.close_report(1).deltas[0], second.close_report(1).deltas[0]
    )
    expected = combined.close_report(1).deltas[0]
    assert merged.served == expected.served
    assert merged.charged_tokens == expected.charged_tokens + 5
    for percentile in (50, 95, 99):
        assert decode_histogram(merged.ttft_histogram).get_value_at_percentile(
            percentile
        ) == decode_histogram(expected.ttft_histogram).get_value_at_percentile(
            percentile
        )


def test_merge_rejects_different_workspaces():
    """Guards against charging the usage of one workspace to another."""
    with pytest.raises(ValueError, match="cannot be added"):
        merge_usage(UsageDelta("a"), UsageDelta("b"))


def test_records_are_bounded():
    """Guards against unbounded memory for records of requests."""
    records = RequestRecords(max_records=3)
    for number in range(10):
        record = records.open(f"r{number}", "w", "llm", 0)
        for step in range(100):
            record.add_step(step, "chosen")
    assert records.find("r6") is None
    assert len(records.find("r9").steps) == 32
