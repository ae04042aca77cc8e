"""Log events of the quarantine of requests and prompt parts."""

from collections.abc import Iterable

from papayacrank.kernel import LogEvent, declare_events

from ._names import is_request

# Names of parts are texts of callers: their share of a log line is bounded.
MAX_LOGGED_PARTS = 8
MAX_LOGGED_PART_CHARS = 64


def format_parts(parts: Iterable[str]) -> list[str]:
    """Return names as they appear in log lines, those of requests first."""
    names = sorted(parts, key=lambda name: (not is_request(name), name))
    return [name[:MAX_LOGGED_PART_CHARS] for name in names[:MAX_LOGGED_PARTS]]


CRASH_SEEN = LogEvent(
    2211,
    "target_crash_seen",
    "warning",
    "A target has crashed while it held requests of this process that it had not begun"
    " to answer. `parts` are the names of these requests and of their prompt parts,"
    " which are reported to the leader.",
)
PART_SUSPECTED = LogEvent(
    2212,
    "parts_suspected",
    "info",
    "The leader counts a crash against requests and prompt parts; `on_trial` lists"
    " those of which only one request at a time may be sent.",
)
PARTS_CLEARED = LogEvent(
    2213,
    "parts_cleared",
    "info",
    "Requests or prompt parts are not suspected any more: a target has answered a"
    " request with them, or a verdict explains the crashes.",
)
TRIAL_GRANTED = LogEvent(
    2214,
    "trial_granted",
    "info",
    "The leader grants a request that is suspected or has suspected prompt parts; the"
    " instance that sends it adds the id of the request.",
)
TRIAL_ENDED = LogEvent(
    2215,
    "trial_ended",
    "info",
    "A request on trial has ended: `crash`, `success`, `none` (ended"
    " otherwise) or `lost` (its instance did not report the end).",
)
VERDICT = LogEvent(
    2216,
    "parts_quarantined",
    "warning",
    "Requests with all of these names, of the request itself or of prompt parts, crash"
    " targets and are refused from now on.",
    "Inform the owner of the workspaces. `papayacrank-admin quarantine` lists and lifts"
    " verdicts.",
)
VERDICT_CHANGED = LogEvent(
    2217,
    "quarantine_changed",
    "warning",
    "A verdict was narrowed to fewer names, widened to more workspaces, or confirmed"
    " by a failed trial.",
)
VERDICT_LIFTED = LogEvent(
    2218,
    "quarantine_lifted",
    "warning",
    "Requests with these names are accepted again.",
)
REQUEST_REFUSED = LogEvent(
    2219,
    "quarantine_refused",
    "info",
    "A request was refused because it or its prompt parts crash targets.",
)
LOSS_NOT_COUNTED = LogEvent(
    2220,
    "loss_not_counted",
    "info",
    "A target lost connections with requests that it had not begun to answer, and its"
    " address did not refuse connections within `checked_ms`. This is no crash:"
    " nothing is reported to the leader.",
)

declare_events(
    CRASH_SEEN,
    PART_SUSPECTED,
    PARTS_CLEARED,
    TRIAL_GRANTED,
    TRIAL_ENDED,
    VERDICT,
    VERDICT_CHANGED,
    VERDICT_LIFTED,
    REQUEST_REFUSED,
    LOSS_NOT_COUNTED,
)
