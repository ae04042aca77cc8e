"""Log events of request forwarding."""

from papayacrank.kernel import LogEvent, declare_events

ROLLOUT_STATE_APPLIED = LogEvent(
    2121,
    "rollout_state_applied",
    "info",
    "New requests of a service follow the start or the verdict of a rollout.",
)
REQUEST_ENDED = LogEvent(
    2101,
    "request_ended",
    "info",
    "A forwarded request got its final response, or its caller disconnected.",
    "For a failure, look up `code` in docs/OPERATIONS.md.",
)
ATTEMPT_FAILED = LogEvent(
    2102,
    "attempt_failed",
    "info",
    "A target refused a request or failed while running it; the request may be"
    " retried.",
)
REQUEST_REPEATED = LogEvent(
    2122,
    "request_repeated",
    "info",
    "A request is sent to a further target. `after` is the outcome of the attempt"
    " before, `allowed_by` why it may be sent again: it has not run (`not_run`), its"
    " route is idempotent, or its stream is resumable.",
)
TARGET_AVOIDED = LogEvent(
    2103,
    "target_avoided",
    "warning",
    "A target is ejected for a while because it failed or was unreachable.",
    "Check the health of the target.",
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
    2106, "fleet_applied", "info", "This instance applies a new list of targets."
)
FORWARDING_READY = LogEvent(
    2107,
    "forwarding_ready",
    "info",
    "This instance is ready to forward requests. Fields that end in `_after_ms` are "
    "the times from the start of the process to its first acknowledged heartbeat, "
    "configuration, list of targets and readiness.",
)
STOP_STARTED = LogEvent(
    2108, "forwarding_stopping", "info", "A graceful stop began; open requests finish."
)
CONTROL_LOST = LogEvent(
    2109,
    "forwarding_control_lost",
    "warning",
    "No heartbeat was acknowledged in time; the last known state stays in use.",
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
    "A store of cached prompt parts restarted or became unavailable; its contents are"
    " assumed lost.",
)

TARGET_PAUSED = LogEvent(
    2112,
    "target_paused",
    "info",
    "A target refused a request and accepts none from this instance for a while.",
)
WEIGHTS_ASSUMED = LogEvent(
    2114,
    "weights_assumed",
    "info",
    "A target refused the version of its weights that the view shows; for some time it"
    " is taken to run the named one.",
)
TARGET_LEAVING = LogEvent(
    2113,
    "target_says_leaving",
    "info",
    "A response of a target announces its removal; it gets no further requests.",
)
RESPONSES_TOO_LARGE = LogEvent(
    2115,
    "responses_too_large",
    "warning",
    "All open responses of targets together reached the limit; the largest was ended.",
    "Check the target at `address`: it may send bytes without end.",
)

PATH_LOST = LogEvent(
    2116,
    "path_lost",
    "warning",
    "No target can be reached from this instance; requests are passed on to other"
    " instances, and callers get the addresses of those.",
    "Check the network between this instance and the targets.",
)
PATH_REGAINED = LogEvent(
    2117, "path_regained", "info", "A target can be reached from this instance again."
)
REQUEST_RELAYED = LogEvent(
    2118,
    "request_relayed",
    "info",
    "A request was passed on to another instance, which has a path to the targets.",
)

REFUSAL_LIMIT_STATED = LogEvent(
    2119,
    "refusal_limit_stated",
    "warning",
    "A target states that it fails if it refuses more than `limit` requests in a"
    " second; targets of the service get no request that they might not start at once.",
)

SERVICE_BEHIND = LogEvent(
    2125,
    "service_behind",
    "warning",
    "Requests to a service are forecast to be late; it is shared between workspaces"
    " by urgency and rate.",
    "Look for targets that are out of service, or a workspace that asks for much more"
    " than before; otherwise add targets.",
)
SERVICE_CAUGHT_UP = LogEvent(
    2126,
    "service_caught_up",
    "info",
    "Requests to a service are forecast to be in time again.",
)

REQUEST_UNREAD = LogEvent(
    2141,
    "request_unread",
    "warning",
    "A request was ended because its target has stopped reading it, or reads it the"
    " slowest while the buffers of the process are at their limit.",
    "Check the target at `address`.",
)

declare_events(
    SERVICE_BEHIND,
    SERVICE_CAUGHT_UP,
    REQUEST_UNREAD,
    REFUSAL_LIMIT_STATED,
    PATH_LOST,
    PATH_REGAINED,
    REQUEST_RELAYED,
    TARGET_PAUSED,
    TARGET_LEAVING,
    WEIGHTS_ASSUMED,
    RESPONSES_TOO_LARGE,
    STORE_CHANGED,
    REQUEST_ENDED,
    ROLLOUT_STATE_APPLIED,
    ATTEMPT_FAILED,
    REQUEST_REPEATED,
    TARGET_AVOIDED,
    REQUEST_REFUSED,
    ROUTING_APPLIED,
    FLEET_APPLIED,
    FORWARDING_READY,
    STOP_STARTED,
    CONTROL_LOST,
    CONTROL_REGAINED,
)
