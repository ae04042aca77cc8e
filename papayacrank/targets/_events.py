"""Log events of the connections to targets."""

from papayacrank.kernel import LogEvent, declare_events

TARGET_ATTEMPT_FAILED = LogEvent(
    5001,
    "target_attempt_failed",
    "debug",
    "An attempt at a target failed; the requester decides whether to retry it.",
)
WRONG_ANSWER = LogEvent(
    5002,
    "wrong_answer",
    "error",
    "A target sent the response to another request; it was not delivered.",
    "Take the target out of service and check it.",
)
IDLE_CONNECTION_SILENT = LogEvent(
    5003,
    "idle_connection_silent",
    "info",
    "An idle connection did not answer a probe and was closed.",
    "If frequent, look for a network device that drops idle connections.",
)
MALFORMED_LOAD_REPORT = LogEvent(
    5004,
    "malformed_load_report",
    "warning",
    "The load report of an engine could not be decoded.",
    "Check the version of the engine.",
)
MALFORMED_CACHE_MESSAGE = LogEvent(
    5005,
    "malformed_cache_message",
    "warning",
    "A cache event message could not be decoded and was dropped.",
    "Check the version of the engine.",
)
CANCEL_FAILED = LogEvent(
    5006,
    "cancel_failed",
    "info",
    "A cancel request failed; the engine only sees that the connection was closed.",
)

declare_events(
    TARGET_ATTEMPT_FAILED,
    WRONG_ANSWER,
    IDLE_CONNECTION_SILENT,
    MALFORMED_LOAD_REPORT,
    MALFORMED_CACHE_MESSAGE,
    CANCEL_FAILED,
)
