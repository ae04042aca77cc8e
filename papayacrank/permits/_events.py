"""Log events of request rate limits that targets state."""

from papayacrank.kernel import LogEvent, declare_events

RATE_STATED = LogEvent(
    2201,
    "rate_limit_stated",
    "info",
    "A response of a target states a request rate limit that is new or lower than the"
    " known one.",
)
RATE_UNREADABLE = LogEvent(
    2202,
    "rate_limit_unreadable",
    "warning",
    "A target states a request rate limit that is not a decimal number; it is ignored.",
    "Check the response headers of the target.",
)
RATE_DECIDED = LogEvent(
    2203,
    "rate_limit_decided",
    "info",
    "The leader applies a request rate limit of a target to all instances together, or"
    " ends it.",
)
PERMITS_ALLOCATED = LogEvent(
    2204,
    "permits_allocated",
    "info",
    "Permits for a target with a request rate limit, by instance, since the last such"
    " line.",
)
PERMIT_REFUSED = LogEvent(
    2205,
    "permit_refused",
    "info",
    "A request got no permit for a target with a request rate limit; another target is"
    " tried.",
)

declare_events(
    RATE_STATED, RATE_UNREADABLE, RATE_DECIDED, PERMITS_ALLOCATED, PERMIT_REFUSED
)
