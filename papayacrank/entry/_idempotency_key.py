"""Idempotency keys of non-idempotent actions."""

import re
import secrets
from datetime import UTC, datetime, timedelta

from expression import Error, Ok, Result

from papayacrank.kernel import Failure, Verdict

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RETENTION = timedelta(hours=24)
# Tolerance for clock skew between instances.
CLOCK_SKEW_MARGIN = timedelta(minutes=5)
_TIME_FORMAT = "%Y%m%dT%H%M%SZ"
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
_GENERATED_KEY_PATTERN = re.compile(r"generated-(\d{8}T\d{6}Z)-[0-9a-f]{32}")


def generate_key(now: datetime) -> str:
    """Return a new random key that contains its creation time."""
    time_text = now.astimezone(UTC).strftime(_TIME_FORMAT)
    return f"generated-{time_text}-{secrets.token_hex(16)}"


def resolve_key(header: str | None, now: datetime) -> Result[str, Failure]:
    """Validate the key of a request, or generate one if it is missing.

    Parameters
    ----------
    header : str or None
        Value of the ``Idempotency-Key`` header.
    now : datetime
        Current time with time zone.

    Returns
    -------
    Result
        Error side: 400 for a malformed key; 409 for a generated key whose record may
        have expired. The verdict is then "may have run", because the outcome of the
        action is no longer known.
    """
    if not header:
        return Ok(generate_key(now))
    if not _KEY_PATTERN.fullmatch(header):
        text = "Idempotency-Key must be 1 to 200 printable ASCII characters"
        return Error(Failure("invalid_idempotency_key", Verdict.NOT_RUN, text, 400))
    created = _parse_creation_time(header)
    if created is not None and now - created > RETENTION - CLOCK_SKEW_MARGIN:
        text = "the record of this generated idempotency key has expired"
        verdict = Verdict.MAY_HAVE_RUN
        return Error(Failure("idempotency_key_expired", verdict, text, 409))
    return Ok(header)


def _parse_creation_time(key: str) -> datetime | None:
    match = _GENERATED_KEY_PATTERN.fullmatch(key)
    if match is None:
        return None
    try:
        created = datetime.strptime(match.group(1), _TIME_FORMAT)
    except ValueError:
        return None
    return created.replace(tzinfo=UTC)
