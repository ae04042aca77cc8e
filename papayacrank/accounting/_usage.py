"""Counts requests and tokens of each workspace, and merges usage reports."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from papayacrank.kernel import Failure, Verdict
from papayacrank.messages import ReportUsage, UsageDelta

from ._histogram import (
    HIGHEST_MS,
    LOWEST_MS,
    decode_histogram,
    encode_histogram,
    new_histogram,
)

MAX_PENDING_REPORTS = 60
MAX_REFUSAL_CODES = 64
OVERFLOW_CODE = "other"
SUMMED_FIELDS = tuple(
    field.name for field in msgspec.structs.fields(UsageDelta) if field.type is int
)
HISTOGRAM_FIELDS = ("ttft_histogram", "token_gap_histogram")


@dataclass(slots=True)
class _Counters:
    """Usage of one workspace since the last report."""

    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(SUMMED_FIELDS, 0)
    )
    refused_by_code: dict[str, int] = field(default_factory=dict)
    ttft: HdrHistogram = field(default_factory=new_histogram)
    token_gap: HdrHistogram = field(default_factory=new_histogram)

    def to_delta(self, workspace: str) -> UsageDelta:
        """Return the counters as a message."""
        return UsageDelta(
            workspace=workspace,
            refused_by_code=dict(self.refused_by_code),
            ttft_histogram=encode_histogram(self.ttft),
            token_gap_histogram=encode_histogram(self.token_gap),
            **self.counts,
        )


class UsageRecorder:
    """Collects usage and returns it in numbered reports.

    A report stays pending until it is confirmed. It is sent again under the same
    sequence number, so that the control group counts it only once. Usage since the last
    report is lost if the process is killed.

    Parameters
    ----------
    instance : str
        Name of the instance.
    boot : int
        Boot number, which identifies the process among those of the instance.
    """

    def __init__(self, instance: str, boot: int):
        self.instance = instance
        self.boot = boot
        self._counters: dict[str, _Counters] = {}
        self._pending: deque[ReportUsage] = deque()
        self._sequence = 0

    @property
    def pending(self) -> list[ReportUsage]:
        """Unconfirmed reports, oldest first."""
        return list(self._pending)

    def on_asked(self, workspace: str) -> None:
        """Count a received request whose workspace is known."""
        self._counters_for(workspace).counts["asked"] += 1

    def on_served(
        self,
        workspace: str,
        prompt_tokens: int = 0,
        cached_tokens: int = 0,
        output_tokens: int = 0,
        ttft_ms: int | None = None,
    ) -> None:
        """Count a request with a complete response.

        Parameters
        ----------
        workspace : str
            Workspace that is charged.
        prompt_tokens, cached_tokens, output_tokens : int
            Token counts; `prompt_tokens` includes `cached_tokens`.
        ttft_ms : int, optional
            Time to first token since the arrival of the request, in milliseconds.
        """
        counters = self._counters_for(workspace)
        counters.counts["served"] += 1
        self._add_tokens(counters, prompt_tokens, cached_tokens, output_tokens)
        if ttft_ms is not None:
            counters.ttft.record_value(_clamp(ttft_ms))

    def on_token_gap(self, workspace: str, gap_ms: int) -> None:
        """Record the time between two consecutive tokens, in milliseconds."""
        self._counters_for(workspace).token_gap.record_value(_clamp(gap_ms))

    def on_refused(
        self, workspace: str, failure: Failure, within_rate: bool = False
    ) -> None:
        """Count a request that was refused before it was executed."""
        counters = self._counters_for(workspace)
        counters.counts["refused"] += 1
        counters.counts["refused_within_rate"] += int(within_rate)
        codes = counters.refused_by_code
        codes[failure.code] = codes.get(failure.code, 0) + 1

    def on_failed(
        self,
        workspace: str,
        failure: Failure,
        prompt_tokens: int = 0,
        cached_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Count a request that failed after its admission."""
        counters = self._counters_for(workspace)
        counters.counts["failed"] += 1
        outcome_unknown = failure.verdict is Verdict.MAY_HAVE_RUN
        counters.counts["may_have_run"] += int(outcome_unknown)
        self._add_tokens(counters, prompt_tokens, cached_tokens, output_tokens)

    def on_action(self, workspace: str, finished: bool) -> None:
        """Count the outcome of a non-idempotent action."""
        name = "actions_finished" if finished else "actions_unknown"
        self._counters_for(workspace).counts[name] += 1

    def close_report(self, minute: int) -> ReportUsage | None:
        """Move the recorded usage into a new report.

        Parameters
        ----------
        minute : int
            Wall-clock minute since the epoch.

        Returns
        -------
        ReportUsage or None
            The new report, or None if nothing was recorded or `MAX_PENDING_REPORTS`
            reports are pending. In the latter case, the usage is kept for the next
            report.
        """
        if not self._counters or len(self._pending) >= MAX_PENDING_REPORTS:
            return None
        self._sequence += 1
        deltas = [c.to_delta(name) for name, c in sorted(self._counters.items())]
        report = ReportUsage(self.instance, self.boot, self._sequence, minute, deltas)
        self._counters = {}
        self._pending.append(report)
        return report

    def confirm(self, sequence: int) -> None:
        """Remove a pending report that the control group has stored."""
        self._pending = deque(r for r in self._pending if r.sequence != sequence)

    def _counters_for(self, workspace: str) -> _Counters:
        if workspace not in self._counters:
            self._counters[workspace] = _Counters()
        return self._counters[workspace]

    @staticmethod
    def _add_tokens(
        counters: _Counters, prompt_tokens: int, cached_tokens: int, output_tokens: int
    ) -> None:
        counts = counters.counts
        counts["prompt_tokens"] += prompt_tokens
        counts["cached_tokens"] += cached_tokens
        counts["output_tokens"] += output_tokens
        counts["charged_tokens"] += prompt_tokens + output_tokens


