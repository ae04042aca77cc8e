"""Proof: leaving targets get no new work, and no answer comes from a stale cache."""

import threading
import time

import pytest

from papayacrank.testing import DeploymentSize, StandInPlatform

pytestmark = pytest.mark.prove

LEAVING_BOUND_S = 3.0
OBSERVATION_S = 2.0


@pytest.fixture
def platform():
    """Publish a list of targets."""
    stand_in = StandInPlatform()
    yield stand_in
    stand_in.close()


def send_for(deployment, seconds: float, statuses: list[int]) -> None:
    """Send completions through all instances for some time."""

    def run(address: str) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            prompt = f"{address} {time.monotonic()}"
            statuses.append(deployment.complete(address, "team-a", prompt, 2).status)

    threads = [
        threading.Thread(target=run, args=(address,))
        for address in deployment.entry_addresses
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def count_requests(deployment, engine: str) -> int:
    """Return the number of requests that an engine has received."""
    return len(deployment.fleet.stats(engine)["requests"])


def test_leaving_target_gets_no_new_work(start_deployment, platform):
    """Guards against work sent to a target after its announced departure."""
    for number in (1, 2, 3):
        platform.set_state(f"sample-llm-{number}", "live")
    deployment = start_deployment(
        size=DeploymentSize(engines=3),
        control_overrides={"platform_list_url": platform.url},
    )
    statuses: list[int] = []
    send_for(deployment, OBSERVATION_S, statuses)
    assert count_requests(deployment, "engine-1") > 0
    platform.set_state("sample-llm-1", "leaving")
    send_for(deployment, LEAVING_BOUND_S, statuses)
    before = count_requests(deployment, "engine-1")
    send_for(deployment, OBSERVATION_S, statuses)
    assert count_requests(deployment, "engine-1") == before
    assert set(statuses) == {200}


def test_workspaces_share_no_cache_entries(start_deployment):
    """Guards against a cache hit on another workspace's blocks."""
    deployment = start_deployment(size=DeploymentSize(engines=1))
    address = deployment.entry_addresses[0]
    prompt = "catalogue " * 6_000
    cached = {}
    for workspace in ("team-a", "team-b", "team-a"):
        answer = deployment.complete(address, workspace, prompt, 2)
        details = answer.json()["usage"]["prompt_tokens_details"]
        cached.setdefault(workspace, []).append(details["cached_tokens"])
    assert cached["team-b"] == [0]
    assert cached["team-a"][0] == 0
    assert cached["team-a"][1] > 0


def test_engine_that_came_back_empty_is_known_to_be_empty(start_deployment):
    """Guards against routing to cache entries of a dead engine."""
    deployment = start_deployment(size=DeploymentSize(engines=2, entries=1))
    fleet = deployment.fleet
    address = deployment.entry_addresses[0]
    prompt = "catalogue " * 6_000
    assert deployment.complete(address, "team-a", prompt, 2).status == 200
    warm = max((1, 2), key=lambda n: count_requests(deployment, f"engine-{n}"))
    fleet.kill(f"engine-{warm}")
    fleet.restart(f"engine-{warm}")
    time.sleep(2.0)
    answer = deployment.complete(address, "team-a", prompt, 2)
    assert answer.status == 200
    request_id = {k.lower(): v for k, v in answer.headers.items()}["x-request-id"]
    explained = fleet.request(
        address,
        "GET",
        f"/v1/explain/{request_id}",
        headers=deployment.headers("team-a"),
    )
    steps = " ".join(step["step"] for step in explained.json()["steps"])
    assert " 0 blocks cached" in steps, steps
