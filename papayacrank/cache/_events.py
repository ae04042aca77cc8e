"""Log events of the prefix cache."""

from papayacrank.kernel import LogEvent, declare_events

EVENTS_GAP = LogEvent(
    6100,
    "cache_events_gap",
    "debug",
    "Cache events of an engine are missing; a replay or a listing was requested.",
    "None; if the event repeats, check the network to the engine.",
)
EVENTS_REPAIRED = LogEvent(
    6101,
    "cache_events_repaired",
    "debug",
    "The index of an engine's cache is complete again.",
)
EVENTS_MALFORMED = LogEvent(
    6102,
    "cache_events_malformed",
    "warning",
    "A cache event batch or listing could not be decoded and was dropped.",
    "Check that the engine publishes the documented format.",
)

declare_events(EVENTS_GAP, EVENTS_REPAIRED, EVENTS_MALFORMED)
