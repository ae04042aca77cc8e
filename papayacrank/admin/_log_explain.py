"""Explains the outcome of a request from the log lines of the processes."""

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from ._quarantine_explain import REFUSED_EVENT, QuarantineEvidence
from ._quarantine_explain import REQUEST_EVENTS as QUARANTINE_REQUEST_EVENTS

# Log lines about a target or a rate are considered from this long before the end of the
# request until shortly after it, because the clocks of machines differ.
CONTEXT_BEFORE_S = 12.0
CONTEXT_AFTER_S = 3.0
# Window over which the admitted rate is computed.
RATE_WINDOW_S = 8.0
# Below this fraction of its rate, a workspace was refused for another reason.
MIN_RATE_FRACTION = 0.75
# Delays and numbers of tokens above these explain a late first event.
LONG_WAIT_MS = 100
LARGE_PREFILL_TOKENS = 4_000
TARGET_EVENTS = frozenset(
    {
        "target_avoided",
        "target_silent",
        "target_left",
        "target_listed",
        "weights_ordered",
        "weights_loaded",
        "weights_refused",
        "rate_limit_stated",
        "rate_limit_decided",
        "permits_allocated",
    }
)
CONTROL_EVENTS = frozenset(
    {
        "forwarding_control_lost",
        "forwarding_control_regained",
        "leader_elected",
        "leader_stepped_down",
        "prompt_store_silent",
        "prompt_store_changed",
    }
)
REQUEST_EVENTS = QUARANTINE_REQUEST_EVENTS | {
    "request_ended",
    "request_refused",
    "attempt_failed",
    "permit_refused",
}
FINAL_EVENTS = frozenset({"request_ended", "request_refused"})
REFUSAL_CAUSES = {
    "stopping": "the instance was stopping, and the request was allowed to take longer"
    " than the time that was left",
    "starting": "the instance had just started and knew no configuration yet",
    "unknown_route": "no route of the configuration in force has the host and path",
    "unknown_key": "the key was missing or not in force",
}
OUTCOME_CAUSES = {
    "no_target": "no target of the service was available: all left, loaded or failed",
    "targets_full": "all targets that were tried refused it without executing it",
    "targets_limited": "all targets were at the request rate that they accept",
    "overloaded": "the queue of the best engine was longer than the request may wait",
    "quarantined": "targets have crashed on it or on parts of its prompt",
    "unknown_release": "it takes up a stream of which it is not known which release of"
    " the targets' software began it, or no leader replied",
    "caller_left": "the caller closed its connection first",
    "stopped": "the instance reached the time limit of its planned stop",
    "deadline": "the deadline set by the caller had passed",
}


@dataclass(slots=True)
class Explanation:
    """Explanation of the outcome of one request.

    Parameters
    ----------
    outcome : str
        Code in the final log line, or ``"unknown"`` without such a line.
    causes : list of str
        Causes of the outcome, the most direct one first.
    lines : list of dict
        Log lines of the request.
    context : list of dict
        Log lines about its targets, its instance and the control group at that time.
    """

    request_id: str
    outcome: str = "unknown"
    causes: list[str] = field(default_factory=list)
    lines: list[dict[str, Any]] = field(default_factory=list)
    context: list[dict[str, Any]] = field(default_factory=list)


