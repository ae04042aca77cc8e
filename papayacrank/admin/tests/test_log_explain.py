"""Tests of the explanation of a request from log files."""

import io
import json

import pytest

from papayacrank.admin.__main__ import main
from papayacrank.admin._log_explain import (
    explain_from_lines,
    format_explanation,
    read_lines,
)

START = "2026-01-01T10:00:{:06.3f}+00:00"


def build_line(event, second=30.0, process="front-1", **fields):
    """Build a log line."""
    base = {"event": event, "process": process, "timestamp": START.format(second)}
    return base | fields


def build_end(request_id="r1", code="served", second=30.0, **fields):
    """Build the final log line of a request."""
    base = {
        "request_id": request_id,
        "code": code,
        "status": 200,
        "workspace": "w1",
        "routing_version": 4,
        "tries": 1,
        "cost": 1_000,
        "sent_after_ms": 3,
    }
    return build_line("request_ended", second, **(base | fields))


def build_rates(rate=10_000):
    """Build the log line with the rates of version 4."""
    return build_line("routing_applied", 1.0, version=4, rates={"w1": [rate, 20_000]})


def join_causes(lines, request_id="r1"):
    """Return the causes of a request as one text."""
    return "; ".join(explain_from_lines(lines, request_id).causes)


def test_unknown_request_is_not_explained():
    """Guards against an explanation from the lines of another request."""
    assert explain_from_lines([build_end("other")], "r1") is None


@pytest.mark.parametrize(
    ("served", "expected"),
    [(80, "over the rate"), (8, "refused below the rate")],
)
def test_refusal_over_a_rate_is_compared_with_what_was_served(served, expected):
    """Guards against a wrong statement on whether the rate caused a refusal."""
    lines = [build_rates()]
    lines += [build_end(f"s{n}", second=25.0 + n / 20) for n in range(served)]
    lines += [build_end(code="over_rate", status=429, tries=0)]
    explanation = explain_from_lines(lines, "r1")
    assert explanation.outcome == "over_rate"
    assert explanation.causes[0].startswith(expected)
    assert "10000 tokens/s" in explanation.causes[0]


def test_lost_control_contact_is_reported():
    """Guards against refusals without control contact that stay unexplained."""
    lines = [
        build_rates(),
        build_line("forwarding_control_lost", 28.0),
        build_line("forwarding_control_lost", 28.0, process="front-2"),
        build_end(code="over_rate", tries=0),
    ]
    explanation = explain_from_lines(lines, "r1")
    assert "lost contact" in explanation.causes[-1]
    assert len(explanation.context) == 1


def test_failed_target_is_shown_with_what_others_saw():
    """Guards against a target failure reported as a failure of this request only."""
    failed = build_line(
        "attempt_failed",
        29.9,
        request_id="r1",
        target="e1",
        code="connection_lost",
        after_ms=500,
    )
    lines = [
        failed,
        build_line("target_avoided", 29.9, process="front-2", target="e1"),
        build_line("target_left", 32.0, process="front-1-control", target="e1"),
        build_line("target_left", 29.0, target="e2"),
        build_end(code="target_failed", status=502),
    ]
    explanation = explain_from_lines(lines, "r1")
    assert "attempt at e1 failed after 500 ms" in explanation.causes[0]
    assert "left the platform's list" in explanation.causes[0]
    assert {line["target"] for line in explanation.context} == {"e1"}


def test_late_response_reports_queue_and_new_weights():
    """Guards against a weights roll-out that is not reported next to its queue."""
    lines = [
        build_line("weights_loaded", 29.0, process="c", target="e1", version=4),
        build_end(target="e1", target_prefill=16_616, missing_tokens=4_906),
    ]
    text = join_causes(lines)
    assert "16616 prompt tokens waited at e1" in text
    assert "new weights were loaded at that time: e1" in text


def test_wait_for_a_grant_differs_from_wait_for_other_attempts():
    """Guards against a delay attributed to the wrong step."""
    assert "for a grant" in join_causes([build_end(sent_after_ms=240)])
    assert "other attempts" in join_causes([build_end(sent_after_ms=240, tries=2)])


