"""Decision code of the copy of routing state between entry processes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from papayacrank.kernel import CancelTimer, Effect, Send, SetTimer
from papayacrank.messages import WarmupReply, WarmupRequest

MAX_CONCURRENT_COPIES = 3
COPY_IDLE_TIMEOUT_MS = 2_000
PAGE_TIMEOUT_MS = 1_000
BUSY_RETRY_MS = 200
MAX_PAGES = 10_000
TIMER = "warmup"


class WarmupServer:
    """Serving side: hands out the routing state in pages.

    Parameters
    ----------
    export_page : Callable
        ``export_page(cursor) -> (page, next_cursor)`` of the router; both cursors
        are text, empty for the first page and at the end.
    max_copies : int
        Instances that may copy at a time.
    """

    def __init__(
        self,
        export_page: Callable[[str], tuple[bytes, str]],
        max_copies: int = MAX_CONCURRENT_COPIES,
    ):
        self._export_page = export_page
        self._max_copies = max_copies
        self._last_seen_ms: dict[str, int] = {}

    def receive(
        self, sender: str, request: WarmupRequest, may_serve: bool, now_ms: int
    ) -> list[Effect]:
        """Answer a request for a page.

        Parameters
        ----------
        may_serve : bool
            Whether this process has a state worth copying.
        """
        self._expire_idle_copies(now_ms)
        is_copying = request.instance in self._last_seen_ms
        is_full = not is_copying and len(self._last_seen_ms) >= self._max_copies
        if not may_serve or is_full or not _is_cursor(request.cursor):
            return [Send(sender, WarmupReply(accepted=False))]
        self._last_seen_ms[request.instance] = now_ms
        page, next_cursor = self._export_page(request.cursor)
        if not next_cursor:
            self._last_seen_ms.pop(request.instance, None)
        return [Send(sender, WarmupReply(True, next_cursor, page))]

    def _expire_idle_copies(self, now_ms: int) -> None:
        expired_before_ms = now_ms - COPY_IDLE_TIMEOUT_MS
        self._last_seen_ms = {
            name: seen
            for name, seen in self._last_seen_ms.items()
            if seen > expired_before_ms
        }


@dataclass(frozen=True, slots=True)
class PageReceived:
    """Effect: a page to import."""

    page: bytes


@dataclass(frozen=True, slots=True)
class WarmupEnded:
    """Effect: the copy has ended.

    Parameters
    ----------
    complete : bool
        Whether all pages of one peer arrived.
    peer : str
        Source of the copy, empty if there was none.
    """

    complete: bool
    peer: str = ""


class WarmupClient:
    """Starting side: copies from one peer after the other until one is complete.

    Parameters
    ----------
    instance : str
        Name of this instance.
    boot : int
        Boot number of this process.
    timeout_ms : int
        Longest duration of the whole copy, in milliseconds.
    """

    def __init__(self, instance: str, boot: int, timeout_ms: int):
        self._instance = instance
        self._boot = boot
        self._timeout_ms = timeout_ms
        self._peers: list[str] = []
        self._cursor = ""
        self._pages = 0
        self._deadline_ms = 0
        self._is_running = False

    def start(self, peers: Sequence[str], now_ms: int) -> list[Any]:
        """Ask the first peer; without peers the copy ends at once."""
        self._is_running = True
        self._peers = list(peers)
        self._deadline_ms = now_ms + self._timeout_ms
        return self._request_page(now_ms)

    def receive(self, sender: str, reply: WarmupReply, now_ms: int) -> list[Any]:
        """Take a page; replies of peers that are not asked now are ignored."""
        if not self._is_running or not self._peers or sender != self._peers[0]:
            return []
        if not reply.accepted:
            return self._back_off(now_ms)
        self._pages += 1
        if not reply.cursor or self._pages >= MAX_PAGES:
            return [PageReceived(reply.page), *self._end(not reply.cursor)]
        self._cursor = reply.cursor
        return [PageReceived(reply.page), *self._request_page(now_ms)]

    def tick(self, now_ms: int) -> list[Any]:
        """Ask the next peer after a silence, or give up after the time allowed."""
        if not self._is_running:
            return []
        self._switch_to_next_peer()
        return self._request_page(now_ms)

    def _request_page(self, now_ms: int) -> list[Any]:
        if not self._peers or now_ms >= self._deadline_ms:
            return self._end(False)
        request = WarmupRequest(self._instance, self._boot, self._cursor)
        timeout_at_ms = min(now_ms + PAGE_TIMEOUT_MS, self._deadline_ms)
        return [Send(self._peers[0], request), SetTimer(TIMER, timeout_at_ms)]

    def _back_off(self, now_ms: int) -> list[Any]:
        """Leave time between refusals, when all peers are busy."""
        return [SetTimer(TIMER, min(now_ms + BUSY_RETRY_MS, self._deadline_ms))]

    def _switch_to_next_peer(self) -> None:
        self._peers = [*self._peers[1:], *self._peers[:1]]
        self._cursor = ""

    def _end(self, complete: bool) -> list[Any]:
        self._is_running = False
        peer = self._peers[0] if complete else ""
        return [CancelTimer(TIMER), WarmupEnded(complete, peer)]


def _is_cursor(text: str) -> bool:
    return not text or (text.isascii() and text.isdigit() and len(text) <= 18)
