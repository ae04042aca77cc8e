"""Validation of commands before they are appended to the log."""

from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from pydantic import ValidationError

from papayacrank.accounting import MAX_REFUSAL_CODES, new_histogram
from papayacrank.config import parse_configuration
from papayacrank.kernel import list_registered
from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    AbandonAction,
    BeginAction,
    Command,
    ConcludeRollout,
    FailureRecord,
    FileConfiguration,
    FinishAction,
    GrantKey,
    ReportUsage,
    StartRollout,
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
MAX_ROLLOUT_MS = 24 * 60 * 60 * 1000


def check_command(command: Command) -> FailureRecord | None:
    """Validate a command at the leader.

    `StateMachine.apply` doesn't include these checks, because it must give the same
    result in processes of different releases during a rolling upgrade.

    Parameters
    ----------
    command : Command
        Received command.

    Returns
    -------
    FailureRecord or None
        Failure if the command must not be appended to the log, otherwise None.
    """
    field = _find_oversized_field(command)
    if field is not None:
        return _invalid(f"{field} is longer than {MAX_NAME_CHARACTERS} characters")
    validate = _VALIDATORS.get(type(command))
    return validate(command) if validate else None


def _invalid(message: str) -> FailureRecord:
    return refuse("invalid_command", message, 400)


def _find_oversized_field(command: Any) -> str | None:
    for name in command.__struct_fields__:
        value = getattr(command, name)
        if name == "document" or not isinstance(value, str):
            continue
        if len(value) > MAX_NAME_CHARACTERS:
            return name
    return None


def _validate_configuration(command: FileConfiguration) -> FailureRecord | None:
    if len(command.document.encode()) > MAX_DOCUMENT_BYTES:
        return _invalid(f"document is larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        configuration = parse_configuration(command.document)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"]) or "(top level)"
        return _invalid(f"document: {location}: {first['msg']}")
    # An entry process that lacks the policy would fail to apply the whole document.
    known = list_registered(RoutingPolicy)
    if configuration.routing_policy not in known:
        return _invalid(f"document: routing_policy: expected one of {', '.join(known)}")
    return None


def _validate_grant(command: GrantKey) -> FailureRecord | None:
    length = len(command.digest)
    if not MIN_DIGEST_CHARACTERS <= length <= MAX_DIGEST_CHARACTERS:
        return _invalid("digest is no hexadecimal BLAKE2b-256 digest")
    if not command.key_id or not command.workspace:
        return _invalid("key_id and workspace must not be empty")
    return None


def _validate_action(
    command: BeginAction | AbandonAction,
) -> FailureRecord | None:
    if not command.workspace or not command.idempotency_key:
        return _invalid("workspace and idempotency_key must not be empty")
    return None


def _validate_finish(command: FinishAction) -> FailureRecord | None:
    if len(command.body) > MAX_ACTION_BODY_BYTES:
        return _invalid(f"body is larger than {MAX_ACTION_BODY_BYTES} bytes")
    return _validate_action(command)


def _validate_usage(command: ReportUsage) -> FailureRecord | None:
    if len(command.deltas) > MAX_USAGE_DELTAS or command.sequence < 1:
        return _invalid("sequence must be positive and the deltas bounded")
    for delta in command.deltas:
        if len(delta.refused_by_code) > MAX_REFUSAL_CODES:
            return _invalid("too many refusal codes")
        for histogram in (delta.ttft_histogram, delta.token_gap_histogram):
            if histogram and not _is_valid_histogram(histogram):
                return _invalid(
                    f"histogram of {delta.workspace} is damaged or has other bounds"
                )
    return None


def _validate_rollout(command: StartRollout) -> FailureRecord | None:
    if not command.service or not command.release:
        return _invalid("service and release must not be empty")
    if not 0 < command.duration_ms <= MAX_ROLLOUT_MS:
        return _invalid(f"duration_ms must be from 1 to {MAX_ROLLOUT_MS}")
    return None


def _validate_conclusion(command: ConcludeRollout) -> FailureRecord | None:
    if command.state not in (COMPLETED, ROLLED_BACK):
        return _invalid(f"state must be {COMPLETED} or {ROLLED_BACK}")
    return None


def _is_valid_histogram(encoded: bytes) -> bool:
    """Return whether a histogram can be decoded and has the bounds of `new_histogram`.

    Equal bounds keep merging fast: the library adds histograms with different bounds
    value by value, in Python.
    """
    try:
        histogram = HdrHistogram.decode(encoded)
    except Exception:  # the library raises various types on corrupt input
        return False
    expected = new_histogram()
    return (histogram.bucket_count, histogram.sub_bucket_count) == (
        expected.bucket_count,
        expected.sub_bucket_count,
    )


_VALIDATORS: dict[type, Callable] = {
    FileConfiguration: _validate_configuration,
    GrantKey: _validate_grant,
    BeginAction: _validate_action,
    AbandonAction: _validate_action,
    FinishAction: _validate_finish,
    ReportUsage: _validate_usage,
    StartRollout: _validate_rollout,
    ConcludeRollout: _validate_conclusion,
}