def test_request_without_a_final_line_is_explained():
    """Guards against an unexplained request after its process crashed."""
    failed = build_line(
        "attempt_failed", request_id="r1", target="e1", code="x", after_ms=1
    )
    assert "the process ended" in join_causes([failed])


def test_truncated_lines_and_other_output_are_skipped(tmp_path, monkeypatch):
    """Guards against a log that cannot be read because its last line is truncated."""
    path = tmp_path / "a.log"
    line = json.dumps(build_end())
    path.write_text(f"  12.5 front-1 {line}\nnot a line\n{line[:40]}\n[1]\n")
    monkeypatch.setattr("sys.stdin", io.StringIO(line + "\n"))
    assert len(read_lines([str(path), "-"])) == 2


def test_command_explains_from_files(tmp_path, capsys):
    """Guards against a command that queries processes although it has the logs."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(json.dumps(build_rates()) + "\n")
    second.write_text(json.dumps(build_end(code="over_rate", tries=0)) + "\n")
    main(["explain", "r1", f"--log={first},{second}", "--json"])
    document = json.loads(capsys.readouterr().out)
    assert document["outcome"] == "over_rate"
    main(["explain", "r1", f"--log={second}"])
    assert capsys.readouterr().out.startswith("r1: over_rate")
    for arguments, code in (
        (["explain", "r2", f"--log={second}"], 1),
        (["explain", "r1", f"--log={tmp_path / 'missing'}"], 2),
    ):
        with pytest.raises(SystemExit) as stopped:
            main(arguments)
        assert stopped.value.code == code


def test_text_includes_the_supporting_lines():
    """Guards against causes that cannot be verified."""
    text = format_explanation(explain_from_lines([build_end()], "r1"))
    assert "nothing unusual" in text
    assert '"request_id": "r1"' in text


def test_refusal_at_a_rate_limit_is_explained():
    """Guards against a refusal whose limit, and who reported it, cannot be found."""
    lines = [
        build_line(
            "rate_limit_decided",
            1.0,
            "control-1",
            target="t1",
            per_s=1.2,
            known=None,
            reported_by="front-2",
            revision=1,
        ),
        build_line(
            "permits_allocated",
            29.0,
            "control-1",
            target="t1",
            per_s=1.2,
            granted={"front-2": 2},
            refused=7,
        ),
        build_line(
            "permit_refused",
            request_id="r1",
            target="t1",
            reason="refused",
            per_s=1.2,
            free_in_ms=640,
        ),
        build_end(code="targets_limited", tries=0, limited_targets=["t1"]),
    ]
    explanation = explain_from_lines(lines, "r1")
    text = "; ".join(explanation.causes)
    assert "all targets were at the request rate that they accept" in text
    assert "t1, which accepts 1.2 requests/s" in text
    assert [line["event"] for line in explanation.context] == [
        "rate_limit_decided",
        "permits_allocated",
    ]


def test_refusal_for_a_long_queue_is_explained():
    """Guards against a refusal whose cause is only a code."""
    lines = [build_end(code="overloaded", tries=0, forecast_wait_ms=900)]
    causes = explain_from_lines(lines, "r1").causes
    assert "queue of the best engine" in causes[0]


def test_permit_without_a_reply_of_the_leader_is_explained():
    """Guards against a limit that is blamed for a leader that is gone."""
    refused = build_line(
        "permit_refused",
        request_id="r1",
        target="t1",
        reason="no_reply",
        per_s=1.2,
        free_in_ms=250,
    )
    lines = [refused, build_end()]
    assert "the leader did not reply" in join_causes(lines)


def test_wait_for_a_permit_explains_a_late_request():
    """Guards against a late request whose wait is attributed to its rate."""
    lines = [build_end(sent_after_ms=260, permit_wait_ms=240)]
    assert "240 ms of them for permits" in join_causes(lines)


def build_evidence(**lift):
    """Build the lines from two crashes to the verdict, and the lift if there is one."""
    lines = [
        build_line("target_crash_seen", 1.0, target="e1", requests=2, parts=["p", "q"]),
        build_line("parts_suspected", 1.1, process="c1", parts=["p"], crashes=1),
        build_line(
            "trial_granted", 2.0, process="c1", instance="i1@1", trial=4, parts=["p"]
        ),
        build_line(
            "trial_ended",
            3.0,
            process="c1",
            instance="i1@1",
            trial=4,
            result="crash",
            parts=["p"],
        ),
        build_line(
            "parts_quarantined",
            3.0,
            process="c1",
            verdict=1000001,
            parts=["p"],
            workspaces=["w1"],
            crashes=3,
        ),
        build_line(
            "parts_quarantined", 3.5, process="c1", verdict=1000002, parts=["z"]
        ),
    ]
    if lift:
        lines.append(
            build_line(
                "quarantine_lifted",
                50.0,
                process="c1",
                verdict=1000001,
                parts=["p"],
                **lift,
            )
        )
    return lines


def build_refusal(**fields):
    """Build the line of a request that the quarantine has refused."""
    return build_line(
        "quarantine_refused",
        30.0,
        request_id="r1",
        workspace="w1",
        parts=["p", "x"],
        **fields,
    )


@pytest.mark.parametrize("has_final_line", [False, True])
def test_refused_request_leads_to_evidence_verdict_and_lift(has_final_line):
    """Guards against a refusal that cannot be verified, on both interfaces."""
    lines = build_evidence(operator="ann", reason="operator")
    lines.append(build_refusal(reason="verdict", verdict=1000001))
    if has_final_line:
        lines.append(build_end(code="quarantined", status=503, tries=0))
    explanation = explain_from_lines(lines, "r1")
    assert explanation.outcome == "quarantined"
    text = "; ".join(explanation.causes)
    assert "verdict 1000001 names it or parts" in text
    assert "after 3 crashes, on p, for w1" in text
    assert "lifted" in text and "by ann" in text
    events = [line["event"] for line in explanation.context]
    assert events[0] == "target_crash_seen" and events[-1] == "quarantine_lifted"
    assert all(line.get("verdict") != 1000002 for line in explanation.context)


@pytest.mark.parametrize(
    ("reason", "expected"),
    [
        ("trial_refused", "another request with the same suspected names"),
        ("trial_no_reply", "the leader did not reply"),
    ],
)
def test_request_without_a_trial_is_explained(reason, expected):
    """Guards against a refusal without a verdict that looks like one."""
    lines = [*build_evidence(), build_refusal(reason=reason)]
    causes = join_causes(lines)
    assert expected in causes
    assert "verdict 1000001 names" not in causes


def test_trial_of_a_request_is_led_to_its_end():
    """Guards against a request whose trial crashed a target without a trace."""
    own = build_line(
        "trial_granted",
        2.0,
        request_id="r1",
        instance="i1@1",
        trial=4,
        parts=["p"],
    )
    other = build_line(
        "trial_ended", 2.5, process="c1", instance="i2@1", trial=4, result="success"
    )
    causes = join_causes([*build_evidence(), other, own, build_end(second=4.0)])
    assert "sent as trial 4" in causes
    assert "the target crashed on it" in causes


def test_request_on_a_crashed_target_is_led_to_the_verdict():
    """Guards against a crash explained as a lost connection of this request only."""
    failed = build_line(
        "attempt_failed",
        0.9,
        request_id="r1",
        target="e1",
        code="connection_lost",
        after_ms=50,
    )
    lines = [*build_evidence(), failed, build_end(second=1.2, code="served", tries=2)]
    explanation = explain_from_lines(lines, "r1")
    assert "e1 crashed before it had begun" in "; ".join(explanation.causes)
    verdicts = [line.get("verdict") for line in explanation.context]
    assert 1000001 in verdicts and 1000002 not in verdicts


def test_evidence_is_bounded():
    """Guards against a page of evidence on a part that was suspected for hours."""
    many = [
        build_line("parts_suspected", n / 100, process="c1", parts=["p"], crashes=n)
        for n in range(1_000)
    ]
    lines = [*build_evidence(), *many, build_refusal(reason="verdict", verdict=1000001)]
    explanation = explain_from_lines(lines, "r1")
    assert len(explanation.context) <= 24
    assert any(n["event"] == "parts_quarantined" for n in explanation.context)
