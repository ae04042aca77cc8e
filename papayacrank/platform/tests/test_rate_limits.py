"""Integration tests of the request rate limits that servers state."""

import threading
import time

import pytest

from .fake_platform import IPS, FakePlatform
from .rate_limit_soak import RateLimitSoak

RATE_PER_S = 1.2
# A server gets at most 1.5 times its limit plus 5 requests in any window of 4 s, from
# 3 s after it first stated the limit.
WINDOW_S = 4.0
SETTLING_S = 3.0
REQUESTS_PER_S = 40


def max_in_a_window(times):
    """Return the maximum number of times in any window of `WINDOW_S` seconds."""
    return max(
        (sum(first <= t < first + WINDOW_S for t in times) for first in times),
        default=0,
    )


def send_steadily(platform, path, duration_s, **headers):
    """Send requests to all instances in turn and return the statuses."""
    statuses = []

    def send(ip, count):
        for number in range(count):
            wait_s = started + number * len(IPS) / REQUESTS_PER_S - time.monotonic()
            time.sleep(max(0.0, wait_s))
            request_id = f"{path}-{ip}-{number}"
            statuses.append(platform.request(path, request_id, ip, **headers)[0])

    started = time.monotonic()
    count = int(duration_s * REQUESTS_PER_S / len(IPS))
    threads = [threading.Thread(target=send, args=(ip, count)) for ip in IPS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


@pytest.fixture
def platform(tmp_path):
    """Return a running deployment with a configuration."""
    running = FakePlatform(tmp_path)
    try:
        running.start_serving()
        yield running
    finally:
        running.stop()


def test_instances_together_stay_within_the_stated_rate(platform):
    """Guards against a rate limit that each instance applies for itself, or none."""
    limited, other = platform.plain
    limited.rate_limit = RATE_PER_S
    send_steadily(platform, "/lookup/x", SETTLING_S)
    limited.arrivals.clear()
    statuses = send_steadily(platform, "/lookup/x", WINDOW_S + 1)
    assert max_in_a_window(limited.arrivals) <= 1.5 * RATE_PER_S * WINDOW_S + 5
    assert limited.arrivals
    assert statuses == [200] * len(statuses)


@pytest.mark.prove
@pytest.mark.parametrize("seed", [1, 2])
def test_limit_holds_while_processes_are_killed_and_suspended(tmp_path, seed):
    """Guards against requests beyond a limit after restarts, freezes and elections."""
    assert RateLimitSoak(tmp_path, seed).run() == []
