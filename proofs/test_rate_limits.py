"""Failure tests: targets with a request rate limit get no more from all instances."""

import threading
import time

import pytest

from papayacrank.permits._allocator import PERMIT_LIFETIME_MS
from papayacrank.permits._bucket import RateBucket
from papayacrank.testing import DeploymentSize

pytestmark = pytest.mark.prove

PER_S = 2.0
SETTLING_S = 2.0
CALLERS_PER_ENTRY = 3
NETWORK_S = 0.2


def bound(elapsed_s):
    """Return the number of requests that a limited target may get."""
    span_s = elapsed_s + PERMIT_LIFETIME_MS / 1_000 + NETWORK_S
    return RateBucket(PER_S, 0.0, 0).capacity + PER_S * span_s


class Flood:
    """Threads that send lookups, claims and completions to all entry processes."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._stop = threading.Event()
        self.statuses = []
        self._threads = [
            threading.Thread(target=self._send, args=(address, number))
            for address in deployment.entry_addresses
            for number in range(CALLERS_PER_ENTRY)
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads and return the statuses of their requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.statuses

    def _send(self, address, number):
        deployment, count = self._deployment, 0
        while not self._stop.is_set():
            count += 1
            try:
                if number == 0:
                    prompt = f"{address} {count} " * 20
                    response = deployment.complete(address, "team-a", prompt, 4)
                elif number == 1:
                    key = f"{address}-{count}"
                    response = deployment.claim(address, "team-a", key)
                else:
                    response = deployment.fleet.request(
                        address,
                        "GET",
                        f"/v1/services/shop-app/lookups/{count}",
                        headers=deployment.headers("team-a"),
                    )
                self.statuses.append(response.status)
            except OSError:
                self.statuses.append(0)
            time.sleep(0.05)


def count_requests(deployment):
    """Return the numbers of requests at the limited service and engine."""
    service = len(deployment.fleet.journal("service-1"))
    return service, len(deployment.fleet.stats("engine-1")["requests"])


def limit_targets(deployment, per_s):
    """Let a service and an engine state a limit from now on."""
    for name in ("service-1", "engine-1"):
        deployment.fleet.inject(name, "rate_limit", per_s=per_s)


def measure(deployment, act, duration_s):
    """Return the requests at the limited targets while `act` runs, and the time."""
    before, started = count_requests(deployment), time.monotonic()
    act()
    time.sleep(max(0.0, started + duration_s - time.monotonic()))
    after = count_requests(deployment)
    elapsed_s = time.monotonic() - started
    return [b - a for a, b in zip(before, after, strict=True)], elapsed_s


def test_limited_targets_get_no_more_while_processes_fail(start_deployment):
    """Guards against a limit that each process, or a new one, takes for itself."""
    size = DeploymentSize(engines=2, services=2)
    deployment = start_deployment(size=size)
    fleet = deployment.fleet
    limit_targets(deployment, str(PER_S))
    flood = Flood(deployment)
    flood.start()
    time.sleep(SETTLING_S)

    def fail():
        fleet.kill(deployment.find_leader())
        time.sleep(2)
        fleet.pause("entry-e3")
        time.sleep(1)
        fleet.resume("entry-e3")
        fleet.kill("entry-e2")
        fleet.restart("entry-e2")
        time.sleep(2)

    counts, elapsed_s = measure(deployment, fail, 8.0)
    limit_targets(deployment, "")
    time.sleep(3)
    unlimited, _ = measure(deployment, lambda: None, 2.0)
    statuses = flood.stop()
    print(f"{counts} requests in {elapsed_s:.1f} s, bound {bound(elapsed_s):.1f}")
    assert max(counts) <= bound(elapsed_s)
    assert min(counts) >= 0.3 * PER_S * elapsed_s
    assert min(unlimited) > bound(2.0)
    assert set(statuses) <= {0, 200, 503}


def test_requests_beyond_all_limits_are_refused_at_once(start_deployment):
    """Guards against callers that are held, or told that their request may have run."""
    size = DeploymentSize(engines=1, services=1)
    deployment = start_deployment(size=size)
    limit_targets(deployment, str(PER_S))
    flood = Flood(deployment)
    flood.start()
    time.sleep(SETTLING_S)
    started = time.monotonic()
    refusals = []
    while time.monotonic() < started + 4:
        address = deployment.entry_addresses[0]
        sent = time.monotonic()
        response = deployment.fleet.request(
            address,
            "GET",
            "/v1/services/shop-app/lookups/1",
            headers=deployment.headers("team-a"),
        )
        if response.status == 503:
            refusals.append((time.monotonic() - sent, response))
    flood.stop()
    assert refusals
    for took_s, response in refusals:
        assert took_s < 1.0
        assert response.json()["error"]["code"] == "targets_limited"
        assert int(response.headers["Retry-After"]) >= 1
