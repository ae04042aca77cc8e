"""Response headers by which a target announces departure, a pause or a rate limit."""

import re
import time
from email.utils import parsedate_to_datetime

from papayacrank.permits import RateStatement, read_rate_statement

SERVER_LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
# Requests per second that the server accepts from all machines together.
SERVER_LIMIT = "server-limit"
# Refusals for want of room in a second that the server bears.
SERVER_BRITTLE = "server-brittle"
# Status of a response whose RETRY_AFTER requests a pause.
SERVICE_UNAVAILABLE = 503
MS_PER_SECOND = 1_000
_SECONDS = re.compile(r"\d{1,9}(\.\d*)?|\.\d+", re.ASCII)


def has_leaving_header(headers: list[tuple[str, str]]) -> bool:
    """Return whether the headers announce that the target is leaving.

    Parameters
    ----------
    headers : list of (str, str)
        Headers with names in lower case.
    """
    return any(n == SERVER_LEAVING and v.strip() == "1" for n, v in headers)


def read_pause_ms(status: int, headers: list[tuple[str, str]]) -> int | None:
    """Return the pause that a target requests by Retry-After, in milliseconds.

    The longest of several values is used. Negative numbers and text that is neither a
    number of seconds nor a date are ignored.

    Parameters
    ----------
    status : int
        Status code of the response.
    headers : list of (str, str)
        Headers with names in lower case.

    Returns
    -------
    int or None
        None if no pause is requested or no value is valid.
    """
    if status != SERVICE_UNAVAILABLE:
        return None
    values = [
        part
        for name, value in headers
        if name == RETRY_AFTER
        for part in (value, *value.split(","))
    ]
    pauses = [p for p in map(_read_pause, values) if p is not None]
    return max(pauses, default=None)


def read_rate(headers: list[tuple[str, str]]) -> RateStatement | None:
    """Return the request rate limit that a target states, None if it states none.

    Parameters
    ----------
    headers : list of (str, str)
        Headers with names in lower case.
    """
    return read_rate_statement(v for n, v in headers if n == SERVER_LIMIT)


def read_refusal_limit(headers: list[tuple[str, str]]) -> float | None:
    """Return how many refusals in a second a target bears, None if it states none.

    A value that is not readable counts as 0.

    Parameters
    ----------
    headers : list of (str, str)
        Headers with names in lower case.
    """
    statement = read_rate_statement(v for n, v in headers if n == SERVER_BRITTLE)
    if statement is None:
        return None
    return statement.per_s or 0.0


def _read_pause(text: str) -> int | None:
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return round(float(text) * MS_PER_SECOND)
    try:
        until_s = parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        return None
    return max(0, round((until_s - time.time()) * MS_PER_SECOND))
