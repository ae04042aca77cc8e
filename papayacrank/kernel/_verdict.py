"""Failures that state whether the request may have run."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Verdict(Enum):
    """Whether a request took effect at a target."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


@dataclass(frozen=True, slots=True)
class Failure:
    """Error side of a result.

    Parameters
    ----------
    code : str
        Stable identifier, for example ``"over_rate"``.
    verdict : Verdict
        Whether the request may have run.
    message : str
        Explanation for a person.
    status : int
        HTTP status towards the caller.
    retry_after_ms : int or None
        Earliest time after which a retry makes sense, in milliseconds.
    details : dict
        Further fields for the error body; values must be JSON-serializable.
    """

    code: str
    verdict: Verdict
    message: str
    status: int = 500
    retry_after_ms: int | None = None
    details: dict[str, Any] = field(default_factory=dict)
