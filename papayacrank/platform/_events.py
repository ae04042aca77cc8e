"""Log events of the platform adapter."""

from papayacrank.kernel import LogEvent, declare_events

CONFIGURATION_REFUSED = LogEvent(
    8501,
    "configuration_refused",
    "warning",
    "An operator sent an invalid configuration.",
    "Correct the field that the error names.",
)
OPERATOR_ANSWERED = LogEvent(
    8502, "operator_answered", "info", "A response was sent to an operator."
)
SETTINGS_RELOADED = LogEvent(
    8503, "settings_reloaded", "info", "The settings file was reloaded."
)
SETTINGS_UNUSABLE = LogEvent(
    8504,
    "settings_unusable",
    "warning",
    "The changed settings file could not be loaded; the old settings stay in use.",
    "Correct the field that the error names.",
)

declare_events(
    CONFIGURATION_REFUSED, OPERATOR_ANSWERED, SETTINGS_RELOADED, SETTINGS_UNUSABLE
)
