"""Stand-in for a plain service."""

from dataclasses import asdict, dataclass

from papayacrank.kernel import Clock
from papayacrank.transport import Timers

from ._http_server import StandInServer

MAX_JOURNAL_ENTRIES = 50_000
PUBLIC_PREFIX = "/public"


@dataclass(slots=True)
class JournalEntry:
    """A request that the service executed."""

    sequence: int
    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: str


class StandInService(StandInServer):
    """Plain service that accepts any request and records it in a journal.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    port : int
        Port to listen on; 0 lets the system choose.
    work_ms : int
        Time from recording a request to its response, in milliseconds.
    """

    def __init__(self, clock: Clock, timers: Timers, port: int = 0, work_ms: int = 0):
        super().__init__(clock, timers, port, frozenset())
        self._work_ms = work_ms
        self._journal: list[JournalEntry] = []
        self._last_request_id = "another-request"

    @property
    def journal(self) -> list[JournalEntry]:
        """Executed requests, in order."""
        return list(self._journal)

    def _serve(self, req, res):
        if req.path == "/journal":
            entries = [asdict(entry) for entry in self._journal]
            return self._fill_response(res, 200, {"entries": entries})
        entry = self._record_request(req)
        drop = self._faults.consume("drop_after", req.path)
        if drop is not None:
            self._drop(req.sock, drop)
            return True
        self._build_response(req, res, entry)
        if not self._work_ms:
            return res
        self._call_later(self._work_ms, lambda: self._send_response(res))
        return True

    def _record_request(self, req) -> JournalEntry:
        headers = {name.lower(): value for name, value in req.headers.items()}
        query = f"?{req.qs}" if req.qs else ""
        entry = JournalEntry(
            len(self._journal) + 1,
            headers.get("x-request-id", ""),
            req.method,
            req.path + query,
            headers,
            req.body.read().decode(errors="replace"),
        )
        if len(self._journal) >= MAX_JOURNAL_ENTRIES:
            raise RuntimeError("the journal is full")
        self._journal.append(entry)
        return entry

    def _build_response(self, req, res, entry: JournalEntry) -> None:
        request_id = entry.request_id
        if self._faults.consume("swap_answers", req.path) is not None:
            request_id = self._last_request_id
        self._last_request_id = entry.request_id
        document = {
            "request_id": request_id,
            "sequence": entry.sequence,
            "method": entry.method,
            "path": entry.path,
            "body": entry.body,
        }
        self._fill_response(res, 200, document, {"X-Request-Id": request_id})
