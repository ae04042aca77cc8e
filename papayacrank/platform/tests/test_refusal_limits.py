"""Integration tests of servers that fall over if they must refuse requests."""

import threading
import time

import pytest

from .fake_platform import IPS, FakePlatform
from .refusal_limited_service import CONTACT_S, SERVICE_S, RefusalLimitedService

SERVERS = 3
# In one time in which they are refusal-limited, servers may fall this often.
MAX_FALLS = 2 + SERVERS / 10
OVERLOAD = 2.0
DURATION_S = 12.0
MIN_USE = 0.5


@pytest.fixture
def platform(tmp_path):
    """Return a running deployment with refusal-limited servers."""
    running = FakePlatform(tmp_path)
    running.refusal_limited = [RefusalLimitedService(f"y-{n}") for n in range(SERVERS)]
    running.cloud.servers = running.refusal_limited
    try:
        running.start_serving()
        yield running
    finally:
        running.stop()
        for server in running.refusal_limited:
            server.close()


def send_for(platform, rate_per_s, duration_s):
    """Send requests to all instances in turn at a steady rate; return the statuses."""
    statuses = []
    started_s = time.monotonic()

    def send(number):
        time.sleep(max(0.0, started_s + number / rate_per_s - time.monotonic()))
        ip = IPS[number % len(IPS)]
        statuses.append(platform.request("/lookup/x", f"r{number}", ip)[0])

    threads = [
        threading.Thread(target=send, args=(number,))
        for number in range(int(rate_per_s * duration_s))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


@pytest.mark.prove
def test_refusal_limited_servers_do_not_fall_over_under_overload(platform):
    """Guards against refusals of all instances together that end their servers."""
    capacity_per_s = sum(s.slots for s in platform.refusal_limited) / SERVICE_S
    for server in platform.refusal_limited:
        server.set_refusal_limited(True)
    statuses = send_for(platform, OVERLOAD * capacity_per_s, DURATION_S)
    falls = [server.falls for server in platform.refusal_limited]
    refusals = [server.refusals for server in platform.refusal_limited]
    served = statuses.count(200)
    print(f"falls {falls}, refusals {refusals}, served {served} of {len(statuses)}")
    assert sum(falls) <= MAX_FALLS
    assert served >= MIN_USE * capacity_per_s * (DURATION_S - CONTACT_S)
    assert set(statuses) <= {200, 503}
