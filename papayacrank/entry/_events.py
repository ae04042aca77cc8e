"""Log events of the entry process."""

from papayacrank.kernel import LogEvent, declare_events

CONTACT_LOST = LogEvent(
    2001,
    "control_contact_lost",
    "warning",
    "No heartbeat was acknowledged within the limit; requests with a key are refused.",
    "Check the network between this instance and the control group.",
)
CONTACT_REGAINED = LogEvent(
    2002,
    "control_contact_regained",
    "info",
    "The control group acknowledges heartbeats again.",
)
KEY_WITHDRAWN = LogEvent(
    2003,
    "key_withdrawn",
    "info",
    "A key was withdrawn; its running requests were terminated.",
)
ACTION_RECORD_FAILED = LogEvent(
    2004,
    "action_record_failed",
    "error",
    "The outcome of an action could not be recorded.",
    "Compare the records of the service with the actions shown by papayacrank-admin.",
)
WARMUP_FINISHED = LogEvent(
    2005, "warmup_finished", "info", "Copying a peer's routing state has ended."
)
ANNOUNCED = LogEvent(
    2006, "announced", "info", "The instance announced that it serves callers."
)
DRAIN_STARTED = LogEvent(
    2007,
    "drain_started",
    "info",
    "A planned stop has started; no request is interrupted.",
)
DRAIN_FINISHED = LogEvent(
    2008, "drain_finished", "info", "All requests have ended; the process stops."
)
FLOW_FAILED = LogEvent(
    2009,
    "request_flow_failed",
    "error",
    "An internal error ended a request.",
    "Report the log lines of this request id.",
)
CONFIGURATION_APPLIED = LogEvent(
    2010, "configuration_applied", "info", "This instance applied a new configuration."
)
WARMUP_PAGE_REFUSED = LogEvent(
    2011,
    "warmup_page_refused",
    "warning",
    "A page of a peer's routing state could not be decoded.",
    "Check that all instances run compatible versions.",
)

declare_events(
    CONTACT_LOST,
    CONTACT_REGAINED,
    KEY_WITHDRAWN,
    ACTION_RECORD_FAILED,
    WARMUP_FINISHED,
    ANNOUNCED,
    DRAIN_STARTED,
    DRAIN_FINISHED,
    FLOW_FAILED,
    CONFIGURATION_APPLIED,
    WARMUP_PAGE_REFUSED,
)
