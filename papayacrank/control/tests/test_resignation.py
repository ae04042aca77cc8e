"""Tests of a leader whose machine has lost its path to the targets."""

import pytest

from papayacrank.config import ControlSettings
from papayacrank.consensus import Member
from papayacrank.control import FleetController
from papayacrank.control._node import ControlNode
from papayacrank.control.tests.test_node import NodeHarness
from papayacrank.messages import ISOLATED, SERVING
from papayacrank.platform._target_protocol import PlatformTargetProtocol

LEADER, FOLLOWER, LEARNER = "10.0.0.1", "10.0.0.2", "10.0.0.3"


class LeaderHarness(NodeHarness):
    """Leader with a fleet, on the machine of an entry process."""

    def __init__(self):
        super().__init__()
        settings = ControlSettings(
            instance=LEADER,
            failure_domain="east",
            link="127.0.0.1:1",
            data_folder="unused",
            initial_voters=[LEADER],
        )
        self.resignations = 0
        self.raft.resign = self._resign
        self.raft.members = (
            Member(LEADER, "a", "east", True),
            Member(FOLLOWER, "b", "west", True),
            Member(LEARNER, "c", "north", False),
        )
        fleet = FleetController(PlatformTargetProtocol("127.0.0.1:1"), "i1")
        self.node = ControlNode(settings, self.raft, self.machine, lambda: 0, fleet)
        self.node.start(self.now_ms)

    def _resign(self, now_ms):
        self.resignations += 1
        self.raft.is_leader = False
        return []

    def report(self, **statuses):
        """Send a heartbeat of the entry process on each machine."""
        hosts = {"leader": LEADER, "follower": FOLLOWER, "learner": LEARNER}
        for name, status in statuses.items():
            address = f"{hosts[name]}:80"
            self.send_heartbeat(1, instance=name, address=address, status=status)
        self.advance(200)


@pytest.mark.parametrize(
    ("leader", "follower", "learner", "expected"),
    [
        (ISOLATED, SERVING, ISOLATED, 1),
        (SERVING, ISOLATED, SERVING, 0),
        (ISOLATED, ISOLATED, SERVING, 0),
        (ISOLATED, "starting", SERVING, 0),
    ],
)
def test_leader_without_a_path_leaves_to_a_voter_that_has_one(
    leader, follower, learner, expected
):
    harness = LeaderHarness()
    harness.advance(200)
    harness.report(leader=leader, follower=follower, learner=learner)
    assert harness.resignations == expected
