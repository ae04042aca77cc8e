"""Usage totals by workspace and minute."""

import msgspec
from hdrh.histogram import HdrHistogram

from papayacrank.accounting import (
    HISTOGRAM_FIELDS,
    UsageRow,
    add_counts,
    decode_histogram,
    merge_usage,
)
from papayacrank.messages import Done, FailureRecord, ReportUsage, UsageDelta

from ._base import Table, refuse
from ._limits import (
    MAX_DECODED_HISTOGRAMS,
    MAX_REPORT_AGE_MINUTES,
    MAX_SEQUENCE_GAP,
    MAX_USAGE_ROWS,
    MAX_USAGE_SENDERS,
)

MINUTE_MS = 60_000
HOUR_MINUTES = 60


class SenderRow(msgspec.Struct):
    """Sequence numbers of the reports added for a process.

    Attributes
    ----------
    through : int
        All sequence numbers up to this one have been added.
    beyond : list of int
        Higher sequence numbers that have been added, in ascending order.
    """

    instance: str
    boot: int
    through: int = 0
    beyond: list[int] = []


class UsageDump(msgspec.Struct):
    """Snapshot of `UsageTable`."""

    rows: list[UsageRow]
    senders: list[SenderRow]
    folded_before_minute: int


class UsageTable(Table):
    """Usage totals that count each report once.

    When the table is full, the oldest minute is merged into the totals of its hour;
    when only hours are left, the second oldest hour is merged into the oldest one.
    No counted request is lost; old totals only lose time resolution.

    Recently updated histograms are cached in decoded form, because encoding takes most
    of the time of adding a report.
    """

    def __init__(self):
        self._rows: dict[tuple[int, str], UsageRow] = {}
        self._senders: dict[tuple[str, int], SenderRow] = {}
        self._merged_before = 0
        self._decoded: dict[tuple[int, str, str], HdrHistogram] = {}

    @property
    def rows(self) -> list[UsageRow]:
        """All totals, sorted by minute and workspace."""
        self._encode_all()
        return [self._rows[key] for key in sorted(self._rows)]

    def add(self, command: ReportUsage, wall_ms: int) -> Done | FailureRecord:
        """Add a report unless its sequence number was already added."""
        sender = self._find_sender(command)
        if command.sequence <= sender.through or command.sequence in sender.beyond:
            return Done()
        if command.sequence > sender.through + MAX_SEQUENCE_GAP:
            return refuse("sequence_gap", "too many reports before this are missing")
        self._record_sequence(sender, command.sequence)
        minute = self._clamp_minute(command.minute, wall_ms)
        for delta in command.deltas:
            self._add_delta(minute, 1, delta)
        self._downsample()
        return Done()

    def dump(self) -> UsageDump:
        """Return the snapshot."""
        senders = list(self._senders.values())
        return UsageDump(self.rows, senders, self._merged_before)

    def load(self, dumped: UsageDump) -> None:
        """Restore a snapshot."""
        self._rows = {(row.minute, row.usage.workspace): row for row in dumped.rows}
        self._senders = {(row.instance, row.boot): row for row in dumped.senders}
        self._merged_before = dumped.folded_before_minute
        self._decoded.clear()

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
    def _record_sequence(sender: SenderRow, sequence: int) -> None:
        beyond = {*sender.beyond, sequence}
        while sender.through + 1 in beyond:
            sender.through += 1
            beyond.discard(sender.through)
        sender.beyond = sorted(beyond)

    @staticmethod
    def _clamp_minute(minute: int, wall_ms: int) -> int:
        """Limit how far a report's minute differs from the leader's wall clock.

        The wall clock of the reporting process may be wrong.
        """
        now = wall_ms // MINUTE_MS
        return min(max(minute, now - MAX_REPORT_AGE_MINUTES), now + 1)

    def _add_delta(self, minute: int, minutes: int, delta: UsageDelta) -> None:
        if minute < self._merged_before and minutes == 1:
            minute, minutes = minute - minute % HOUR_MINUTES, HOUR_MINUTES
        key = (minute, delta.workspace)
        row = self._rows.get(key)
        if row is None:
            usage = merge_usage(UsageDelta(delta.workspace), delta)
            self._rows[key] = UsageRow(minute, usage, minutes)
            return
        histograms = {name: getattr(row.usage, name) for name in HISTOGRAM_FIELDS}
        for name in HISTOGRAM_FIELDS:
            added = getattr(delta, name)
            if added and not histograms[name]:
                histograms[name] = added
            elif added:
                self._add_histogram(key, name, histograms[name], added)
        usage = add_counts(row.usage, delta, histograms)
        self._rows[key] = UsageRow(minute, usage, max(minutes, row.minutes))

    def _add_histogram(
        self, row_key: tuple[int, str], name: str, total: bytes, added: bytes
    ) -> None:
        """Add to the decoded histogram of a total; encode the least recently used."""
        key = (*row_key, name)
        histogram = self._decoded.pop(key, None)
        if histogram is None:
            histogram = decode_histogram(total)
        histogram.decode_and_add(added)
        self._decoded[key] = histogram
        if len(self._decoded) > MAX_DECODED_HISTOGRAMS:
            self._encode(next(iter(self._decoded)))

    def _encode(self, key: tuple[int, str, str]) -> None:
        minute, workspace, name = key
        row = self._rows[minute, workspace]
        encoded = self._decoded.pop(key).encode()
        usage = msgspec.structs.replace(row.usage, **{name: encoded})
        self._rows[minute, workspace] = msgspec.structs.replace(row, usage=usage)

    def _encode_all(self) -> None:
        for key in list(self._decoded):
            self._encode(key)

    def _downsample(self) -> None:
        """Merge the oldest totals until the table is within its size limit."""
        while len(self._rows) > MAX_USAGE_ROWS:
            self._encode_all()
            minutes = [key[0] for key, row in self._rows.items() if row.minutes == 1]
            if minutes:
                self._merge_minute_into_hour(min(minutes))
            else:
                self._merge_oldest_spans()

    def _merge_minute_into_hour(self, minute: int) -> None:
        """Merge one minute into its hour, which limits the work for each log entry.

        Minutes are merged in ascending order, so the totals of an hour never coexist
        with those of its first minute, which have the same key.
        """
        self._merged_before = max(self._merged_before, minute + 1)
        keys = sorted(key for key in self._rows if key[0] == minute)
        rows = [self._rows[key] for key in keys if self._rows[key].minutes == 1]
        for row in rows:
            del self._rows[minute, row.usage.workspace]
        for row in rows:
            self._add_delta(minute, 1, row.usage)

    def _merge_oldest_spans(self) -> None:
        """Merge the totals of the second oldest time span into the oldest one."""
        first, second = sorted({key[0] for key in self._rows})[:2]
        keys = sorted(key for key in self._rows if key[0] == second)
        for row in [self._rows.pop(key) for key in keys]:
            self._add_delta(first, second - first + row.minutes, row.usage)
