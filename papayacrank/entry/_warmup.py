"""Protocol that copies the routing state of a peer when an entry process starts."""

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
    """Server side, which returns the routing state page by page.

    Parameters
    ----------
    export_page : Callable
        ``export_page(cursor) -> (page, next_cursor)`` of the router. Cursors are
        strings; the first page has an empty cursor, and so does the end.
    max_copies : int
        Maximum number of instances that may copy at the same time.
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
        """Reply to a request for a page.

        Parameters
        ----------
        may_serve : bool
            Whether this process has finished its own startup.
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
    """Effect that delivers a page to import."""

    page: bytes


@dataclass(frozen=True, slots=True)
class WarmupEnded:
    """Effect that reports the end of the copy.

    Parameters
    ----------
    complete : bool
        Whether all pages of one peer were received.
    peer : str
        Peer that was copied from; empty if the copy is incomplete.
    """

    complete: bool
    peer: str = ""


class WarmupClient:
    """Client side, which tries one peer after another until a copy is complete.

    Parameters
    ----------
    instance : str
        Name of this instance.
    boot : int
        Boot number of this process.
    timeout_ms : int
        Maximum duration of the whole copy, in milliseconds.
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
        """Send a request to the first peer; without peers the copy ends immediately."""
        self._is_running = True
        self._peers = list(peers)
        self._deadline_ms = now_ms + self._timeout_ms
        return self._request_page(now_ms)

    def receive(self, sender: str, reply: WarmupReply, now_ms: int) -> list[Any]:
        """Process a reply; replies of any but the current peer are ignored."""
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
        """Switch to the next peer after a timeout, or end the copy at its deadline."""
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
        """Delay the next request, because all peers may be busy."""
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
