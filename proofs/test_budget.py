"""Failure test: a workspace stays within its rate and burst over all instances."""

import threading
import time

import pytest

pytestmark = pytest.mark.prove

RATE_TOKENS_PER_S = 1_500
BURST_TOKENS = 6_000
DURATION_S = 10.0
CALLERS_PER_ENTRY = 4


def count_tokens(deployment) -> int:
    """Return the prompt tokens received and output tokens sent by all engines."""
    total = 0
    for number in range(1, deployment.size.engines + 1):
        for record in deployment.fleet.stats(f"engine-{number}")["requests"]:
            total += record["prompt_tokens"] + record["tokens_sent"]
    return total


def send_until_stopped(
    deployment, address: str, stop: threading.Event, statuses: list
) -> None:
    """Send completions back to back until `stop` is set; collect the statuses."""
    number = 0
    while not stop.is_set():
        number += 1
        prompt = f"request {number} " * 20
        response = deployment.complete(address, "team-a", prompt, 20)
        statuses.append(response.status)


def test_flood_through_all_instances_stays_within_the_budget(start_deployment):
    """Guards against each instance granting the full rate, also at a leader change."""
    limits = {"tokens_per_second": RATE_TOKENS_PER_S, "burst_tokens": BURST_TOKENS}
    workspace = {"name": "team-a", "uses": ["sample-llm"]} | limits
    deployment = start_deployment({"workspaces": [workspace]})
    stop, statuses = threading.Event(), []
    started = time.monotonic()
    threads = [
        threading.Thread(
            target=send_until_stopped, args=(deployment, address, stop, statuses)
        )
        for address in deployment.entry_addresses
        for _ in range(CALLERS_PER_ENTRY)
    ]
    for thread in threads:
        thread.start()
    time.sleep(DURATION_S / 2)
    deployment.fleet.kill(deployment.find_leader())
    time.sleep(DURATION_S / 2)
    stop.set()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    tokens = count_tokens(deployment)
    bound = BURST_TOKENS + RATE_TOKENS_PER_S * elapsed
    print(f"{tokens} tokens in {elapsed:.1f} s, bound {bound:.0f}")
    assert tokens <= bound
    assert tokens >= 0.5 * bound
    assert statuses.count(429) > 0
    assert set(statuses) <= {200, 429, 503}
