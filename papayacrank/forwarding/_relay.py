"""Requests that an instance without targets passes on to other instances."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from papayacrank.kernel import Clock, Failure, Verdict, log_event
from papayacrank.messages import SERVING, EntryAddress
from papayacrank.transport import HttpExchange, Timers

from ._base import CallerProtocol, ForwardRequest
from ._events import REQUEST_RELAYED
from ._headers import CONNECTION_HEADERS, HeaderList, drop_headers
from ._target_call import CallFailure, CallListener, TargetCall
from ._target_port import TargetPort

# Peers that are tried for one request; only those that cannot be connected to are
# followed by another.
MAX_PEERS = 3
MAX_CONNECTIONS_PER_PEER = 64
DEFAULT_TIME_LIMIT_MS = 30_000
# The peer ends a request before its deadline. This instance does so later, if the peer
# has not responded.
RESPONSE_MARGIN_MS = 5
# Below this time, a peer cannot respond before the deadline.
MIN_REMAINING_MS = 20
RETRY_AFTER_MS = 400
_DROPPED_HEADERS = CONNECTION_HEADERS | {b"content-length"}


@dataclass(eq=False)
class RelayedRequest:
    """State of a request that was passed on.

    Parameters
    ----------
    exchange : HttpExchange
        Request and response of the caller.
    request : ForwardRequest
        Parsed request.
    until_ms : int
        Time by which the caller must have its final response, in milliseconds.
    prior_runs : int
        Number of targets that may have run the request before it was passed on.
    may_have_run : bool
        Whether a target may have started to run the request, before or at a peer.
    tried : set of str
        Addresses of the peers that it was passed on to.
    """

    exchange: HttpExchange
    request: ForwardRequest
    until_ms: int
    prior_runs: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    call: TargetCall | None = None
    status: int = 0
    headers: HeaderList = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    promises_not_run: bool = False
    is_stream: bool = False
    is_done: bool = False


class Relay(CallListener):
    """Passes requests on to instances that have a path to the targets.

    A peer handles a relayed request as one of its own callers', with its quotas, limits
    and retries, but never passes it on again. Its response is returned as it is.

    Parameters
    ----------
    instance, failure_domain : str
        Name and failure domain of this instance.
    protocol : CallerProtocol
        HTTP representation of requests and responses.
    port : TargetPort
        Connections to the peers.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    random_state : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        protocol: CallerProtocol,
        port: TargetPort,
        clock: Clock,
        timers: Timers,
        random_state: random.Random,
    ):
        self._instance = instance
        self._failure_domain = failure_domain
        self._protocol = protocol
        self._port = port
        self._clock = clock
        self._timers = timers
        self._random = random_state
        self._peers: list[EntryAddress] = []
        self._open: set[RelayedRequest] = set()

    @property
    def open_requests(self) -> int:
        """Number of relayed requests without a final response."""
        return len(self._open)

    def set_instances(self, instances: Iterable[EntryAddress]) -> None:
        """Replace the live entry processes."""
        self._peers = [
            item
            for item in instances
            if item.status == SERVING and item.instance != self._instance
        ]

    def accepts(self, request: ForwardRequest) -> bool:
        """Whether a request may be passed on and there is a peer for it."""
        return not request.is_relayed and bool(self._peers)

    def forward(
        self,
        exchange: HttpExchange,
        request: ForwardRequest,
        until_ms: int | None = None,
        prior_runs: int = 0,
    ) -> None:
        """Pass a request on to a peer and return its response to the caller.

        Parameters
        ----------
        exchange : HttpExchange
            Exchange without a response.
        request : ForwardRequest
            Parsed request.
        until_ms : int, optional
            Time by which the caller must have its final response; the deadline of the
            request by default.
        prior_runs : int
            Number of targets that may have run the request.
        """
        if until_ms is None:
            limit_ms = request.deadline_ms or DEFAULT_TIME_LIMIT_MS
            until_ms = exchange.arrived_ms + limit_ms
        relayed = RelayedRequest(
            exchange, request, until_ms, prior_runs, may_have_run=prior_runs > 0
        )
        exchange.state = relayed
        self._open.add(relayed)
        at_ms = max(self._clock.now_ms(), until_ms - RESPONSE_MARGIN_MS)
        self._timers.set(_timer(relayed), at_ms, lambda: self._on_deadline(relayed))
        self._send(relayed)

    def on_caller_left(self, relayed: RelayedRequest) -> None:
        """Cancel the request of a caller that disconnected."""
        if not relayed.is_done:
            self._cancel(relayed)
            self._finish(relayed, "caller_left")

    def end_open_requests(self) -> None:
        """End all requests before the process does."""
        for relayed in list(self._open):
            self._cancel(relayed)
            self._fail(relayed, "stopped", "this instance has stopped")

    def _send(self, relayed: RelayedRequest) -> None:
        remaining_ms = relayed.until_ms - self._clock.now_ms()
        peer = self._choose_peer(relayed)
        if remaining_ms < MIN_REMAINING_MS:
            self._fail(relayed, "deadline", "no time is left")
            return
        if peer is None or len(relayed.tried) >= MAX_PEERS:
            self._fail(relayed, "no_target", "no instance with a path to the targets")
            return
        relayed.tried.add(peer.address)
        head = relayed.exchange.head
        relayed.call = TargetCall(
            peer.address,
            head.method,
            head.target,
            self._protocol.relay_headers(head, remaining_ms, relayed.prior_runs),
            relayed.exchange.body,
            self,
            MAX_CONNECTIONS_PER_PEER,
            state=relayed,
        )
        self._port.submit(relayed.call)

    def _choose_peer(self, relayed: RelayedRequest) -> EntryAddress | None:
        untried = [p for p in self._peers if p.address not in relayed.tried]
        local = [p for p in untried if p.failure_domain == self._failure_domain]
        candidates = local or untried
        return self._random.choice(candidates) if candidates else None

    # Responses of peers

    def matches_call(self, call: TargetCall, status: int, headers: HeaderList) -> bool:
        """Accept each response, because instances respond in order."""
        return True

    def on_response(self, call: TargetCall, status: int, headers: HeaderList) -> None:
        """Handle the head of a response."""
        relayed: RelayedRequest = call.state
        relayed.status = status
        relayed.headers = drop_headers(headers, _DROPPED_HEADERS)
        metadata = self._protocol.read_response(status, headers)
        relayed.promises_not_run = metadata.promises_not_run
        relayed.is_stream = 200 <= status < 300 and metadata.is_event_stream
        call.is_buffered = not relayed.is_stream
        if relayed.is_stream:
            call.unsent_bytes = lambda: relayed.exchange.unsent_bytes
            relayed.exchange.begin(status, relayed.headers)

    def on_data(self, call: TargetCall, data: bytes) -> None:
        """Handle a chunk of a response body."""
        relayed: RelayedRequest = call.state
        if relayed.is_stream:
            relayed.exchange.send(data)
        else:
            relayed.body += data

    def on_ended(self, call: TargetCall) -> None:
        """Handle the end of a response."""
        relayed: RelayedRequest = call.state
        if relayed.prior_runs and relayed.promises_not_run:
            # True of the peer, but not of the targets before.
            self._fail(relayed, "target_failed", f"status {relayed.status} of a peer")
            return
        if relayed.is_stream:
            relayed.exchange.end()
        else:
            relayed.exchange.respond(
                relayed.status, relayed.headers, bytes(relayed.body)
            )
        self._finish(relayed, "responded")

    def on_failed(self, call: TargetCall, failure: CallFailure) -> None:
        """Handle a call that ended without a complete response."""
        relayed: RelayedRequest = call.state
        self._port.drop_idle(call.address)
        if failure.may_have_run:
            relayed.may_have_run = True
            self._fail(relayed, "target_failed", failure.code)
        else:
            self._send(relayed)

    def _on_deadline(self, relayed: RelayedRequest) -> None:
        if not relayed.is_done:
            self._cancel(relayed)
            self._fail(relayed, "deadline", "the time of the request is over")

    # Completion

    def _cancel(self, relayed: RelayedRequest) -> None:
        if relayed.call is not None and relayed.call.is_open:
            relayed.may_have_run |= relayed.call.bytes_written
            self._port.cancel(relayed.call)

    def _fail(self, relayed: RelayedRequest, code: str, message: str) -> None:
        """Report a failure, which says whether the request may have run."""
        exchange = relayed.exchange
        if exchange.response_started:
            exchange.abort()
            self._finish(relayed, code)
            return
        if relayed.may_have_run:
            status = 504 if code == "deadline" else 502
            failure = Failure(code, Verdict.MAY_HAVE_RUN, message, status)
        else:
            failure = Failure(code, Verdict.NOT_RUN, message, 503, RETRY_AFTER_MS)
        response = self._protocol.build_failure(failure, relayed.request.request_id)
        exchange.respond(response.status, response.headers, response.body)
        relayed.status = response.status
        self._finish(relayed, code)

    def _finish(self, relayed: RelayedRequest, code: str) -> None:
        relayed.is_done = True
        self._open.discard(relayed)
        self._timers.cancel(_timer(relayed))
        log_event(
            REQUEST_RELAYED,
            request_id=relayed.request.request_id,
            code=code,
            status=relayed.status,
            peer=relayed.call.address if relayed.call is not None else None,
            peers=len(relayed.tried),
            took_ms=self._clock.now_ms() - relayed.exchange.arrived_ms,
        )


def _timer(relayed: RelayedRequest) -> str:
    return f"relay:{id(relayed)}:deadline"
