"""Log events of routing."""

from papayacrank.kernel import LogEvent, declare_events

TARGET_EJECTED = LogEvent(
    6000,
    "target_ejected",
    "warning",
    "A target is slower than its peers or fails; it receives no requests for a time.",
    "Check the target if the event repeats.",
)
TARGET_READMITTED = LogEvent(
    6001,
    "target_readmitted",
    "info",
    "An ejected target served a trial request as fast as its peers.",
)

declare_events(TARGET_EJECTED, TARGET_READMITTED)
