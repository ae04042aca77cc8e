"""Tests of requests while a rollout moves them to another release."""

import msgspec
import pytest

from papayacrank.messages import COMPLETED, ROLLED_BACK, RUNNING, RolloutShare

from .builders import Bench, build_target, build_view

OLD = tuple(build_target(f"o{n}", release="v1") for n in (1, 2))
NEW = tuple(build_target(f"n{n}", release="v2") for n in (3, 4))
LAPSE_MS = 1_500


def apply_share(bench, share, state=RUNNING, sequence=2, targets=(*OLD, *NEW)):
    """Apply a view with a rollout of the plain service."""
    rollout = RolloutShare(1, "plain", "v2", state, sequence, share, ["v1"], LAPSE_MS)
    view = build_view(*targets, sequence=sequence)
    bench.forwarder.apply_fleet(msgspec.structs.replace(view, rollouts=[rollout]))


def send_releases(bench, count=20):
    """Send requests and return the releases of their targets."""
    releases = set()
    for _ in range(count):
        bench.send()
        releases.add(release_of(bench))
        bench.respond()
    return releases


def release_of(bench):
    """Return the release of the target of the last call."""
    return bench.call.state.attempt.target.release


def reports(bench, release):
    """Return the sums of sent, ended and failed requests of a release."""
    found = [
        report
        for report in bench.forwarder.report_releases()
        if report.release == release
    ]
    return tuple(sum(getattr(r, k) for r in found) for k in ("sent", "ended", "failed"))


@pytest.fixture
def bench():
    """Return a bench with two targets of each release."""
    return Bench(*OLD, *NEW)


def test_releases_without_a_rollout_serve_side_by_side(bench):
    """Guards against deployments without rollouts that lose half of their targets."""
    assert send_releases(bench) == {"v1", "v2"}


@pytest.mark.parametrize(
    ("share", "state", "expected"),
    [
        (0.0, RUNNING, {"v1"}),
        (0.5, RUNNING, {"v1", "v2"}),
        (1.0, RUNNING, {"v2"}),
        (1.0, COMPLETED, {"v2"}),
        (0.0, ROLLED_BACK, {"v1"}),
    ],
)
def test_requests_keep_to_the_share(bench, share, state, expected):
    """Guards against requests at a release that gets none."""
    apply_share(bench, share, state)
    assert send_releases(bench) == expected


def test_release_that_no_rollout_names_gets_nothing(bench):
    """Guards against a third release that serves beside the ordered one."""
    other = build_target("x5", release="v3")
    apply_share(bench, 0.0, ROLLED_BACK, targets=(*OLD, *NEW, other))
    assert send_releases(bench) == {"v1"}


def test_request_is_not_sent_if_only_a_rolled_back_release_is_left(bench):
    """Guards against requests that go to a bad release for want of another."""
    apply_share(bench, 0.0, ROLLED_BACK, targets=NEW)
    caller = bench.send()
    assert bench.port.calls == []
    assert caller.status == 503


def test_retry_goes_to_the_old_release(bench):
    """Guards against a caller that a bad release fails twice."""
    for sequence in range(2, 30):
        apply_share(bench, 0.9, sequence=sequence)
        bench.send()
        if release_of(bench) == "v2":
            break
        bench.respond()
    bench.respond(500)
    assert release_of(bench) == "v1"


def test_share_lapses_without_contact(bench):
    """Guards against a cut instance that uses a release long after the roll-back."""
    contacted_ms = bench.clock.now_ms()
    limiter = bench.forwarder.fleet.rollouts._limiter
    limiter._contacted_ms = lambda: contacted_ms
    apply_share(bench, 0.9)
    bench.advance(LAPSE_MS - 1)
    assert "v2" in send_releases(bench)
    bench.advance(1)
    assert send_releases(bench) == {"v1"}


def test_outcomes_are_counted_by_release(bench):
    """Guards against verdicts on outcomes of the other release."""
    apply_share(bench, 1.0)
    send_releases(bench, 4)
    bench.send("/claim/x", method="POST")
    bench.respond(500)
    assert reports(bench, "v2") == (5, 5, 1)
    assert reports(bench, "v1") == (0, 0, 0)


@pytest.mark.parametrize(("is_refused", "failed"), [(True, 0), (False, 1)])
def test_crash_by_a_request_does_not_count_against_a_release(is_refused, failed):
    """Guards against deadly prompts that roll back a good release."""
    engines = [
        build_target(f"e{n}", "engines", release="v2", born_ms=7) for n in (1, 2)
    ]
    bench = Bench(*engines)
    rollout = RolloutShare(1, "engines", "v2", RUNNING, 1, 1.0, ["v1"], LAPSE_MS)
    view = build_view(*engines, sequence=2)
    bench.forwarder.apply_fleet(msgspec.structs.replace(view, rollouts=[rollout]))
    bench.send("/reply/x", tokens=25, parts="a:10,b:10,own:5")
    bench.begin()
    bench.fail()
    bench.address_check.finish(is_refused=is_refused)
    assert reports(bench, "v2")[2] == failed


def test_failing_release_is_not_taken_for_deadly_requests(bench):
    """Guards against a quarantine of requests that a bad release has failed."""
    apply_share(bench, 1.0)
    for _ in range(5):
        bench.send("/claim/x", method="POST")
        bench.respond(500)
    assert bench.address_check.addresses == []
    assert reports(bench, "v2") == (5, 5, 5)


def test_report_states_the_applied_step_without_requests(bench):
    """Guards against a rollout that waits for an idle instance."""
    apply_share(bench, 0.1, sequence=7)
    releases = bench.forwarder.report_releases()
    load = bench.forwarder.table.report("i1", releases=releases)
    assert [report.step for report in load.releases] == [7]
