"""Failure tests: state survives lost data folders, repeated losses and restarts."""

import shutil
import time

import pytest

from papayacrank.testing import DeploymentError, DeploymentSize

pytestmark = pytest.mark.prove

VOTER_SILENCE_MS = 1_500
REPAIR_TIMEOUT_S = 25.0
CHANGES = 120


def list_voters(deployment) -> set[str]:
    """Return the names of the voters, or an empty set while there is no leader."""
    try:
        members = deployment.read_state("members")
    except DeploymentError:
        return set()
    return {member["name"] for member in members if member["role"] == "voter"}


def test_second_loss_right_after_a_repair_loses_nothing(start_deployment):
    """Guards against a replacement that votes before it has the complete log."""
    deployment = start_deployment(
        size=DeploymentSize(spare_controls=1, entries=1, engines=1),
        control_overrides={"voter_silence_ms": VOTER_SILENCE_MS},
    )
    fleet = deployment.fleet
    for number in range(20):
        deployment.grant_key("team-a" if number % 2 else "team-b")
    keys = {key["key_id"] for key in deployment.read_state("keys")}
    first = deployment.find_leader()
    fleet.kill(first)
    shutil.rmtree(fleet.data_folder(first.removeprefix("control-")))
    expected = {"c1", "c2", "c3", "c4"} - {first.removeprefix("control-")}
    fleet.wait_until(
        lambda: list_voters(deployment) == expected, REPAIR_TIMEOUT_S, "replacement"
    )
    second = deployment.find_leader()
    fleet.kill(second)
    found = {key["key_id"] for key in deployment.read_state("keys")}
    assert found == keys
    assert deployment.read_state("configuration")["version"] == deployment.version_
    fleet.restart(first)
    fleet.wait_until(
        lambda: first.removeprefix("control-") in list_voters(deployment),
        REPAIR_TIMEOUT_S,
        "the instance with the lost folder is a voter again",
    )
    assert {key["key_id"] for key in deployment.read_state("keys")} == keys


def test_restart_of_everything_keeps_the_last_configuration(start_deployment):
    """Guards against an older configuration in force after snapshots and restarts."""
    deployment = start_deployment(
        size=DeploymentSize(entries=3, engines=1),
        control_overrides={"snapshot_every_entries": 50},
    )
    fleet = deployment.fleet
    for number in range(CHANGES):
        deployment.file_configuration(keep_route_ms=1_000 + number)
    for name in sorted(fleet.processes):
        if name.startswith(("control-", "entry-")):
            fleet.kill(name)
    for name in sorted(fleet.processes):
        if name.startswith(("control-", "entry-")):
            fleet.restart(name)
    restarted = time.monotonic()
    for address in deployment.entry_addresses:
        fleet.wait_healthy(address)
        route = fleet.request(address, "GET", "/v1/route").json()
        assert route["keep_ms"] == 1_000 + CHANGES - 1
    print(f"all instances serve {time.monotonic() - restarted:.1f} s after the restart")
    assert deployment.read_state("configuration")["version"] == CHANGES + 1


def test_restarted_entry_serves_with_a_warm_index(start_deployment):
    """Guards against an entry process that serves with an empty index after a restart.

    The process must know the engines' cached blocks before it serves.
    """
    deployment = start_deployment(size=DeploymentSize(entries=2, engines=3))
    fleet = deployment.fleet
    prompts = [f"catalogue {number} " * 3_000 for number in range(6)]
    first, second = deployment.entry_addresses
    for prompt in prompts:
        assert deployment.complete(first, "team-a", prompt, 2).status == 200
    fleet.kill("entry-e2")
    fleet.restart("entry-e2")
    fleet.wait_healthy(second)
    hits = 0
    for prompt in prompts:
        response = deployment.complete(second, "team-a", prompt, 2)
        assert response.status == 200
        details = response.json()["usage"]["prompt_tokens_details"]
        hits += details["cached_tokens"] > 0
    assert hits == len(prompts)
