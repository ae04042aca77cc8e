"""Checks of commands before they enter the log."""

from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from pydantic import ValidationError

from papayacrank.accounting import MAX_REFUSAL_CODES, new_histogram
from papayacrank.config import parse_configuration
from papayacrank.kernel import list_registered
from papayacrank.messages import (
    AbandonAction,
    BeginAction,
    Command,
    FailureRecord,
    FileConfiguration,
    FinishAction,
    GrantKey,
    ReportUsage,
)
from papayacrank.routing import RoutingPolicy

from ._base import refuse
from ._limits import (
    MAX_ACTION_BODY_BYTES,
    MAX_DIGEST_CHARACTERS,
    MAX_DOCUMENT_BYTES,
    MAX_NAME_CHARACTERS,
)

MIN_DIGEST_CHARACTERS = 64
MAX_USAGE_DELTAS = 1_000


def check_command(command: Command) -> FailureRecord | None:
    """Check a command at the leader.

    The checks are kept out of `StateMachine.apply`, which must decide alike in
    processes of different releases while they are being replaced.

    Parameters
    ----------
    command : Command
        Command as received.

    Returns
    -------
    FailureRecord or None
        Failure if the command must not enter the log.
    """
    long = _find_long_field(command)
    if long is not None:
        return _invalid(f"{long} is longer than {MAX_NAME_CHARACTERS} characters")
    check = _CHECKS.get(type(command))
    return check(command) if check else None


def _invalid(message: str) -> FailureRecord:
    return refuse("invalid_command", message, 400)


def _find_long_field(command: Any) -> str | None:
    for name in command.__struct_fields__:
        value = getattr(command, name)
        if name == "document" or not isinstance(value, str):
            continue
        if len(value) > MAX_NAME_CHARACTERS:
            return name
    return None


def _check_configuration(command: FileConfiguration) -> FailureRecord | None:
    if len(command.document.encode()) > MAX_DOCUMENT_BYTES:
        return _invalid(f"document is larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        configuration = parse_configuration(command.document)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "(top level)"
        return _invalid(f"document: {where}: {first['msg']}")
    # An entry process that does not know the policy could not apply the rest either.
    known = list_registered(RoutingPolicy)
    if configuration.routing_policy not in known:
        return _invalid(f"document: routing_policy: expected one of {', '.join(known)}")
    return None


def _check_grant(command: GrantKey) -> FailureRecord | None:
    length = len(command.digest)
    if not MIN_DIGEST_CHARACTERS <= length <= MAX_DIGEST_CHARACTERS:
        return _invalid("digest is no hexadecimal BLAKE2b-256 digest")
    if not command.key_id or not command.workspace:
        return _invalid("key_id and workspace must not be empty")
    return None


def _check_action(
    command: BeginAction | AbandonAction,
) -> FailureRecord | None:
    if not command.workspace or not command.idempotency_key:
        return _invalid("workspace and idempotency_key must not be empty")
    return None


def _check_finish(command: FinishAction) -> FailureRecord | None:
    if len(command.body) > MAX_ACTION_BODY_BYTES:
        return _invalid(f"body is larger than {MAX_ACTION_BODY_BYTES} bytes")
    return _check_action(command)


def _check_usage(command: ReportUsage) -> FailureRecord | None:
    if len(command.deltas) > MAX_USAGE_DELTAS or command.sequence < 1:
        return _invalid("sequence must be positive and the deltas bounded")
    for delta in command.deltas:
        if len(delta.refused_by_code) > MAX_REFUSAL_CODES:
            return _invalid("too many refusal codes")
        for histogram in (delta.ttft_histogram, delta.token_gap_histogram):
            if histogram and not _is_histogram(histogram):
                return _invalid(
                    f"histogram of {delta.workspace} is damaged or has other bounds"
                )
    return None


def _is_histogram(encoded: bytes) -> bool:
    """Return whether a histogram can be decoded and has the bounds of all others.

    The library adds histograms of different bounds value by value, in Python.
    """
    try:
        histogram = HdrHistogram.decode(encoded)
    except Exception:  # the library raises many types on damaged input
        return False
    expected = new_histogram()
    return (histogram.bucket_count, histogram.sub_bucket_count) == (
        expected.bucket_count,
        expected.sub_bucket_count,
    )


_CHECKS: dict[type, Callable] = {
    FileConfiguration: _check_configuration,
    GrantKey: _check_grant,
    BeginAction: _check_action,
    AbandonAction: _check_action,
    FinishAction: _check_finish,
    ReportUsage: _check_usage,
}
