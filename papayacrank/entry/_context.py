"""Components shared by all request flows of a process."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from papayacrank.accounting import RequestRecords, UsageRecorder
from papayacrank.admission import AdmissionPolicy, LocalShares
from papayacrank.config import EntrySettings
from papayacrank.control import ControlContact
from papayacrank.kernel import Clock
from papayacrank.permits import PermitPort
from papayacrank.quarantine import CrashChecks, QuarantinePort
from papayacrank.routing import RetryPolicy, Router
from papayacrank.targets import TargetClient
from papayacrank.transport import Timers

from ._metrics import EntryMetrics


@dataclass(eq=False)
class EntryContext:
    """Shared components of one entry process.

    Parameters
    ----------
    boot : int
        Boot number of the process, larger at each start on an instance.
    engine_admission, plain_admission : AdmissionPolicy
        Admission queues for engines and for plain services.
    submit_command : Callable
        ``submit_command(command, callback, timeout_ms)`` sends a command to the
        control group; the callback receives a ``Result``.
    record_closer : RecordCloser
        Commits the outcomes of actions.
    flows : FlowTable
        Requests in progress.
    """

    settings: EntrySettings
    boot: int
    clock: Clock
    timers: Timers
    contact: ControlContact
    targets: TargetClient
    router: Router
    permits: PermitPort
    quarantine: QuarantinePort
    crash_checks: CrashChecks
    shares: LocalShares
    engine_admission: AdmissionPolicy
    plain_admission: AdmissionPolicy
    retries: RetryPolicy
    usage: UsageRecorder
    records: RequestRecords
    metrics: EntryMetrics
    submit_command: Callable[..., Any]
    record_closer: Any = field(default=None)
    flows: Any = field(default=None)
