"""Failures that state whether the failed request may have been executed."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Verdict(Enum):
    """Whether a request was executed by a target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class Failure:
    """Error value of a result.

    Parameters
    ----------
    code : str
        Stable error code, for example ``"over_rate"``.
    verdict : Verdict
        Whether the request may have been executed.
    message : str
        Human-readable explanation.
    status : int
        HTTP status code of the response to the caller.
    retry_after_ms : int or None
        Minimum delay before a retry, in milliseconds.
    details : dict
        Additional fields of the error body; values must be JSON-serializable.
    """

    code: str
    verdict: Verdict
    message: str
    status: int = 500
    retry_after_ms: int | None = None
    details: dict[str, Any] = field(default_factory=dict)
