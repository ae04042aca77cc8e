"""Failure test: no request fails when open connections stop carrying data."""

import time

import pytest

from papayacrank.testing import DeploymentSize

pytestmark = pytest.mark.prove

OBSERVATION_S = 6.0


def test_silent_connections_to_the_control_group_are_replaced(start_deployment):
    """Guards against lost control contact while new connections would still work."""
    deployment = start_deployment(
        size=DeploymentSize(entries=1, engines=1), relayed_entries=1
    )
    address = deployment.entry_addresses[0]
    for relay in deployment.relays_["e1"]:
        relay.freeze_open()
    end = time.monotonic() + OBSERVATION_S
    statuses = []
    while time.monotonic() < end:
        statuses.append(deployment.complete(address, "team-a", "hello", 1).status)
        time.sleep(0.05)
    assert set(statuses) == {200}
    assert len(statuses) > 20
    claim = deployment.claim(address, "team-a", "claim-after-silence")
    assert claim.status == 200
