"""Tests of the demand that the leader adds up for entry processes."""

from papayacrank.control._fleet import DEMAND_INTERVAL_MS, FleetController
from papayacrank.messages import EntryLoad, ServiceDemand

from .test_rollout import FakeProtocol

RECEIVERS = {"i": "x", "j": "y"}


def build_controller():
    """Return a controller in its first term, without targets."""
    controller = FleetController(FakeProtocol({}), "i")
    controller.reset(1, 0)
    return controller


def test_demand_is_added_up_and_sent_once_an_interval():
    """Guards against sums that are missing, or fill the link of a small instance."""
    controller = build_controller()
    for instance in ("i", "j"):
        row = ServiceDemand("s", "w", 1, 100, 50)
        controller.observe_load(EntryLoad(instance, 1, {}, demand=[row]), 0)
    sent = {send.to: send.message for send in controller.push_load(RECEIVERS, 0)}
    assert (
        sent["x"].demand == sent["y"].demand == [ServiceDemand("s", "w", 1, 200, 100)]
    )
    assert controller.push_load(RECEIVERS, DEMAND_INTERVAL_MS - 1) == []
    assert len(controller.push_load(RECEIVERS, DEMAND_INTERVAL_MS)) == 2


def test_new_leader_does_not_send_the_demand_of_an_earlier_term():
    """Guards against parts of an overload before an election."""
    controller = build_controller()
    row = ServiceDemand("s", "w", 1, 100, 50)
    controller.observe_load(EntryLoad("i", 1, {}, demand=[row]), 0)
    controller.reset(2, 10)
    messages = [send.message for send in controller.push_load(RECEIVERS, 10)]
    assert all(message.demand == [] for message in messages)
