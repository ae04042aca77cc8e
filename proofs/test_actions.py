"""Failure tests: a non-idempotent action runs at most once if an instance is killed."""

import threading
import time

import pytest

from papayacrank.testing import DeploymentSize

from .load import Callers, read_code

pytestmark = pytest.mark.prove

WORK_MS = 400
# From before the intent is durable until after the response is recorded.
KILL_DELAYS_S = (0.0, 0.005, 0.02, 0.1, 0.39, 0.45)
OUTCOME_TIMEOUT_S = 12.0


def send_claim(deployment, address: str, key: str) -> threading.Thread:
    """Send a claim from a new thread and ignore its outcome."""

    def run():
        Callers._attempt(lambda: deployment.claim(address, "team-a", key))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def wait_for_outcome(deployment, key: str):
    """Retry a claim at the other instance until its outcome is known."""

    def repeat():
        response = deployment.claim(deployment.entry_addresses[1], "team-a", key)
        known = response.status == 200 or read_code(response) == "action_unknown"
        return response if known else None

    return deployment.fleet.wait_until(repeat, OUTCOME_TIMEOUT_S, f"outcome of {key}")


def test_claim_runs_at_most_once_when_its_instance_is_killed(start_deployment):
    """Guards against a retry that runs a claim again after its instance was killed.

    The kills cover each step of the claim.
    """
    deployment = start_deployment(
        size=DeploymentSize(entries=2, engines=1),
        service_options={"work_ms": WORK_MS},
    )
    fleet = deployment.fleet
    ran = {}
    for number, delay_s in enumerate(KILL_DELAYS_S):
        key = f"claim-{number}"
        fleet.wait_healthy(deployment.entry_addresses[0])
        thread = send_claim(deployment, deployment.entry_addresses[0], key)
        time.sleep(delay_s)
        fleet.kill("entry-e1")
        thread.join()
        response = wait_for_outcome(deployment, key)
        times = sum(f'"{key}"' in e["body"] for e in fleet.journal("service-1"))
        ran[key] = (response.status, times)
        assert times <= 1, f"{key} ran {times} times"
        if response.status == 200:
            assert times == 1, f"{key} returned 200 but did not run"
        else:
            assert response.json()["error"]["verdict"] == "may-have-run"
        fleet.restart("entry-e1")
    print(ran)
    assert any(status != 200 for status, _ in ran.values())


def test_claim_is_recorded_across_a_leader_change(start_deployment):
    """Guards against a response lost with the leader that was to record it."""
    deployment = start_deployment(
        size=DeploymentSize(entries=2, engines=1),
        service_options={"work_ms": WORK_MS},
    )
    fleet = deployment.fleet
    first, second = deployment.entry_addresses
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(deployment.claim(first, "team-a", "claim-l"))
    )
    thread.start()
    time.sleep(WORK_MS / 2000)
    fleet.kill(deployment.find_leader())
    thread.join()
    assert responses[0].status == 200
    repeat = deployment.claim(second, "team-a", "claim-l")
    assert (repeat.status, repeat.body) == (200, responses[0].body)
    assert len(fleet.journal("service-1")) == 1
