"""Bounded record of recent requests, from which decisions are explained."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_STEPS = 32


@dataclass(slots=True)
class RequestRecord:
    """What happened to one request.

    Parameters
    ----------
    request_id, workspace, service : str
        Identity of the request.
    arrived_ms : int
        Arrival on the clock of the process.
    steps : list of tuple of int and str
        Time since arrival in milliseconds, and what was decided and why. Contains
        no key, prompt or answer.
    """

    request_id: str
    workspace: str
    service: str
    arrived_ms: int
    steps: list[tuple[int, str]] = field(default_factory=list)

    def add_step(self, now_ms: int, text: str) -> None:
        """Append a step; steps over the bound are dropped."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append((now_ms - self.arrived_ms, text))


class RequestRecords:
    """The most recent requests of a process.

    Parameters
    ----------
    max_records : int
        Bound; the oldest record is dropped first.
    """

    def __init__(self, max_records: int = 5_000):
        self.max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def open(
        self, request_id: str, workspace: str, service: str, now_ms: int
    ) -> RequestRecord:
        """Start the record of a request."""
        record = RequestRecord(request_id, workspace, service, now_ms)
        self._records[request_id] = record
        self._records.move_to_end(request_id)
        while len(self._records) > self.max_records:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, if it is still there."""
        return self._records.get(request_id)
