"""Log events of routing."""

from papayacrank.kernel import LogEvent, declare_events

TARGET_EJECTED = LogEvent(
    6000,
    "target_ejected",
    "warning",
    "A target is slower than its peers, or fails, and gets no requests for a while.",
    "Check the target if it repeats.",
)
TARGET_READMITTED = LogEvent(
    6001,
    "target_readmitted",
    "info",
    "A trial request to an ejected target was as fast as its peers.",
)

declare_events(TARGET_EJECTED, TARGET_READMITTED)
