"""Tests of the report on usage and error budgets."""

import json

import msgspec
import pytest

from papayacrank.accounting import (
    UsageDocument,
    UsageRecorder,
    UsageRow,
    parse_usage_view,
)
from papayacrank.config import generate_configuration
from papayacrank.kernel import Failure, Verdict
from papayacrank.report import build_report, render_html, render_json, render_text
from papayacrank.testing import build_questionnaire

NOW_MINUTE = 100_000


def build_document(served=990, overloaded=10, over_rate=50, age=0):
    """Build usage of team-a; team-b has none."""
    recorder = UsageRecorder("i1", 1)
    for _ in range(served):
        recorder.on_asked("team-a")
        recorder.on_served("team-a", 100, 80, 10, 150)
    for code, count in (("overloaded", overloaded), ("over_rate", over_rate)):
        for _ in range(count):
            recorder.on_asked("team-a")
            recorder.on_refused("team-a", Failure(code, Verdict.NOT_RUN, "", 503))
    deltas = recorder.close_report(NOW_MINUTE - age).deltas
    rows = [UsageRow(NOW_MINUTE - age, delta) for delta in deltas]
    return UsageDocument(NOW_MINUTE, rows)


CONFIGURATION = generate_configuration(build_questionnaire())


def test_refusals_over_the_rate_do_not_spend_error_budget():
    """Guards against counting refusals over the rate as errors of the system."""
    report = build_report(build_document(), CONFIGURATION)
    team = report.workspaces[0]
    assert (team.eligible, team.bad) == (1_000, 10)
    assert team.windows[0].burn_rate == pytest.approx(10.0)
    assert team.budget_left == pytest.approx(-9.0)
    assert report.worst_workspace == "team-a"


def test_old_usage_is_outside_short_windows():
    """Guards against a burn rate that never recovers."""
    report = build_report(build_document(age=90), CONFIGURATION)
    rates = [window.burn_rate for window in report.workspaces[0].windows]
    assert rates[:2] == [0.0, 0.0]
    assert rates[2] == pytest.approx(10.0)


def test_workspace_without_traffic_is_listed():
    """Guards against a workspace left out because nothing was served."""
    report = build_report(UsageDocument(NOW_MINUTE, []), CONFIGURATION)
    assert [item.workspace for item in report.workspaces] == ["team-a", "team-b"]
    assert report.worst_workspace is None
    assert "none yet" in render_text(report)


def test_formats_are_consistent():
    """Guards against formats that show different values."""
    report = build_report(build_document(), CONFIGURATION)
    document = json.loads(render_json(report))
    assert document["workspaces"][0]["usage"]["served"] == 990
    text = render_text(report)
    page = render_html(report)
    for rendering in (text, page):
        assert "990" in rendering
        assert "overloaded" in rendering
    assert "http" not in page.replace("data:image", "")


def test_view_of_the_control_group_is_parsed():
    """Guards against histograms corrupted while a usage view is parsed."""
    document = build_document()
    usage = msgspec.structs.asdict(document.rows[0].usage)
    for name in ("ttft_histogram", "token_gap_histogram"):
        usage[name] = usage[name].decode("ascii")
    view = [{"minute": NOW_MINUTE, "minutes": 1} | usage]
    assert parse_usage_view(view, NOW_MINUTE) == document
    with pytest.raises(ValueError, match="not a row"):
        parse_usage_view([{"colour": 1}], NOW_MINUTE)
