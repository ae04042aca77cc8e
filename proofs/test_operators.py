"""Failure tests: one of two concurrent changes wins; a lost leader is replaced."""

import subprocess
import sys
import time

import pytest

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.messages import FileConfiguration
from papayacrank.testing import DeploymentSize

pytestmark = pytest.mark.prove

RACES = 5
CONFLICT_EXIT_CODE = 3
MAX_RECOVERY_S = 5.0
LEADER_LOSSES = 3


def write_configuration(deployment, name: str, keep_route_ms: int) -> str:
    """Write a configuration file and return its path."""
    questionnaire = deployment.build_questionnaire(keep_route_ms=keep_route_ms)
    path = deployment.fleet.folder / f"{name}.json"
    path.write_text(canonical_json(generate_configuration(questionnaire)))
    return str(path)


def file_concurrently(deployment, version: int, paths: list[str]) -> list:
    """Run one admin process per file concurrently; return the finished processes."""
    addresses = ",".join(deployment.control_addresses)
    command = [sys.executable, "-m", "papayacrank.admin", "--control", addresses]
    running = [
        subprocess.Popen(
            [*command, "--operator", f"operator-{number}", "file", str(version), path],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for number, path in enumerate(paths)
    ]
    for process in running:
        process.output_ = "".join(process.communicate(timeout=30))
    return running


def test_racing_operators_get_one_winner_and_see_its_change(start_deployment):
    """Guards against two concurrent changes that are both reported as accepted."""
    deployment = start_deployment(size=DeploymentSize(entries=1, engines=1))
    version = deployment.version_
    for race in range(RACES):
        paths = [
            write_configuration(deployment, f"race-{race}-{n}", 1_000 + 10 * race + n)
            for n in range(2)
        ]
        results = file_concurrently(deployment, version, paths)
        codes = sorted(process.returncode for process in results)
        assert codes == [0, CONFLICT_EXIT_CODE], [p.output_ for p in results]
        winner = next(n for n, p in enumerate(results) if p.returncode == 0)
        loser = results[1 - winner]
        assert f"operator-{winner}" in loser.output_, loser.output_
        version += 1
        filed = deployment.read_state("configuration")
        assert filed["version"] == version
        assert f'"keep_route_ms":{1_000 + 10 * race + winner}' in filed["document"]


def test_changes_go_on_soon_after_the_loss_of_a_leader(start_deployment):
    """Guards against a slow election and a lost command outcome after a leader loss."""
    deployment = start_deployment(size=DeploymentSize(entries=1, engines=1))
    fleet = deployment.fleet
    times = []
    for loss in range(LEADER_LOSSES):
        leader = deployment.find_leader()
        document = canonical_json(
            generate_configuration(
                deployment.build_questionnaire(keep_route_ms=2_000 + loss)
            )
        )
        fleet.kill(leader)
        killed = time.monotonic()
        command = FileConfiguration(deployment.version_, document, "operator")
        first = deployment.run_command(command, request_id=f"change-{loss}")
        times.append(time.monotonic() - killed)
        again = deployment.run_command(command, request_id=f"change-{loss}")
        assert again == first
        deployment.version_ = first.version
        fleet.restart(leader)
        time.sleep(2.0)
    print(f"seconds from the kill to the next change: {times}")
    assert max(times) < MAX_RECOVERY_S
