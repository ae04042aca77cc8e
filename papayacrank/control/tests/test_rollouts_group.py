"""Test of rollouts in a control group of real processes."""

import shutil

from papayacrank.messages import ChangeReleases, Done, StartRollout

from .group import ControlGroup

ORDER = StartRollout("llm", "v2", 600_000)


def test_acknowledged_order_survives_losses(tmp_path):
    """Guards against an order that a new leader, or a restart of all, does not know."""
    with ControlGroup(tmp_path, size=3) as group:
        group.start_members()
        leader = group.wait_ready()
        assert group.run(ChangeReleases("llm", added=["v1"])).is_ok()
        assert group.run(ORDER).ok == Done()
        group.kill_member(leader)
        shutil.rmtree(group.data_folder(leader))
        group.wait_ready(other_than=leader)
        before = group.read("rollouts")
        assert [(r["release"], r["bases"]) for r in before] == [("v2", ["v1"])]
        for name in group.members:
            if name != leader:
                group.kill_member(name)
        for name in group.members:
            group.restart_member(name)
        group.wait_ready()
        assert group.run(ORDER).ok == Done()
        assert group.read("rollouts") == before
