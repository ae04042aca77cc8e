"""Tests of the retry times of refused requests."""

import random

from papayacrank.permits import RetrySpread
from papayacrank.permits._spread import MAX_RETRY_AFTER_MS


def retry_times(count, per_s, instances=4, free_in_ms=250):
    """Return the retry times of requests that are refused together."""
    spread = RetrySpread(random.Random(1))
    return [
        spread.retry_after_ms("s", free_in_ms, per_s, instances, 0)
        for _ in range(count)
    ]


def test_refused_callers_return_at_the_rate_of_the_targets():
    """Guards against callers that come back together and are refused again."""
    times = retry_times(8, 8.0)
    assert min(times) >= 250
    for at_ms in range(0, 8_000, 1_000):
        assert sum(at_ms <= t < at_ms + 1_000 for t in times) <= 4


def test_retry_times_are_bounded():
    """Guards against callers that are sent away for minutes."""
    assert max(retry_times(500, 0.0)) <= 2 * MAX_RETRY_AFTER_MS
    assert max(retry_times(500, 1.0)) <= 2 * MAX_RETRY_AFTER_MS


def test_first_caller_returns_when_a_permit_is_free():
    """Guards against a target that idles because callers return too late."""
    assert retry_times(1, 100.0)[0] <= 350
