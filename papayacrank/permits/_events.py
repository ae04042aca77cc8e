"""Log events of request rate limits that targets state."""

from papayacrank.kernel import LogEvent, declare_events

RATE_STATED = LogEvent(
    2201,
    "rate_limit_stated",
    "info",
    "A response of a target states another request rate limit than the last one, or"
    " none any more.",
)
RATE_UNREADABLE = LogEvent(
    2202,
    "rate_limit_unreadable",
    "warning",
    "A target states a request rate limit that is not a decimal number; it is ignored.",
    "Check the response headers of the target.",
)

declare_events(RATE_STATED, RATE_UNREADABLE)
