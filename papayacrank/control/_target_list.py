"""Reading of the platform's list of targets, page by page."""

import itertools

from papayacrank.kernel import log_event

from ._effects import HttpCall, HttpResult
from ._events import PLATFORM_LIST_FAILED, TARGET_LIST_OUTDATED, TARGET_LIST_READ
from ._open_call import OpenCall
from ._target_protocol import ListedTarget, TargetProtocol

LISTING_KEY = "fleet-list "
# Calls to the platform are charged, and the list itself lags by 800 ms.
LIST_INTERVAL_MS = 1_000
LIST_RETRY_MS = 300
MAX_PAGES = 200
# Two reads in a row may fail or be late.
OUTDATED_MS = 3 * LIST_INTERVAL_MS
MS_PER_SECOND = 1_000


class TargetListReader:
    """Reads the whole list once a second while this process leads.

    Only `poll` returns calls: a result may arrive while the leader must not make any,
    and the next page is then read once it may.

    Parameters
    ----------
    protocol : TargetProtocol
        Encodes the calls and decodes their results.
    """

    def __init__(self, protocol: TargetProtocol):
        self._protocol = protocol
        self._targets: list[ListedTarget] = []
        self._page_count = 0
        self._next_page: str | None = None
        self._call = OpenCall()
        # Each call has a key of its own, so that a late result belongs to no other one.
        self._numbers = itertools.count(1)
        self._next_ms = 0
        self._read_ms = 0
        self._called_ms = 0
        self._is_outdated = False
        self._error = ""

    def reset(self, now_ms: int) -> None:
        """Discard all state after an election."""
        self._begin(now_ms)
        self._call = OpenCall()
        self._read_ms = now_ms
        self._is_outdated = False
        self._error = ""

    def outdated_s(self, now_ms: int) -> int:
        """Return the age of the list in seconds, 0 up to `OUTDATED_MS`.

        Before the first read of a term, it is the time since the election.
        """
        age_ms = now_ms - self._read_ms
        return age_ms // MS_PER_SECOND if age_ms > OUTDATED_MS else 0

    def poll(self, now_ms: int) -> list[HttpCall]:
        """Return the call that is due."""
        self._check_age(now_ms)
        if self._call.is_open(now_ms) or now_ms < self._next_ms:
            return []
        self._called_ms = now_ms
        key = f"{LISTING_KEY}{next(self._numbers)}"
        call = self._protocol.build_listing(key, self._next_page)
        return [self._call.begin(call, now_ms)]

    def handle(self, result: HttpResult, now_ms: int) -> list[ListedTarget] | None:
        """Handle the result of a call; return the list once it is complete."""
        if not self._call.end(result):
            return None
        page = self._protocol.read_listing(result)
        if isinstance(page, str):
            log_event(PLATFORM_LIST_FAILED, error=page)
            self._error = page
            self._begin(now_ms + LIST_RETRY_MS)
            return None
        self._targets += page.targets
        self._page_count += 1
        if page.next_page is not None and self._page_count < MAX_PAGES:
            self._next_page = page.next_page
            return None
        targets = self._targets
        self._begin(now_ms + LIST_INTERVAL_MS)
        self._on_read(now_ms)
        return targets

    def _begin(self, at_ms: int) -> None:
        """Read the list from its first page on, at a given time."""
        self._targets = []
        self._page_count = 0
        self._next_page = None
        self._next_ms = at_ms

    def _on_read(self, now_ms: int) -> None:
        if self._is_outdated:
            log_event(TARGET_LIST_READ, age_ms=now_ms - self._read_ms)
        self._is_outdated = False
        self._read_ms = now_ms

    def _check_age(self, now_ms: int) -> None:
        """Log once that the list is outdated."""
        age_ms = now_ms - self._read_ms
        if age_ms <= OUTDATED_MS or self._is_outdated:
            return
        self._is_outdated = True
        log_event(
            TARGET_LIST_OUTDATED,
            age_ms=age_ms,
            is_call_open=self._call.is_awaited,
            pages=self._page_count,
            called_ms_ago=now_ms - self._called_ms,
            last_error=self._error,
        )
