"""Tests of an instance that has lost its path to all targets."""

import pytest

from .builders import Bench, build_target

TARGETS = tuple(
    build_target(f"{service[0]}{number}", service, domain)
    for service in ("plain", "engines")
    for number, domain in enumerate(("east", "west", "north"), 1)
)
TARGET_ADDRESSES = {target.address for target in TARGETS}
CONNECT_TIMEOUT_MS = 250
# Requests that fail before the instance has to know that the path is lost.
FIRST_REQUESTS = 4


def fail_open_calls(bench, code="connect_timeout"):
    """Fail all calls to targets that are open, until none is."""
    while calls := [c for c in bench.port.calls if c.is_open]:
        bench.advance(CONNECT_TIMEOUT_MS)
        for call in calls:
            bench.fail(code, sent=False, call=call)


@pytest.fixture
def cut_off():
    """Return an instance whose connections to all targets have timed out."""
    bench = Bench(*TARGETS)
    for number in range(FIRST_REQUESTS):
        bench.send(id=f"first-{number}")
        fail_open_calls(bench)
    return bench


def test_instance_without_targets_reports_none_of_them_as_silent(cut_off):
    report = cut_off.forwarder.table.report("i1")
    assert report is None or report.silent == []


def test_request_at_an_instance_without_targets_is_not_held_by_attempts(cut_off):
    calls = len(cut_off.port.calls)
    caller = cut_off.send(id="later")
    sent_to = {call.address for call in cut_off.port.calls[calls:]}
    assert not sent_to & TARGET_ADDRESSES
    assert caller.status == 503
