"""Records of the decisions on recent requests, bounded in number and size."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_STEPS = 32


@dataclass(slots=True)
class RequestRecord:
    """Decisions that were made on one request.

    Parameters
    ----------
    request_id, workspace, service : str
        Identifier of the request, its workspace and its service.
    arrived_ms : int
        Arrival time on the clock of the process, in milliseconds.
    steps : list of tuple of int and str
        Time since arrival in milliseconds, and the decision with its reason. Must
        not contain API keys, prompts or response texts.
    """

    request_id: str
    workspace: str
    service: str
    arrived_ms: int
    steps: list[tuple[int, str]] = field(default_factory=list)

    def add_step(self, now_ms: int, text: str) -> None:
        """Append a step, unless the record already has `MAX_STEPS` steps."""
        if len(self.steps) < MAX_STEPS:
            self.steps.append((now_ms - self.arrived_ms, text))


class RequestRecords:
    """Records of the most recent requests of a process.

    Parameters
    ----------
    max_records : int
        Maximum number of records; the oldest one is dropped first.
    """

    def __init__(self, max_records: int = 5_000):
        self.max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def open(
        self, request_id: str, workspace: str, service: str, now_ms: int
    ) -> RequestRecord:
        """Create the record of a request and return it."""
        record = RequestRecord(request_id, workspace, service, now_ms)
        self._records[request_id] = record
        self._records.move_to_end(request_id)
        while len(self._records) > self.max_records:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if it was dropped or never made."""
        return self._records.get(request_id)
