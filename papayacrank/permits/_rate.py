"""Request rates that targets state in their responses."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

# A decimal number without a sign or an exponent.
_DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)
MAX_LOGGED_CHARACTERS = 40


@dataclass(frozen=True, slots=True)
class RateStatement:
    """Request rate limit as stated in one response.

    Parameters
    ----------
    per_s : float or None
        Requests per second that the target accepts from all instances together; None
        if no value is readable.
    text : str
        Start of the values as received, for the log.
    """

    per_s: float | None
    text: str


def read_rate_statement(values: Iterable[str]) -> RateStatement | None:
    """Parse the values of a header that states a request rate limit.

    Parameters
    ----------
    values : iterable of str
        Value of each header with the name; each may be a comma-separated list.

    Returns
    -------
    RateStatement or None
        The lowest readable rate; None if there is no such header. Negative numbers,
        exponents, infinity and other text are not readable.
    """
    values = list(values)
    if not values:
        return None
    parts = [part.strip() for value in values for part in value.split(",")]
    rates = [float(part) for part in parts if _DECIMAL.fullmatch(part)]
    text = ", ".join(values)[:MAX_LOGGED_CHARACTERS]
    return RateStatement(min(rates, default=None), text)
