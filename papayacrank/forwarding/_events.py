"""Log events of the forwarding of requests."""

from papayacrank.kernel import LogEvent, declare_events

REQUEST_ENDED = LogEvent(
    2101,
    "request_ended",
    "info",
    "A forwarded request has its final answer, or its caller left.",
    "For a failure, follow `code` as docs/OPERATIONS.md describes.",
)
ATTEMPT_FAILED = LogEvent(
    2102,
    "attempt_failed",
    "info",
    "A target refused a request or failed while it ran; it may be sent again.",
)
TARGET_AVOIDED = LogEvent(
    2103,
    "target_avoided",
    "warning",
    "A target gets no requests for a while, because it failed or was unreachable.",
    "Check the target.",
)
REQUEST_REFUSED = LogEvent(
    2104,
    "request_refused",
    "info",
    "A request was refused before it was sent to any target.",
)
ROUTING_APPLIED = LogEvent(
    2105, "routing_applied", "info", "This instance applies a routing configuration."
)
FLEET_APPLIED = LogEvent(
    2106, "fleet_applied", "info", "This instance applies a new view of the targets."
)
FORWARDING_READY = LogEvent(
    2107, "forwarding_ready", "info", "This instance forwards requests of callers."
)
STOP_STARTED = LogEvent(
    2108, "forwarding_stopping", "info", "A planned stop began; open requests go on."
)
CONTROL_LOST = LogEvent(
    2109,
    "forwarding_control_lost",
    "warning",
    "No heartbeat was acknowledged for too long; the last known state stays in use.",
    "Check the network between this instance and the control group.",
)
CONTROL_REGAINED = LogEvent(
    2110,
    "forwarding_control_regained",
    "info",
    "The control group acknowledges heartbeats again.",
)
STORE_CHANGED = LogEvent(
    2111,
    "prompt_store_changed",
    "info",
    "A store of cached prompt parts restarted or stopped answering; what it had is"
    " forgotten.",
)

TARGET_PAUSED = LogEvent(
    2112,
    "target_paused",
    "info",
    "A target turned a request away and wants nothing from this instance for a while.",
)
TARGET_LEAVING = LogEvent(
    2113,
    "target_says_leaving",
    "info",
    "An answer of a target says that it is leaving; it gets no further requests.",
)

declare_events(
    TARGET_PAUSED,
    TARGET_LEAVING,
    STORE_CHANGED,
    REQUEST_ENDED,
    ATTEMPT_FAILED,
    TARGET_AVOIDED,
    REQUEST_REFUSED,
    ROUTING_APPLIED,
    FLEET_APPLIED,
    FORWARDING_READY,
    STOP_STARTED,
    CONTROL_LOST,
    CONTROL_REGAINED,
)
