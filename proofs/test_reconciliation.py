"""Proof: the report agrees with what callers and targets saw, also after kills."""

import time

import pytest

from papayacrank.testing import DeploymentSize, Direction

from .load import Callers, check_claims

pytestmark = pytest.mark.prove

LOAD_S = 8.0
USAGE_REPORT_S = 2.0
SETTLE_TIMEOUT_S = 15.0


def served_by_usage(deployment) -> dict[str, int]:
    """Return the served requests of each workspace in the usage totals."""
    totals: dict[str, int] = {}
    for row in deployment.read_state("usage"):
        totals[row["workspace"]] = totals.get(row["workspace"], 0) + row["served"]
    return totals


def seen_by_callers(callers: Callers) -> dict[str, int]:
    """Return the whole answers of each workspace, completions and claims."""
    seen = {name: item.whole for name, item in callers.completions_.items()}
    ran = sum(outcome == "ran" for outcome in callers.claims_.values())
    seen["team-a"] += ran
    return seen


def finished_by_engines(deployment) -> int:
    """Return the number of requests that the engines finished."""
    return sum(
        record["finished"]
        for number in range(1, deployment.size.engines + 1)
        for record in deployment.fleet.stats(f"engine-{number}")["requests"]
    )


def test_without_faults_all_three_agree_to_the_request(start_deployment):
    """Guards against usage that is lost or counted twice."""
    deployment = start_deployment()
    callers = Callers(deployment, seed=11).start()
    time.sleep(LOAD_S)
    callers.stop()
    seen = seen_by_callers(callers)
    deployment.fleet.wait_until(
        lambda: served_by_usage(deployment) == seen,
        SETTLE_TIMEOUT_S,
        f"usage {served_by_usage(deployment)} equals {seen}",
    )
    whole = sum(item.whole for item in callers.completions_.values())
    assert finished_by_engines(deployment) == whole
    assert check_claims(callers)["may-have-run"] == 0


def test_lost_answers_count_no_report_twice(start_deployment):
    """Guards against a usage report that is booked again when it is sent again."""
    deployment = start_deployment(
        size=DeploymentSize(entries=2, engines=2), relayed_entries=2
    )
    callers = Callers(deployment, seed=13).start()
    relays = [relay for name in ("e1", "e2") for relay in deployment.relays_[name]]
    for _ in range(3):
        time.sleep(1.0)
        for relay in relays:
            relay.freeze((Direction.TO_CLIENT,))
        time.sleep(1.5)
        for relay in relays:
            relay.restore()
    callers.stop()
    seen = seen_by_callers(callers)
    deployment.fleet.wait_until(
        lambda: served_by_usage(deployment) == seen,
        SETTLE_TIMEOUT_S,
        f"usage {served_by_usage(deployment)} equals {seen}",
    )


def test_kills_lose_at_most_the_last_report_of_the_killed(start_deployment):
    """Guards against figures that lose more than the stated bound, or count twice."""
    deployment = start_deployment(size=DeploymentSize(engines=4))
    fleet = deployment.fleet
    callers = Callers(deployment, seed=12).start()
    started = time.monotonic()
    time.sleep(LOAD_S / 2)
    fleet.kill("entry-e1")
    fleet.kill(deployment.find_leader())
    time.sleep(LOAD_S / 2)
    fleet.restart("entry-e1")
    callers.stop()
    elapsed = time.monotonic() - started
    seen = sum(seen_by_callers(callers).values())
    # All three instances serve alike, so one report interval of one of them is a
    # third of what was served in that time; twice that allows for uneven load.
    bound = 2 * seen / elapsed * USAGE_REPORT_S / 3
    time.sleep(2 * USAGE_REPORT_S)
    booked = sum(served_by_usage(deployment).values())
    print(f"callers saw {seen}, usage has {booked}, bound {bound:.0f}")
    assert seen - bound <= booked <= seen
    check_claims(callers)
