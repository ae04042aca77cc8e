"""Numbered log events, from which docs/events.md is generated."""

import logging
import sys
from dataclasses import dataclass
from typing import Any, TextIO

import structlog

from ._log_stream import LINES_DROPPED, LINES_LOST, GuardedLogStream


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Type of a log line.

    Parameters
    ----------
    number : int
        Stable number, unique in the project.
    name : str
        Short name in snake_case.
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    meaning : str
        Description of the event.
    action : str
        Recommended action of the operator.
    """

    number: int
    name: str
    level: str
    meaning: str
    action: str = "None."


_declared: dict[int, LogEvent] = {}


def declare_events(*events: LogEvent) -> None:
    """Add events to the catalogue.

    Parameters
    ----------
    *events : LogEvent
        Events to declare. Declaring an equal event again has no effect.

    Raises
    ------
    ValueError
        If another event is already declared under the same number.
    """
    for event in events:
        existing = _declared.setdefault(event.number, event)
        if existing != event:
            raise ValueError(f"event number {event.number} is declared twice")


def declared_events() -> list[LogEvent]:
    """Return all declared events, sorted by number."""
    return [_declared[number] for number in sorted(_declared)]


def configure_logging(
    process: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Configure structlog to write JSON lines.

    Parameters
    ----------
    process : str
        Name of the process, which is added to each line.
    level : str
        Lowest log level that is written.
    stream : file object, optional
        Stream to write to; a guarded standard error if None.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(
            file=stream or GuardedLogStream(sys.stderr)
        ),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(process=process)


def log_event(event: LogEvent, **fields: Any) -> None:
    """Write one log line.

    Parameters
    ----------
    event : LogEvent
        Type of the line.
    **fields : Any
        Additional fields. API keys, prompts and response texts must not be logged.
    """
    logger = structlog.get_logger()
    getattr(logger, event.level)(event.name, number=event.number, **fields)


# The log streams write these two lines directly, not through `log_event`.
declare_events(
    LogEvent(
        *LINES_DROPPED,
        "info",
        "Log lines were dropped because of the rate limit or a full buffer.",
        "Use the metrics for the events that are missing from the log.",
    ),
    LogEvent(
        *LINES_LOST,
        "info",
        "Log lines were lost while writing to the log stream failed.",
        "Check the process that reads the log.",
    ),
)
