"""Proof: a non-idempotent action runs at most once, across kills at every step."""

import threading
import time

import pytest

from papayacrank.testing import DeploymentSize

from .load import Callers, read_code

pytestmark = pytest.mark.prove

WORK_MS = 400
# From before the intent is durable until after the answer is recorded.
KILL_AFTER_S = (0.0, 0.005, 0.02, 0.1, 0.39, 0.45)
LEASE_TIMEOUT_S = 12.0


def send_claim(deployment, address: str, key: str) -> threading.Thread:
    """Send a claim from a thread, whose outcome does not matter."""

    def run():
        Callers._attempt(lambda: deployment.claim(address, "team-a", key))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def final_answer(deployment, key: str):
    """Repeat a claim at the other instance until its outcome is known."""

    def repeat():
        answer = deployment.claim(deployment.entry_addresses[1], "team-a", key)
        known = answer.status == 200 or read_code(answer) == "action_unknown"
        return answer if known else None

    return deployment.fleet.wait_until(repeat, LEASE_TIMEOUT_S, f"outcome of {key}")


def test_claim_runs_at_most_once_when_its_instance_is_killed(start_deployment):
    """Guards against a repeat that runs a claim again after a kill at any step."""
    deployment = start_deployment(
        size=DeploymentSize(entries=2, engines=1),
        service_options={"work_ms": WORK_MS},
    )
    fleet = deployment.fleet
    ran = {}
    for number, delay_s in enumerate(KILL_AFTER_S):
        key = f"claim-{number}"
        fleet.wait_healthy(deployment.entry_addresses[0])
        thread = send_claim(deployment, deployment.entry_addresses[0], key)
        time.sleep(delay_s)
        fleet.kill("entry-e1")
        thread.join()
        answer = final_answer(deployment, key)
        times = sum(f'"{key}"' in e["body"] for e in fleet.journal("service-1"))
        ran[key] = (answer.status, times)
        assert times <= 1, f"{key} ran {times} times"
        if answer.status == 200:
            assert times == 1, f"{key} was answered but did not run"
        else:
            assert answer.json()["error"]["verdict"] == "may-have-run"
        fleet.restart("entry-e1")
    print(ran)
    assert any(status != 200 for status, _ in ran.values())


def test_claim_is_recorded_across_a_leader_change(start_deployment):
    """Guards against an answer that is lost with the leader that should record it."""
    deployment = start_deployment(
        size=DeploymentSize(entries=2, engines=1),
        service_options={"work_ms": WORK_MS},
    )
    fleet = deployment.fleet
    first, second = deployment.entry_addresses
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(deployment.claim(first, "team-a", "claim-l"))
    )
    thread.start()
    time.sleep(WORK_MS / 2000)
    fleet.kill(deployment.find_leader())
    thread.join()
    assert answers[0].status == 200
    repeat = deployment.claim(second, "team-a", "claim-l")
    assert (repeat.status, repeat.body) == (200, answers[0].body)
    assert len(fleet.journal("service-1")) == 1
