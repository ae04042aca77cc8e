"""Log events of the transport subpackage."""

from papayacrank.kernel import LogEvent, declare_events

UNDECODABLE_MESSAGE = LogEvent(
    1001,
    "undecodable_message",
    "warning",
    "A message from another process could not be decoded and was discarded; `type` is"
    " the tag of its type.",
    "Check that all instances run compatible versions.",
)
HANDLER_FAILED = LogEvent(
    1002,
    "handler_failed",
    "error",
    "An event handler raised an exception; the event was discarded.",
    "Report the traceback; the process continues to serve requests.",
)
PROCESS_STARTED = LogEvent(1003, "process_started", "info", "The process started.")
PROCESS_STOPPED = LogEvent(1004, "process_stopped", "info", "The process stopped.")
SEND_QUEUE_FULL = LogEvent(
    1005,
    "send_queue_full",
    "debug",
    "A message was discarded because the peer is not connected or its queue is full.",
)

CALLER_INPUT_REFUSED = LogEvent(
    1006,
    "caller_input_refused",
    "info",
    "A connection sent an invalid request or timed out while sending one.",
)

LINK_TRAFFIC = LogEvent(
    1007,
    "link_traffic",
    "info",
    "Messages and bytes exchanged with other processes since the previous event, "
    "by type.",
)

EXCHANGE_FAILED = LogEvent(
    1008,
    "exchange_failed",
    "error",
    "The handling of a request raised an exception; its caller got status 500.",
    "Report the error; the process continues to serve requests.",
)

declare_events(
    EXCHANGE_FAILED,
    CALLER_INPUT_REFUSED,
    LINK_TRAFFIC,
    UNDECODABLE_MESSAGE,
    HANDLER_FAILED,
    PROCESS_STARTED,
    PROCESS_STOPPED,
    SEND_QUEUE_FULL,
)
