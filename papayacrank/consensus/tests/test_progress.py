"""Tests of the replication progress of one member."""

from papayacrank.consensus import Member
from papayacrank.consensus._messages import Entry
from papayacrank.consensus._progress import MAX_BYTES_IN_FLIGHT, Progress

ENTRY_BYTES = 300_000


def test_silent_member_does_not_make_the_leader_queue_many_large_entries():
    progress = Progress(Member("c2", "b", "west", True), 1, 0, probing=False)
    sent = 0
    while progress.may_send_entries:
        sent += 1
        progress.on_sent((Entry(sent, 1, 1, bytes(ENTRY_BYTES)),), 5)
    assert sent * ENTRY_BYTES < MAX_BYTES_IN_FLIGHT + ENTRY_BYTES
    progress.accept(1, 6)
    assert progress.may_send_entries
