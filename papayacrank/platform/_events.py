"""Log events of the adapter."""

from papayacrank.kernel import LogEvent, declare_events

CONFIGURATION_REFUSED = LogEvent(
    8501,
    "configuration_refused",
    "warning",
    "An operator sent an invalid configuration.",
    "Correct the field that the line names.",
)
OPERATOR_ANSWERED = LogEvent(
    8502, "operator_answered", "info", "A call of an operator was answered."
)
SETTINGS_RELOADED = LogEvent(
    8503, "settings_reloaded", "info", "The settings file was read again."
)
SETTINGS_UNUSABLE = LogEvent(
    8504,
    "settings_unusable",
    "warning",
    "The settings file has changed and cannot be used; the old settings stay.",
    "Correct the field that the line names.",
)

declare_events(
    CONFIGURATION_REFUSED, OPERATOR_ANSWERED, SETTINGS_RELOADED, SETTINGS_UNUSABLE
)
