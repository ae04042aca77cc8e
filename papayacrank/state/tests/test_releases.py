"""Tests of the replicated releases and streams."""

import pytest

from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    Done,
    FailureRecord,
    RecordStreams,
)
from papayacrank.state import ReleaseTable, StateMachine
from papayacrank.state._releases import MAX_RELEASES_PER_SERVICE, MAX_STREAMS

NOW_MS = 1_000
KEPT_MS = 40_000


@pytest.fixture
def table():
    """Return a table with two releases of a service."""
    table = ReleaseTable()
    table.change(ChangeReleases("llm", added=["v1", "v2"]))
    return table


def record(table, *streams, now_ms=NOW_MS):
    """Record streams as pairs of name and release."""
    begun = [BegunStream(stream, "llm", release) for stream, release in streams]
    assert table.record(RecordStreams(begun, KEPT_MS), now_ms) == Done()


def test_only_release_began_all_streams():
    """Guards against records of each stream on a calm day."""
    table = ReleaseTable()
    assert table.find("llm", "s") == ""
    table.change(ChangeReleases("llm", added=["v1"]))
    assert table.find("llm", "s") == table.find("llm", "") == "v1"
    record(table, ("s", "v1"))
    assert table.stream_count == 0
    assert table.list_mixed() == []


def test_recorded_stream_is_found_and_no_other(table):
    """Guards against a stream that goes on at a release that is only likely."""
    record(table, ("s", "v2"))
    assert table.list_mixed() == ["llm"]
    assert table.find("llm", "s") == "v2"
    assert table.find("llm", "t") == table.find("llm", "") == ""
    assert table.find("other", "s") == ""


def test_contradicting_reports_make_a_stream_unknown(table):
    """Guards against a request id that a caller uses for two streams."""
    record(table, ("s", "v1"))
    record(table, ("s", "v1"))
    assert table.find("llm", "s") == "v1"
    record(table, ("s", "v2"))
    record(table, ("s", "v2"))
    assert table.find("llm", "s") == ""


def test_ended_release_leaves_no_stream(table):
    """Guards against streams that are kept for good."""
    record(table, ("s", "v1"), ("t", "v2"))
    table.change(ChangeReleases("llm", ended=["v1"]))
    assert table.find("llm", "s") == "v2"
    assert table.stream_count == 0
    table.change(ChangeReleases("llm", ended=["v2"]))
    assert table.find("llm", "t") == ""


def test_streams_are_kept_for_a_limited_time(table):
    """Guards against a table that grows while two releases stay in service."""
    record(table, ("s", "v1"))
    record(table, ("t", "v1"), now_ms=NOW_MS + KEPT_MS)
    assert table.find("llm", "s") == ""
    assert table.find("llm", "t") == "v1"


def test_streams_and_releases_are_bounded(table):
    """Guards against tables that a list or a flood of streams fills."""
    many = [f"r{number}" for number in range(MAX_RELEASES_PER_SERVICE)]
    assert isinstance(table.change(ChangeReleases("llm", many)), FailureRecord)
    assert table.possible["llm"] == ["v1", "v2"]
    for start in range(0, MAX_STREAMS + 2_000, 1_000):
        record(table, *((f"s{start + n}", "v1") for n in range(1_000)))
    assert table.stream_count <= MAX_STREAMS + 1_000
    assert table.find("llm", f"s{MAX_STREAMS + 1_500}") == "v1"


def test_snapshot_holds_releases_and_streams():
    """Guards against streams that are unknown after a restart of all members."""
    machine = StateMachine()
    machine.releases.change(ChangeReleases("llm", added=["v1", "v2"]))
    record(machine.releases, ("s", "v2"))
    restored = StateMachine()
    restored.restore(machine.snapshot())
    assert restored.releases.find("llm", "s") == "v2"
    assert restored.releases.find("llm", "t") == ""


def test_stream_of_a_split_route_is_found_in_the_service_that_began_it(table):
    """Guards against a stream that is unknown because another service was drawn."""
    table.change(ChangeReleases("other", added=["v1"]))
    record(table, ("s", "v2"))
    for service in ("llm", "other"):
        assert table.find_in_services("s", service, ["llm", "other"]) == ("llm", "v2")
    assert table.find_in_services("s", "other", ["other"]) == ("other", "v1")
    assert table.find_in_services("t", "llm", ["llm", "other"]) == ("llm", "")
