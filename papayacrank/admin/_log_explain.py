"""Cause of a request's outcome, from the log lines of the processes."""

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

# Lines about a target or a rate count from this long before the request's end, and a
# little after it, because clocks of machines differ.
CONTEXT_BEFORE_S = 12.0
CONTEXT_AFTER_S = 3.0
# Rates are compared over this span.
RATE_SPAN_S = 8.0
# Below this part of its rate, a workspace was refused for another reason.
RATE_PART = 0.75
# Waits above these count as causes of a late first event.
LONG_WAIT_MS = 100
QUEUE_TOKENS = 4_000
TARGET_EVENTS = frozenset(
    {
        "target_avoided",
        "target_silent",
        "target_left",
        "target_listed",
        "weights_ordered",
        "weights_loaded",
        "weights_refused",
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
REQUEST_EVENTS = frozenset({"request_ended", "request_refused", "attempt_failed"})
REFUSAL_CAUSES = {
    "starting": "the instance had just started and knew no configuration yet",
    "unknown_route": "no route of the configuration in force has the host and path",
    "unknown_key": "the key was missing or not in force",
}
OUTCOME_CAUSES = {
    "no_target": "no target of the service could take it: all left, loaded or failed",
    "targets_full": "all targets that were tried refused it without running it",
    "caller_left": "the caller closed its connection first",
    "deadline": "the time that the caller had given was over",
}


@dataclass(slots=True)
class Explanation:
    """What the log lines say about one request.

    Parameters
    ----------
    outcome : str
        Final code, ``"unknown"`` if no line has it.
    causes : list of str
        Findings, the most direct one first.
    lines : list of dict
        Lines of the request itself.
    context : list of dict
        Lines about its targets, its instance and its rate at that time.
    """

    request_id: str
    outcome: str = "unknown"
    causes: list[str] = field(default_factory=list)
    lines: list[dict[str, Any]] = field(default_factory=list)
    context: list[dict[str, Any]] = field(default_factory=list)


def read_lines(paths: Iterable[str]) -> list[dict[str, Any]]:
    """Read the JSON log lines of files; other text before a line is dropped.

    Parameters
    ----------
    paths : iterable of str
        Files; ``-`` is standard input.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    lines = []
    for path in paths:
        if path == "-":
            lines += _parse(sys.stdin)
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += _parse(file)
    return lines


def _parse(source: Iterable[str]) -> list[dict[str, Any]]:
    lines = []
    for text in source:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line that was cut at the end of a file, or output of other programs.
            continue
        if isinstance(line, dict) and "event" in line:
            lines.append(line)
    return lines


def explain_from_lines(
    lines: list[dict[str, Any]], request_id: str
) -> Explanation | None:
    """Return what log lines say about a request, None if none names it.

    Parameters
    ----------
    lines : list of dict
        Lines of all processes, in any order between files.
    """
    own = [
        line
        for line in lines
        if line.get("request_id") == request_id and line["event"] in REQUEST_EVENTS
    ]
    if not own:
        return None
    explanation = Explanation(request_id, lines=own)
    final = next(
        (line for line in reversed(own) if line["event"] != "attempt_failed"), None
    )
    if final is None:
        text = "attempts failed, and no final line was written: the process ended"
        explanation.causes.append(text)
        explanation.context = _find_context(lines, own[-1], _targets_of(own), "")
        return explanation
    explanation.outcome = final["code"]
    process = final.get("process", "")
    context = _find_context(lines, final, _targets_of(own), process)
    explanation.context = context
    explanation.causes += _find_causes(lines, own, final, context)
    return explanation


def format_explanation(explanation: Explanation) -> str:
    """Return an explanation as text: outcome, causes, then the lines behind them."""
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
    lines: list[dict], own: list[dict], final: dict, context: list[dict]
) -> list[str]:
    if final["event"] == "request_refused":
        known = REFUSAL_CAUSES.get(final["code"], "see the code")
        return [f"refused before a service was chosen: {known}"]
    causes = []
    if final["code"] == "over_rate":
        causes.append(_compare_rate(lines, final))
    elif final["code"] in OUTCOME_CAUSES:
        causes.append(OUTCOME_CAUSES[final["code"]])
    causes += [_describe_attempt(line, context) for line in own if line is not final]
    causes += _explain_delay(final, context)
    lost = [line for line in context if line["event"] == "forwarding_control_lost"]
    if lost:
        causes.append("the instance had lost contact to the control group")
    return causes or ["served; nothing unusual is on record"]


def _compare_rate(lines: list[dict], final: dict) -> str:
    """Tell whether a workspace was at its rate when a request was refused."""
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
    end = _time_of(final)
    served = sum(
        line.get("cost", 0)
        for line in lines
        if line["event"] == "request_ended"
        and line.get("workspace") == name
        and line.get("tries", 0) > 0
        and 0 <= end - _time_of(line) <= RATE_SPAN_S
    )
    used = served / RATE_SPAN_S
    text = (
        f"{name} has {rate:g} tokens/s and a burst of {burst:g} by version {version};"
        f" {used:.0f} tokens/s were admitted in the {RATE_SPAN_S:g} s before"
    )
    if used >= RATE_PART * rate:
        return f"over the rate: {text}"
    return f"refused below the rate, for want of a grant in time: {text}"


def _describe_attempt(attempt: dict, context: list[dict]) -> str:
    target = attempt["target"]
    text = f"attempt at {target} failed after {attempt['after_ms']} ms"
    text += f" ({attempt['code']})"
    about = {line["event"] for line in context if line.get("target") == target}
    if "target_left" in about:
        text += "; the target then left the platform's list"
    elif about & {"target_avoided", "target_silent"}:
        text += "; other requests failed there, too, and it was avoided"
    elif attempt["code"] == "wrong_target":
        text += "; it had other weights or another process had its address"
    return text


def _explain_delay(final: dict, context: list[dict]) -> list[str]:
    causes = []
    if final.get("sent_after_ms", 0) > LONG_WAIT_MS:
        reason = "after other attempts" if final["tries"] > 1 else "for a grant"
        causes.append(f"sent {final['sent_after_ms']} ms after its arrival, {reason}")
    if final.get("target_prefill", 0) > QUEUE_TOKENS:
        causes.append(
            f"{final['target_prefill']} prompt tokens waited at {final['target']}"
            " when it was placed"
        )
    if final.get("missing_tokens", 0) > QUEUE_TOKENS:
        causes.append(f"{final['missing_tokens']} tokens of its own were to be read")
    loads = {line["target"] for line in context if line["event"] == "weights_loaded"}
    if loads and causes:
        names = ", ".join(sorted(loads))
        causes.append(f"new weights were loaded at that time: {names}")
    return causes


def _targets_of(own: list[dict]) -> set[str]:
    return {line["target"] for line in own if line.get("target")}


def _find_context(
    lines: list[dict], final: dict, targets: set[str], process: str
) -> list[dict]:
    end = _time_of(final)
    context = []
    for line in lines:
        about_target = line["event"] in TARGET_EVENTS and line.get("target") in targets
        about_control = line["event"] in CONTROL_EVENTS and (
            line.get("process") == process or line["event"].startswith("leader_")
        )
        if not about_target and not about_control:
            continue
        if -CONTEXT_AFTER_S <= end - _time_of(line) <= CONTEXT_BEFORE_S:
            context.append(line)
    return sorted(context, key=_time_of)


def _time_of(line: dict) -> float:
    """Return the time of a line in seconds; 0 if it has none."""
    try:
        return datetime.fromisoformat(line["timestamp"]).timestamp()
    except (KeyError, TypeError, ValueError):
        return 0.0
