"""Explains what the quarantine of prompt parts had to do with a request."""

from collections.abc import Callable

REFUSED_EVENT = "quarantine_refused"
GRANTED_EVENT = "trial_granted"
CRASH_EVENT = "target_crash_seen"
REQUEST_EVENTS = frozenset({REFUSED_EVENT, GRANTED_EVENT})
EVIDENCE_EVENTS = frozenset(
    {
        CRASH_EVENT,
        "parts_suspected",
        "parts_cleared",
        GRANTED_EVENT,
        "trial_ended",
        "parts_quarantined",
        "quarantine_changed",
        "quarantine_lifted",
    }
)
VERDICT_EVENTS = frozenset(
    {"parts_quarantined", "quarantine_changed", "quarantine_lifted"}
)
# A crash is seen within this time of the failure of the attempt. Clocks of instances
# differ, but an instance sees the crashes of its own attempts.
CRASH_SEEN_S = 2.0
MAX_EVIDENCE_LINES = 24
# Lines with this many parts may have been cut.
MAX_LOGGED_PARTS = 8
_REFUSALS = {
    "trial_refused": "another request with the same suspected names was on trial",
    "trial_no_reply": "the leader did not reply to its request for a trial",
}
_RESULTS = {
    "crash": "the target crashed on it",
    "success": "it was answered, which clears its parts",
    "none": "it ended without a crash",
    "lost": "its instance did not report the end",
}


class QuarantineEvidence:
    """Log lines on the prompt parts, trials and verdicts of one request.

    Parameters
    ----------
    lines : list of dict
        Log lines of all processes.
    request_lines : list of dict
        Lines of the request.
    parse_time_s : callable
        Returns the time of a line in seconds.
    """

    def __init__(
        self,
        lines: list[dict],
        request_lines: list[dict],
        parse_time_s: Callable[[dict], float],
    ):
        self._parse_time_s = parse_time_s
        self._request_lines = request_lines
        self._lines = [line for line in lines if line["event"] in EVIDENCE_EVENTS]
        self._lines.sort(key=parse_time_s)
        self._crashes = self._find_crashes()
        self._parts = {
            name
            for line in [*request_lines, *self._crashes]
            if line["event"] in REQUEST_EVENTS or line["event"] == CRASH_EVENT
            for name in line.get("parts", ())
        }
        self._verdicts = self._find_verdicts()

    @property
    def context(self) -> list[dict]:
        """Lines that led to the verdict or followed it, the oldest first.

        The verdicts and what the request took part in are kept first, then the latest
        lines.
        """
        related = [line for line in self._lines if self._is_related(line)]
        related.sort(
            key=lambda line: line in self._crashes or self._is_of_verdict(line)
        )
        kept = related[-MAX_EVIDENCE_LINES:]
        return sorted(kept, key=self._parse_time_s)

    def explain(self) -> list[str]:
        """Return the causes, the most direct one first."""
        causes = []
        for line in self._request_lines:
            if line["event"] == REFUSED_EVENT:
                causes += self._explain_refusal(line)
            elif line["event"] == GRANTED_EVENT:
                causes.append(self._explain_trial(line))
        for line in self._crashes:
            causes.append(
                f"{line['target']} crashed before it had begun to answer"
                f" {line.get('requests', 1)} requests of {line.get('process', '?')}"
            )
        return causes

    def _find_crashes(self) -> list[dict]:
        """Return the crashes that attempts of the request were part of."""
        failed = [
            line for line in self._request_lines if line["event"] == "attempt_failed"
        ]
        return [
            line
            for line in self._lines
            if line["event"] == CRASH_EVENT
            and any(
                line.get("target") == attempt.get("target")
                and line.get("process") == attempt.get("process")
                and 0
                <= self._parse_time_s(line) - self._parse_time_s(attempt)
                <= CRASH_SEEN_S
                for attempt in failed
            )
        ]

    def _find_verdicts(self) -> set[int]:
        numbers = {line.get("verdict", 0) for line in self._request_lines}
        numbers |= {
            line["verdict"]
            for line in self._lines
            if line["event"] == "parts_quarantined" and self._contains(line)
        }
        return numbers - {0}

    def _contains(self, verdict_line: dict) -> bool:
        """Whether the request has the parts of a verdict, as far as lines tell."""
        named = set(verdict_line.get("parts", ()))
        is_cut = max(len(named), len(self._parts)) >= MAX_LOGGED_PARTS
        return bool(named & self._parts) if is_cut else named <= self._parts

    def _is_of_verdict(self, line: dict) -> bool:
        is_verdict = line["event"] in VERDICT_EVENTS
        return is_verdict and line.get("verdict") in self._verdicts

    def _is_related(self, line: dict) -> bool:
        if line in self._request_lines:
            return False
        if line["event"] in VERDICT_EVENTS:
            return self._is_of_verdict(line)
        return bool(self._parts & set(line.get("parts", ())))

    def _explain_refusal(self, line: dict) -> list[str]:
        reason = line.get("reason", "")
        if reason != "verdict":
            text = _REFUSALS.get(reason, f"no trial: {reason}")
            return [f"refused: {text}"]
        number = line.get("verdict")
        causes = [f"refused: verdict {number} names it or parts of its prompt"]
        for found in self._lines:
            if found.get("verdict") == number and found["event"] in VERDICT_EVENTS:
                causes.append(_describe_verdict(found))
        if len(causes) == 1:
            causes.append(f"the lines do not tell of the decision on verdict {number}")
        return causes

    def _explain_trial(self, line: dict) -> str:
        result = next(
            (
                found.get("result", "")
                for found in self._lines
                if found["event"] == "trial_ended"
                and found.get("trial") == line.get("trial")
                and found.get("instance") == line.get("instance")
            ),
            None,
        )
        text = f"sent as trial {line.get('trial')} of suspected parts of its prompt"
        if result is None:
            return f"{text}; the lines do not tell of its end"
        return f"{text}; {_RESULTS.get(result, result)}"


def _describe_verdict(line: dict) -> str:
    number, at = line["verdict"], line.get("timestamp", "an unknown time")
    parts = ", ".join(line.get("parts", ()))
    if line["event"] == "parts_quarantined":
        workspaces = ", ".join(line.get("workspaces", ())) or "all workspaces"
        return (
            f"verdict {number} was decided at {at} after {line.get('crashes', '?')}"
            f" crashes, on {parts}, for {workspaces}"
        )
    if line["event"] == "quarantine_lifted":
        by = line.get("operator") or line.get("reason", "")
        return f"verdict {number} was lifted at {at} by {by}"
    return f"verdict {number} was {line.get('reason', 'changed')} at {at}, on {parts}"
