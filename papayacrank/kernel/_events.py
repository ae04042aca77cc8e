"""Numbered log events; the catalogue in docs/events.md is generated from them."""

import logging
import sys
from dataclasses import dataclass
from typing import Any, TextIO

import structlog

from ._log_stream import LINES_DROPPED, LINES_LOST, GuardedLogStream


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One kind of log line.

    Parameters
    ----------
    number : int
        Stable number, unique in the project.
    name : str
        Short snake_case name.
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    meaning : str
        What happened.
    action : str
        What an operator does about it.
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
        If a number is already taken by another event.
    """
    for event in events:
        known = _declared.setdefault(event.number, event)
        if known != event:
            raise ValueError(f"event {event.number} is declared twice")


def declared_events() -> list[LogEvent]:
    """Return all declared events, sorted by number."""
    return [_declared[number] for number in sorted(_declared)]


def configure_logging(
    process: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Write JSON log lines.

    Parameters
    ----------
    process : str
        Name of the process, added to each line.
    level : str
        Lowest level that is written.
    stream : file object, optional
        Receiver of the lines; standard error if None.
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
        Kind of the line.
    **fields : Any
        Additional fields. Keys, prompts and answer text must not be passed.
    """
    logger = structlog.get_logger()
    getattr(logger, event.level)(event.name, number=event.number, **fields)


# The log streams write these two lines themselves.
declare_events(
    LogEvent(
        *LINES_DROPPED,
        "info",
        "Log lines beyond the rate or the buffer were not written.",
        "Read the counters for what they would have told.",
    ),
    LogEvent(
        *LINES_LOST,
        "info",
        "Log lines could not be written; the stream failed for a while.",
        "Check the reader of the log.",
    ),
)
