"""Failure tests: usage totals match callers' and targets' counts, also after kills."""

import time

import pytest

from papayacrank.testing import DeploymentSize, Direction

from .load import Callers, check_claims

pytestmark = pytest.mark.prove

LOAD_S = 8.0
USAGE_REPORT_S = 2.0
SETTLE_TIMEOUT_S = 15.0


def count_served_in_usage(deployment) -> dict[str, int]:
    """Return the number of served requests per workspace in the usage totals."""
    totals: dict[str, int] = {}
    for row in deployment.read_state("usage"):
        totals[row["workspace"]] = totals.get(row["workspace"], 0) + row["served"]
    return totals


def count_seen_by_callers(callers: Callers) -> dict[str, int]:
    """Return the number of complete responses per workspace, claims included."""
    seen = {name: item.complete for name, item in callers.completions_.items()}
    ran = sum(outcome == "ran" for outcome in callers.claims_.values())
    seen["team-a"] += ran
    return seen


def count_finished_by_engines(deployment) -> int:
    """Return the number of requests that the engines finished."""
    return sum(
        record["finished"]
        for number in range(1, deployment.size.engines + 1)
        for record in deployment.fleet.stats(f"engine-{number}")["requests"]
    )


def test_without_faults_all_three_agree_to_the_request(start_deployment):
    """Guards against usage that is lost or counted twice without any fault."""
    deployment = start_deployment()
    callers = Callers(deployment, seed=11).start()
    time.sleep(LOAD_S)
    callers.stop()
    seen = count_seen_by_callers(callers)
    deployment.fleet.wait_until(
        lambda: count_served_in_usage(deployment) == seen,
        SETTLE_TIMEOUT_S,
        f"usage {count_served_in_usage(deployment)} equals {seen}",
    )
    complete = sum(item.complete for item in callers.completions_.values())
    assert count_finished_by_engines(deployment) == complete
    assert check_claims(callers)["may-have-run"] == 0


def test_lost_answers_count_no_report_twice(start_deployment):
    """Guards against a usage report that is counted again when it is retried.

    Relays hold back the responses to the reports, so the instances resend them.
    """
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
    seen = count_seen_by_callers(callers)
    deployment.fleet.wait_until(
        lambda: count_served_in_usage(deployment) == seen,
        SETTLE_TIMEOUT_S,
        f"usage {count_served_in_usage(deployment)} equals {seen}",
    )


def test_kills_lose_at_most_the_last_report_of_the_killed(start_deployment):
    """Guards against usage that is counted twice or lost beyond the stated bound."""
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
    seen = sum(count_seen_by_callers(callers).values())
    # The load is spread evenly over three instances, so one instance serves a third
    # of the requests of a report interval; the factor 2 allows for uneven load.
    bound = 2 * seen / elapsed * USAGE_REPORT_S / 3
    time.sleep(2 * USAGE_REPORT_S)
    recorded = sum(count_served_in_usage(deployment).values())
    print(f"callers saw {seen}, usage has {recorded}, bound {bound:.0f}")
    assert seen - bound <= recorded <= seen
    check_claims(callers)
