"""Periodic polling of the load reports of engines."""

import itertools
import random
from collections.abc import Mapping

import msgspec
from circuits import BaseComponent, handler

from papayacrank.kernel import Clock, log_event
from papayacrank.routing import LoadReport
from papayacrank.transport import Timers

from ._client import TargetClient
from ._events import MALFORMED_LOAD_REPORT
from ._notifications import load_failed, load_observed
from ._request import TargetFailure, TargetRequest, TargetTimeouts

POLL_CHANNEL = "load-poller"
LOAD_PATH = "/v1/load"
POLL_INTERVAL_MS = 500
POLL_TIMEOUT_MS = 1_000
MAX_REPORT_BYTES = 16_384


class _Report(msgspec.Struct):
    incarnation: int
    weights_version: str
    running: int
    waiting: int
    queued_prefill_tokens: int


class LoadPoller(BaseComponent):
    """Component that polls the load of each engine.

    Fires ``load_observed(target, LoadReport)`` for each successful poll and
    ``load_failed(target, failure)`` for each failed one. The first poll of an engine
    has a random phase, which spreads the polls of all engines over the interval.

    Parameters
    ----------
    client : TargetClient
        Client that sends the polls.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    requester : str
        Channel that receives the events.
    random_state : random.Random
        Source of the random phases.
    interval_ms : int
        Time between two polls of an engine, in milliseconds.
    timeout_ms : int
        Timeout of each phase of a poll, in milliseconds.
    """

    channel = POLL_CHANNEL

    def __init__(
        self,
        client: TargetClient,
        clock: Clock,
        timers: Timers,
        requester: str,
        random_state: random.Random,
        interval_ms: int = POLL_INTERVAL_MS,
        timeout_ms: int = POLL_TIMEOUT_MS,
    ):
        super().__init__()
        self._client = client
        self._clock = clock
        self._timers = timers
        self._requester = requester
        self._random = random_state
        self._interval_ms = interval_ms
        self._timeout_ms = timeout_ms
        self._addresses: dict[str, str] = {}
        self._polls: dict[str, str] = {}
        self._bodies: dict[str, bytearray] = {}
        self._poll_numbers = itertools.count(1)
        self._decoder = msgspec.json.Decoder(_Report)

    def update_targets(self, addresses: Mapping[str, str]) -> None:
        """Set the engines to poll.

        An engine whose address changed is treated as a new one.

        Parameters
        ----------
        addresses : mapping of str to str
            HTTP address of each engine as ``ip:port``, by name.
        """
        for target in set(self._addresses) - set(addresses):
            self._remove_target(target)
        for target, address in addresses.items():
            known = self._addresses.get(target)
            if known == address:
                continue
            if known is not None:
                self._remove_target(target)
            self._addresses[target] = address
            self._set_timer(target, self._random.uniform(0, self._interval_ms))

    def _remove_target(self, target: str) -> None:
        del self._addresses[target]
        self._timers.cancel(_timer_name(target))
        for poll_id in [p for p, name in self._polls.items() if name == target]:
            self._client.cancel(poll_id)
            self._finish_poll(poll_id)

    def _set_timer(self, target: str, after_ms: float) -> None:
        at_ms = self._clock.now_ms() + int(after_ms)
        self._timers.set(_timer_name(target), at_ms, lambda: self._poll(target))

    def _poll(self, target: str) -> None:
        self._set_timer(target, self._interval_ms)
        if target in self._polls.values():
            return
        poll_id = f"load-{next(self._poll_numbers)}"
        self._polls[poll_id] = target
        self._bodies[poll_id] = bytearray()
        timeout_ms = self._timeout_ms
        request = TargetRequest(
            poll_id,
            POLL_CHANNEL,
            self._addresses[target],
            "GET",
            LOAD_PATH,
            idempotent=True,
            timeouts=TargetTimeouts(timeout_ms, timeout_ms, timeout_ms, timeout_ms),
            max_body_bytes=MAX_REPORT_BYTES,
        )
        self._client.submit(request)

    def _finish_poll(self, poll_id: str) -> tuple[str | None, bytes]:
        body = bytes(self._bodies.pop(poll_id, b""))
        return self._polls.pop(poll_id, None), body

    @handler("target_headers")
    def _on_headers(self, request_id, status, headers):
        if request_id in self._polls and status != 200:
            target, _ = self._finish_poll(request_id)
            failure = TargetFailure("target_status", True, "no load report", status)
            self.fire(load_failed(target, failure), self._requester)

    @handler("target_data")
    def _on_data(self, request_id, data):
        if request_id in self._bodies:
            self._bodies[request_id] += data

    @handler("target_finished")
    def _on_finished(self, request_id, usage):
        target, body = self._finish_poll(request_id)
        if target is None:
            return
        try:
            report = self._decoder.decode(body)
        except msgspec.DecodeError as error:
            log_event(MALFORMED_LOAD_REPORT, target=target, error=str(error))
            failure = TargetFailure("malformed_answer", True, str(error))
            self.fire(load_failed(target, failure), self._requester)
            return
        observed = LoadReport(
            report.incarnation,
            report.weights_version,
            report.running,
            report.waiting,
            report.queued_prefill_tokens,
        )
        self.fire(load_observed(target, observed), self._requester)

    @handler("target_failed")
    def _on_failed(self, request_id, failure):
        target, _ = self._finish_poll(request_id)
        if target is not None:
            self.fire(load_failed(target, failure), self._requester)


def _timer_name(target: str) -> str:
    return f"load/{target}"
