"""Usage totals per workspace and minute."""

import msgspec
from hdrh.histogram import HdrHistogram

from papayacrank.messages import Done, FailureRecord, ReportUsage, UsageDelta

from ._base import Table, refuse
from ._limits import (
    MAX_MINUTE_SKEW,
    MAX_REFUSAL_CODES,
    MAX_USAGE_GAP,
    MAX_USAGE_ROWS,
    MAX_USAGE_SENDERS,
)

MINUTE_MS = 60_000
HISTOGRAM_LOWEST_MS = 1
HISTOGRAM_HIGHEST_MS = 3_600_000
HISTOGRAM_DIGITS = 2
OTHER_CODES = "other"

_COUNTERS = tuple(
    field.name for field in msgspec.structs.fields(UsageDelta) if field.type is int
)
_HISTOGRAMS = ("ttft_histogram", "token_gap_histogram")


class UsageRow(msgspec.Struct, frozen=True):
    """Totals of one workspace over a span of minutes."""

    minute: int
    minutes: int
    usage: UsageDelta


class SenderRow(msgspec.Struct):
    """Which reports of a process have been added.

    Attributes
    ----------
    through : int
        All sequence numbers up to this one have been added.
    beyond : list of int
        Later numbers that have been added.
    """

    instance: str
    boot: int
    through: int = 0
    beyond: list[int] = []


class UsageDump(msgspec.Struct):
    """Snapshot form of `UsageTable`."""

    rows: list[UsageRow]
    senders: list[SenderRow]
    dropped_before_minute: int


class UsageTable(Table):
    """Totals in which every report counts once.

    When the table is full, the oldest minute is folded into the totals of its hour;
    when only hours are left, the oldest hours are folded into the one after them.
    No counted request is lost, only the resolution of old totals.
    """

    def __init__(self):
        self._rows: dict[tuple[int, str], UsageRow] = {}
        self._senders: dict[tuple[str, int], SenderRow] = {}
        self._folded_before = 0

    @property
    def rows(self) -> list[UsageRow]:
        """All totals, sorted by minute and workspace."""
        return [self._rows[key] for key in sorted(self._rows)]

    def add(self, command: ReportUsage, wall_ms: int) -> Done | FailureRecord:
        """Add a report unless its sequence number was already added."""
        sender = self._find_sender(command)
        if command.sequence <= sender.through or command.sequence in sender.beyond:
            return Done()
        if command.sequence > sender.through + MAX_USAGE_GAP:
            return refuse("sequence_gap", "too many reports before this are missing")
        self._mark(sender, command.sequence)
        minute = self._clamp(command.minute, wall_ms)
        for delta in command.deltas:
            self._book(minute, 1, delta)
        self._fold()
        return Done()

    def dump(self) -> UsageDump:
        """Return the content for a snapshot."""
        senders = list(self._senders.values())
        return UsageDump(self.rows, senders, self._folded_before)

    def load(self, dumped: UsageDump) -> None:
        """Restore the content of a snapshot."""
        self._rows = {(row.minute, row.usage.workspace): row for row in dumped.rows}
        self._senders = {(row.instance, row.boot): row for row in dumped.senders}
        self._folded_before = dumped.dropped_before_minute

    def _find_sender(self, command: ReportUsage) -> SenderRow:
        key = (command.instance, command.boot)
        sender = self._senders.pop(key, None)
        if sender is None:
            sender = SenderRow(command.instance, command.boot)
        self._senders[key] = sender
        while len(self._senders) > MAX_USAGE_SENDERS:
            del self._senders[next(iter(self._senders))]
        return sender

    @staticmethod
    def _mark(sender: SenderRow, sequence: int) -> None:
        beyond = {*sender.beyond, sequence}
        while sender.through + 1 in beyond:
            sender.through += 1
            beyond.discard(sender.through)
        sender.beyond = sorted(beyond)

    @staticmethod
    def _clamp(minute: int, wall_ms: int) -> int:
        """Book reports of a process whose wall clock is wrong on the leader's time."""
        now = wall_ms // MINUTE_MS
        return min(max(minute, now - MAX_MINUTE_SKEW), now + 1)

    def _book(self, minute: int, minutes: int, delta: UsageDelta) -> None:
        if minute < self._folded_before and minutes == 1:
            minute, minutes = minute - minute % 60, 60
        row = self._rows.get((minute, delta.workspace))
        if row is not None:
            delta = merge_usage(row.usage, delta)
            minutes = max(minutes, row.minutes)
        else:
            delta = merge_usage(UsageDelta(delta.workspace), delta)
        self._rows[(minute, delta.workspace)] = UsageRow(minute, minutes, delta)

    def _fold(self) -> None:
        while len(self._rows) > MAX_USAGE_ROWS:
            minutes = sorted(
                {key[0] for key, row in self._rows.items() if row.minutes == 1}
            )
            if minutes:
                self._fold_minute(minutes[0])
            else:
                self._fold_oldest_span()

    def _fold_minute(self, minute: int) -> None:
        hour_end = minute - minute % 60 + 60
        self._folded_before = max(self._folded_before, hour_end)
        keys = [
            key
            for key, row in self._rows.items()
            if row.minutes == 1 and key[0] < hour_end
        ]
        for row in [self._rows.pop(key) for key in sorted(keys)]:
            self._book(row.minute, 1, row.usage)

    def _fold_oldest_span(self) -> None:
        starts = sorted({key[0] for key in self._rows})
        first, second = starts[0], starts[1]
        keys = sorted(key for key in self._rows if key[0] == second)
        for row in [self._rows.pop(key) for key in keys]:
            self._book(first, second - first + row.minutes, row.usage)


def merge_usage(total: UsageDelta, delta: UsageDelta) -> UsageDelta:
    """Add two usages of one workspace."""
    merged = {name: getattr(total, name) + getattr(delta, name) for name in _COUNTERS}
    for name in _HISTOGRAMS:
        merged[name] = merge_histograms(getattr(total, name), getattr(delta, name))
    codes = dict(total.refused_by_code)
    for code, count in delta.refused_by_code.items():
        known = code in codes or len(codes) < MAX_REFUSAL_CODES
        name = code if known else OTHER_CODES
        codes[name] = codes.get(name, 0) + count
    return UsageDelta(total.workspace, refused_by_code=codes, **merged)


def merge_histograms(first: bytes, second: bytes) -> bytes:
    """Add two encoded HDR histograms in milliseconds; empty bytes mean no values."""
    if not first or not second:
        return first or second
    merged = HdrHistogram(HISTOGRAM_LOWEST_MS, HISTOGRAM_HIGHEST_MS, HISTOGRAM_DIGITS)
    merged.decode_and_add(first)
    merged.decode_and_add(second)
    return merged.encode()
