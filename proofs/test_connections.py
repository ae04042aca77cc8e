"""Proof: open connections that go silent for good cost no request."""

import time

import pytest

from papayacrank.testing import DeploymentSize

pytestmark = pytest.mark.prove

OBSERVATION_S = 6.0


def test_silent_connections_to_the_control_group_are_replaced(start_deployment):
    """Guards against a contact that is lost while new connections would work."""
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
