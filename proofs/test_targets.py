"""Failure tests: leaving targets get no new requests; cached state is not stale."""

import threading
import time

import pytest

from papayacrank.testing import DeploymentSize, StandInPlatform

pytestmark = pytest.mark.prove

MAX_LEAVING_DELAY_S = 3.0
OBSERVATION_S = 2.0


@pytest.fixture
def platform():
    """Return a stand-in platform that publishes a list of targets."""
    stand_in = StandInPlatform()
    yield stand_in
    stand_in.close()


def send_for(deployment, seconds: float, statuses: list[int]) -> None:
    """Send completions through all instances for a number of seconds."""

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
    """Guards against requests sent to a target after it was announced as leaving."""
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
    send_for(deployment, MAX_LEAVING_DELAY_S, statuses)
    before = count_requests(deployment, "engine-1")
    send_for(deployment, OBSERVATION_S, statuses)
    assert count_requests(deployment, "engine-1") == before
    assert set(statuses) == {200}


def test_workspaces_share_no_cache_entries(start_deployment):
    """Guards against a cache hit on the blocks of another workspace."""
    deployment = start_deployment(size=DeploymentSize(engines=1))
    address = deployment.entry_addresses[0]
    prompt = "catalogue " * 6_000
    cached = {}
    for workspace in ("team-a", "team-b", "team-a"):
        response = deployment.complete(address, workspace, prompt, 2)
        details = response.json()["usage"]["prompt_tokens_details"]
        cached.setdefault(workspace, []).append(details["cached_tokens"])
    assert cached["team-b"] == [0]
    assert cached["team-a"][0] == 0
    assert cached["team-a"][1] > 0


def test_engine_that_came_back_empty_is_known_to_be_empty(start_deployment):
    """Guards against routing by cache entries that an engine lost in a restart."""
    deployment = start_deployment(size=DeploymentSize(engines=2, entries=1))
    fleet = deployment.fleet
    address = deployment.entry_addresses[0]
    prompt = "catalogue " * 6_000
    assert deployment.complete(address, "team-a", prompt, 2).status == 200
    warm = max((1, 2), key=lambda n: count_requests(deployment, f"engine-{n}"))
    fleet.kill(f"engine-{warm}")
    fleet.restart(f"engine-{warm}")
    time.sleep(2.0)
    response = deployment.complete(address, "team-a", prompt, 2)
    assert response.status == 200
    request_id = {k.lower(): v for k, v in response.headers.items()}["x-request-id"]
    explanation = fleet.request(
        address,
        "GET",
        f"/v1/explain/{request_id}",
        headers=deployment.headers("team-a"),
    )
    steps = " ".join(step["step"] for step in explanation.json()["steps"])
    assert " 0 blocks cached" in steps, steps