def read_lines(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Read JSON log lines from files; text in front of the JSON object is ignored.

    Parameters
    ----------
    paths : iterable of str
        Paths of files; ``-`` is standard input.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    lines = []
    for path in paths:
        if path == "-":
            lines += _parse_lines(sys.stdin)
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += _parse_lines(file)
    return lines


def _parse_lines(source: Iterable[str]) -> list[dict[str, Any]]:
    lines = []
    for text in source:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A truncated line at the end of a file, or output of other programs.
            continue
        if isinstance(line, dict) and "event" in line:
            lines.append(line)
    return lines


def explain_from_lines(
    lines: list[dict[str, Any]], request_id: str
) -> Explanation | None:
    """Explain a request from log lines; None if no line mentions it.

    Parameters
    ----------
    lines : list of dict
        Log lines of all processes. The lines of one request must be in order.
    """
    request_lines = [
        line
        for line in lines
        if line.get("request_id") == request_id and line["event"] in REQUEST_EVENTS
    ]
    if not request_lines:
        return None
    explanation = Explanation(request_id, lines=request_lines)
    evidence = QuarantineEvidence(lines, request_lines, _parse_time_s)
    final = next(
        (line for line in reversed(request_lines) if line["event"] in FINAL_EVENTS),
        None,
    )
    if final is None:
        _explain_without_end(explanation, lines, evidence)
        return explanation
    explanation.outcome = final["code"]
    process = final.get("process", "")
    context = _find_context(lines, final, _collect_targets(request_lines), process)
    causes = _find_causes(lines, request_lines, final, context, evidence)
    explanation.causes += causes
    explanation.context = _merge(context, evidence.context)
    return explanation


def _explain_without_end(
    explanation: Explanation, lines: list[dict], evidence: QuarantineEvidence
) -> None:
    """Explain a request without a final line.

    The completions interface writes none; its refusals have lines of their own.
    """
    request_lines = explanation.lines
    if request_lines[-1]["event"] == REFUSED_EVENT:
        explanation.outcome = "quarantined"
        explanation.causes.append(OUTCOME_CAUSES["quarantined"])
    elif any(line["event"] == "attempt_failed" for line in request_lines):
        text = "attempts failed, and no final line was written: the process ended"
        explanation.causes.append(text)
    explanation.causes += evidence.explain()
    targets = _collect_targets(request_lines)
    context = _find_context(lines, request_lines[-1], targets, "")
    explanation.context = _merge(context, evidence.context)


def _merge(context: list[dict], more: list[dict]) -> list[dict]:
    added = [line for line in more if line not in context]
    return sorted([*context, *added], key=_parse_time_s)


def format_explanation(explanation: Explanation) -> str:
    """Format an explanation as text: outcome, causes and the supporting lines."""
    rows = [f"{explanation.request_id}: {explanation.outcome}"]
    rows += [f"- {cause}" for cause in explanation.causes]
    for title, lines in (
        ("lines of the request", explanation.lines),
        ("lines about its targets and its instance", explanation.context),
    ):
        if lines:
            rows.append(f"{title}:")
            rows += [f"  {json.dumps(line)}" for line in lines]
    return "\n".join(rows)


def _find_causes(
    lines: list[dict],
    request_lines: list[dict],
    final: dict,
    context: list[dict],
    evidence: QuarantineEvidence,
) -> list[str]:
    if final["event"] == "request_refused":
        cause = REFUSAL_CAUSES.get(final["code"], "see the code")
        return [f"refused before a service was chosen: {cause}"]
    causes = []
    if final["code"] == "over_rate":
        causes.append(_compare_rate(lines, final))
    elif final["code"] in OUTCOME_CAUSES:
        causes.append(OUTCOME_CAUSES[final["code"]])
    causes += evidence.explain()
    causes += [
        _describe_refused_permit(line)
        if line["event"] == "permit_refused"
        else _describe_attempt(line, context)
        for line in request_lines
        if line["event"] in ("permit_refused", "attempt_failed")
    ]
    causes += _explain_delay(final, context)
    contact_lost = [
        line for line in context if line["event"] == "forwarding_control_lost"
    ]
    if contact_lost:
        causes.append("the instance had lost contact to the control group")
    return causes or ["served; nothing unusual is on record"]


def _compare_rate(lines: list[dict], final: dict) -> str:
    """State whether the workspace was at its rate when a request was refused."""
    name, version = final["workspace"], final.get("routing_version")
    limits = [
        line["rates"][name]
        for line in lines
        if line["event"] == "routing_applied"
        and line["version"] == version
        and name in line.get("rates", {})
    ]
    if not limits:
        return f"over the rate of {name}; the lines have no rates of version {version}"
    rate, burst = limits[0]
    end = _parse_time_s(final)
    admitted_tokens = sum(
        line.get("cost", 0)
        for line in lines
        if line["event"] == "request_ended"
        and line.get("workspace") == name
        and line.get("tries", 0) > 0
        and 0 <= end - _parse_time_s(line) <= RATE_WINDOW_S
    )
    admitted_rate = admitted_tokens / RATE_WINDOW_S
    text = (
        f"{name} has {rate:g} tokens/s and a burst of {burst:g} by version {version};"
        f" {admitted_rate:.0f} tokens/s were admitted in the {RATE_WINDOW_S:g} s before"
    )
    if admitted_rate >= MIN_RATE_FRACTION * rate:
        return f"over the rate: {text}"
    return f"refused below the rate, because no grant arrived in time: {text}"


def _describe_attempt(attempt: dict, context: list[dict]) -> str:
    target = attempt["target"]
    text = f"attempt at {target} failed after {attempt['after_ms']} ms"
    text += f" ({attempt['code']})"
    target_events = {line["event"] for line in context if line.get("target") == target}
    if "target_left" in target_events:
        text += "; the target then left the platform's list"
    elif target_events & {"target_avoided", "target_silent"}:
        text += "; other requests failed there too, and the target was avoided"
    elif attempt["code"] == "wrong_target":
        text += "; it had other weights, or another process used its address"
    return text


def _describe_refused_permit(line: dict) -> str:
    target, reason = line["target"], line["reason"]
    if reason == "no_reply":
        return f"no permit for {target}, because the leader did not reply"
    text = f"no permit for {target}, which accepts {line['per_s']:g} requests/s"
    return f"{text} from all instances; the next was free in {line['free_in_ms']} ms"


def _explain_delay(final: dict, context: list[dict]) -> list[str]:
    causes = []
    if final.get("sent_after_ms", 0) > LONG_WAIT_MS:
        reason = "after other attempts" if final["tries"] > 1 else "for a grant"
        if final.get("permit_wait_ms", 0) > LONG_WAIT_MS:
            reason = f"{final['permit_wait_ms']} ms of them for permits"
        causes.append(f"sent {final['sent_after_ms']} ms after its arrival, {reason}")
    if final.get("target_prefill", 0) > LARGE_PREFILL_TOKENS:
        causes.append(
            f"{final['target_prefill']} prompt tokens waited at {final['target']}"
            " when it was placed"
        )
    if final.get("missing_tokens", 0) > LARGE_PREFILL_TOKENS:
        causes.append(f"{final['missing_tokens']} of its prompt tokens were not cached")
    loaded_targets = {
        line["target"] for line in context if line["event"] == "weights_loaded"
    }
    if loaded_targets and causes:
        names = ", ".join(sorted(loaded_targets))
        causes.append(f"new weights were loaded at that time: {names}")
    return causes


def _collect_targets(request_lines: list[dict]) -> set[str]:
    targets = {line["target"] for line in request_lines if line.get("target")}
    for line in request_lines:
        targets.update(line.get("limited_targets", ()))
    return targets


def _find_context(
    lines: list[dict], final: dict, targets: set[str], process: str
) -> list[dict]:
    end = _parse_time_s(final)
    context = _find_limits_in_force(lines, targets, end)
    for line in lines:
        about_target = line["event"] in TARGET_EVENTS and line.get("target") in targets
        about_control = line["event"] in CONTROL_EVENTS and (
            line.get("process") == process or line["event"].startswith("leader_")
        )
        if not about_target and not about_control:
            continue
        is_near = -CONTEXT_AFTER_S <= end - _parse_time_s(line) <= CONTEXT_BEFORE_S
        if is_near and line not in context:
            context.append(line)
    return sorted(context, key=_parse_time_s)


def _find_limits_in_force(
    lines: list[dict], targets: set[str], end: float
) -> list[dict]:
    """Return the last decision on the rate limit of each target, however old."""
    latest: dict[str, dict] = {}
    for line in lines:
        is_decision = line["event"] == "rate_limit_decided"
        if is_decision and line["target"] in targets and _parse_time_s(line) <= end:
            known = latest.get(line["target"])
            if known is None or _parse_time_s(known) <= _parse_time_s(line):
                latest[line["target"]] = line
    return list(latest.values())


def _parse_time_s(line: dict) -> float:
    """Return the timestamp of a line in seconds since the epoch; 0 if it has none."""
    try:
        return datetime.fromisoformat(line["timestamp"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return 0.0
