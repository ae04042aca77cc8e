"""Starts of whole fleets, with the decisions of the leader over limited links."""

import pytest

from papayacrank.control.tests.start_simulation import FleetStart
from papayacrank.kernel import compress
from papayacrank.messages import FeedBatch, encode_feed
from papayacrank.platform._settings import ELECTION_TIMEOUT_MS

# Time within which instances have to be in contact again after a disturbance, as the
# users state it for their large deployment.
CONTACT_MS = 5_000
MANY_ROUTES = 1_444
SIZES = (9, 30, 87, 200, 300)


@pytest.fixture(scope="module", params=SIZES)
def large_start(request):
    """Return a fleet with a long list of routes, `CONTACT_MS` after its start."""
    fleet = FleetStart(request.param, MANY_ROUTES, seed=request.param)
    fleet.run(CONTACT_MS)
    return fleet


def test_all_instances_are_ready_in_time_with_many_routes(large_start):
    assert len(large_start.ready) == len(large_start.entries)


def test_feed_does_not_delay_the_heartbeats_of_the_log(large_start):
    # Half of the time after which followers start an election.
    assert max(large_start.probe_delays_ms) < ELECTION_TIMEOUT_MS / 2


def test_a_change_of_the_routes_reaches_a_large_fleet_without_an_election():
    fleet = FleetStart(200, MANY_ROUTES, seed=7)
    fleet.run(30_000)
    fleet.probe_delays_ms.clear()
    for at_ms in (30_000, 30_330, 30_660):
        fleet.run(at_ms)
        fleet.change_routing()
    fleet.run(36_000)
    assert max(fleet.probe_delays_ms) < ELECTION_TIMEOUT_MS / 2
    assert {entry.contact.routing.version for entry in fleet.entries} == {4}


def test_a_lost_part_of_the_feed_is_sent_again():
    lost = set()

    def drop(to, message):
        is_lost = isinstance(message, FeedBatch) and to not in lost
        lost.add(to)
        return is_lost

    fleet = FleetStart(30, MANY_ROUTES, seed=3, drop=drop)
    fleet.run(CONTACT_MS)
    assert len(lost) == len(fleet.ready) == 30
    assert all(entry.contact.has_contact(fleet.now_ms) for entry in fleet.entries)


def test_process_that_keeps_up_is_sent_nothing_twice():
    fleet = FleetStart(9, MANY_ROUTES, seed=4)
    fleet.run(CONTACT_MS)
    fleet.bytes_by_receiver.clear()
    fleet.bytes_by_type.clear()
    # Each change is on its way while the one before is confirmed.
    for number in range(20):
        fleet.run(CONTACT_MS + 100 * number)
        fleet.change_routing()
    fleet.run(2 * CONTACT_MS)
    assert {entry.contact.routing.version for entry in fleet.entries} == {21}
    one_change = fleet.bytes_by_type["FeedBatch"] / len(fleet.entries) / 20
    assert one_change < 1.2 * len(
        compress(encode_feed(fleet.node.machine.feed_since(0)))
    )