class UsageRow(msgspec.Struct, frozen=True):
    """Usage of one workspace.

    Attributes
    ----------
    minute : int
        First wall-clock minute that the row covers, since the epoch.
    minutes : int
        Number of minutes that the row covers; more than 1 for old, merged rows.
    """

    minute: int
    usage: UsageDelta
    minutes: int = 1


class UsageDocument(msgspec.Struct, frozen=True):
    """Usage rows of all workspaces.

    Attributes
    ----------
    now_minute : int
        Wall-clock minute since the epoch at which the document was created.
    """

    now_minute: int
    rows: list[UsageRow]


def parse_usage_view(view: list[dict], now_minute: int) -> UsageDocument:
    """Parse the usage view of the control group.

    Parameters
    ----------
    view : list of dict
        Flat rows with ``minute``, ``minutes`` and the fields of `UsageDelta`;
        histograms are encoded as ASCII text.
    now_minute : int
        Current wall-clock minute since the epoch.

    Returns
    -------
    UsageDocument
        The parsed rows.

    Raises
    ------
    ValueError
        If a row has unknown, missing or malformed fields.
    """
    rows = []
    for item in view:
        fields = dict(item)
        try:
            minute, minutes = fields.pop("minute"), fields.pop("minutes", 1)
            for name in HISTOGRAM_FIELDS:
                fields[name] = fields.get(name, "").encode("ascii")
            rows.append(UsageRow(minute, UsageDelta(**fields), minutes))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a row of usage: {error}") from error
    return UsageDocument(now_minute, rows)


def merge_usage(first: UsageDelta, second: UsageDelta) -> UsageDelta:
    """Add two usage deltas of the same workspace.

    Raises
    ------
    ValueError
        If the workspaces differ.
    """
    histograms = {
        name: merge_histograms(getattr(first, name), getattr(second, name))
        for name in HISTOGRAM_FIELDS
    }
    return add_counts(first, second, histograms)


def merge_histograms(first: bytes, second: bytes) -> bytes:
    """Add two encoded histograms; empty bytes stand for an empty histogram."""
    if not first or not second:
        return first or second
    merged = decode_histogram(first)
    merged.decode_and_add(second)
    return encode_histogram(merged)


def add_counts(
    first: UsageDelta, second: UsageDelta, histograms: dict[str, bytes]
) -> UsageDelta:
    """Add the counts of two usage deltas and attach merged histograms.

    Parameters
    ----------
    first, second : UsageDelta
        Usage of the same workspace.
    histograms : dict of str to bytes
        Merged histograms by name, one for each name in `HISTOGRAM_FIELDS`.

    Returns
    -------
    UsageDelta
        The sum. Refusal codes beyond `MAX_REFUSAL_CODES` are added up as
        ``"other"``.

    Raises
    ------
    ValueError
        If the workspaces differ.
    """
    if first.workspace != second.workspace:
        raise ValueError(
            f"{first.workspace} and {second.workspace} are different workspaces; "
            "their usage cannot be added"
        )
    sums = {n: getattr(first, n) + getattr(second, n) for n in SUMMED_FIELDS}
    codes = dict(first.refused_by_code)
    for code, count in second.refused_by_code.items():
        has_own_count = code in codes or len(codes) < MAX_REFUSAL_CODES
        name = code if has_own_count else OVERFLOW_CODE
        codes[name] = codes.get(name, 0) + count
    return UsageDelta(first.workspace, refused_by_code=codes, **sums, **histograms)


def _clamp(value_ms: int) -> int:
    return min(max(value_ms, LOWEST_MS), HIGHEST_MS)
