"""Test of rollouts in a control group of real processes."""

import shutil
import time

from papayacrank.control._node import FORMATS_INTERVAL_MS
from papayacrank.messages import ChangeReleases, Done, StartRollout
from papayacrank.state import ENTRY_FORMAT

from .group import ControlGroup

# Below the silence of 10 s after which a member may be removed.
LIMIT_S = 4
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


def test_first_order_needs_no_lost_member(tmp_path):
    """Guards against orders that wait for a member that was lost before all restart.

    The restarted members have not heard from it, and cannot remove it without breaking
    the loss tolerance.
    """
    with ControlGroup(tmp_path, size=3, tolerated_instances=1) as group:
        group.start_members()
        lost = group.wait_ready()
        assert group.run(ChangeReleases("llm", added=["v1"])).is_ok()
        deadline = time.monotonic() + LIMIT_S
        while {m["entry_format"] for m in group.read("members")} != {ENTRY_FORMAT}:
            assert time.monotonic() < deadline
        time.sleep(2 * FORMATS_INTERVAL_MS / 1_000)
        for name in group.members:
            group.kill_member(name)
        for name in group.members:
            if name != lost:
                group.restart_member(name)
        group.wait_ready()
        deadline = time.monotonic() + LIMIT_S
        while (outcome := group.run(ORDER)).is_error():
            assert outcome.error.code == "format_not_read"
            assert time.monotonic() < deadline
            time.sleep(0.2)
        assert len(group.read("members")) == 3
