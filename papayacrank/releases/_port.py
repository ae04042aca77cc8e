"""Reports begun streams to the leader and asks it for the releases of others."""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from papayacrank.kernel import Clock
from papayacrank.messages import (
    BegunStream,
    FindRelease,
    FleetTarget,
    ReleaseFound,
    StreamsBegun,
)
from papayacrank.transport import Timers

from ._begun import VIEW_LAG_MS, BegunStreams

# Streams that begin within this time are reported together.
REPORT_DELAY_MS = 10
# A question without a reply is repeated once after this time, and then given up.
REPLY_TIMEOUT_MS = 150
MAX_QUESTIONS = 2
MAX_WAITING = 1_000
NO_REPLY_RETRY_MS = 500
_REPORT_TIMER = "releases:report"


class ReleaseOutcome(Enum):
    """Whether the release that began a stream is known."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    NO_REPLY = "no_reply"


@dataclass(frozen=True, slots=True)
class ReleaseDecision:
    """Release that began a stream.

    Parameters
    ----------
    release : str
        Release; empty unless it is known.
    service : str
        Service that began the stream; empty unless it is known.
    retry_after_ms : int or None
        Time in milliseconds after which the leader may reply, if it did not.
    """

    outcome: ReleaseOutcome
    release: str = ""
    service: str = ""
    retry_after_ms: int | None = None


@dataclass(slots=True)
class _Waiting:
    """Request that waits for the release that began its stream."""

    service: str
    stream: str
    callback: Callable[[ReleaseDecision], None]
    services: list[str]
    number: int = 0
    questions: int = 0


class ReleasePort:
    """Connects an entry process to the leader's record of streams.

    Parameters
    ----------
    instance : str
        Name of this instance and its start, ``name@boot``.
    send : callable
        Sends a message to the leader; returns False if none is known.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.

    Attributes
    ----------
    count : callable
        Called with each outcome, to count it in the metrics of the process:
        ``"known"``, ``"unknown"``, ``"no_reply"`` or ``"reported"``.
    """

    def __init__(
        self,
        instance: str,
        send: Callable[[Any], bool],
        clock: Clock,
        timers: Timers,
    ):
        self._instance = instance
        self._send = send
        self._clock = clock
        self._timers = timers
        self._term = 0
        self._begun = BegunStreams()
        # Times of the last two contacts. The view may be older than the last one.
        self._contacts_ms = (0, 0)
        self._waiting: dict[str, _Waiting] = {}
        self._numbers = itertools.count(1)
        self._is_report_due = False
        self.count: Callable[[str], None] = lambda outcome: None

    # Begun streams

    def on_begun(
        self,
        stream: str,
        service: str,
        release: str,
        target: tuple[str, int] = ("", 0),
    ) -> None:
        """Note that the first event of a stream was sent to its caller.

        Parameters
        ----------
        stream : str
            Name of the stream.
        service, release : str
            Service and release of the target that sent the event.
        target : (str, int)
            Name and start time of the target.
        """
        begun = BegunStream(stream, service, release)
        self._begun.add(begun, self._clock.now_ms(), target)
        self._schedule_report()

    def observe_targets(self, targets: Iterable[FleetTarget]) -> None:
        """Apply a new view of the targets."""
        self._begun.observe(targets, self._contacts_ms[0] - VIEW_LAG_MS)
        self._schedule_report()

    def set_mixed(self, services: Iterable[str]) -> None:
        """Set the services of which several releases may have begun streams."""
        self._begun.set_mixed(services)
        self._schedule_report()

    def poll(self, term: int, contacted_ms: int | None = None) -> None:
        """Report the streams again to the leader of a new term.

        Parameters
        ----------
        term : int
            Term of the leader.
        contacted_ms : int or None
            Time of the last contact with the leader in milliseconds.
        """
        if contacted_ms is not None and contacted_ms > self._contacts_ms[1]:
            self._contacts_ms = (self._contacts_ms[1], contacted_ms)
        if term > self._term:
            self._term = term
            self._begun.report_again()
            self._schedule_report()

    def _schedule_report(self) -> None:
        if self._begun.has_unreported and not self._is_report_due:
            self._is_report_due = True
            at_ms = self._clock.now_ms() + REPORT_DELAY_MS
            self._timers.set(_REPORT_TIMER, at_ms, self._report)

    def _report(self) -> None:
        self._is_report_due = False
        for streams in self._begun.pop_unreported():
            self.count("reported")
            self._send(StreamsBegun(self._instance, streams))

    # Questions

    def find(
        self,
        request_id: str,
        service: str,
        stream: str,
        callback: Callable[[ReleaseDecision], None],
        services: Iterable[str] = (),
    ) -> None:
        """Ask for the service and the release that began a stream.

        Parameters
        ----------
        request_id : str
            Identifier of the request in this process.
        service : str
            Service of the request.
        stream : str
            Name of the stream; empty if the caller does not name it.
        callback : callable
            Called once with the decision, never before this method returns.
        services : iterable of str
            All services of the route, any of which may have begun the stream.
        """
        waiting = _Waiting(service, stream, callback, list(services))
        if len(self._waiting) >= MAX_WAITING:
            waiting.questions = MAX_QUESTIONS
        self._waiting[request_id] = waiting
        self._ask(request_id)

    def _ask(self, request_id: str) -> None:
        waiting = self._waiting[request_id]
        waiting.number = next(self._numbers)
        waiting.questions += 1
        timeout_ms = 0
        if waiting.questions <= MAX_QUESTIONS:
            message = FindRelease(
                self._instance,
                waiting.number,
                waiting.service,
                waiting.stream,
                waiting.services,
            )
            timeout_ms = REPLY_TIMEOUT_MS if self._send(message) else 0
        self._timers.set(
            _find_timer(request_id),
            self._clock.now_ms() + timeout_ms,
            lambda: self._on_timeout(request_id),
        )

    def _on_timeout(self, request_id: str) -> None:
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return
        if waiting.questions < MAX_QUESTIONS:
            self._ask(request_id)
            return
        self._decide(
            request_id,
            ReleaseDecision(ReleaseOutcome.NO_REPLY, retry_after_ms=NO_REPLY_RETRY_MS),
        )

    def cancel(self, request_id: str) -> None:
        """Forget a request that has ended; unknown ones are ignored."""
        if self._waiting.pop(request_id, None) is not None:
            self._timers.cancel(_find_timer(request_id))

    def receive(self, message: Any) -> None:
        """Handle a reply of the leader; other messages are ignored."""
        if not isinstance(message, ReleaseFound) or message.term < self._term:
            return
        for request_id, waiting in list(self._waiting.items()):
            if waiting.number == message.number:
                outcome = ReleaseOutcome.UNKNOWN
                if message.release:
                    outcome = ReleaseOutcome.KNOWN
                service = message.service or waiting.service
                decision = ReleaseDecision(outcome, message.release, service)
                self._decide(request_id, decision)

    def _decide(self, request_id: str, decision: ReleaseDecision) -> None:
        waiting = self._waiting.pop(request_id)
        self._timers.cancel(_find_timer(request_id))
        self.count(decision.outcome.value)
        waiting.callback(decision)


def _find_timer(request_id: str) -> str:
    return f"releases:find:{request_id}"
