"""Requests that arrive before readiness or during a planned stop."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.messages import Route
from papayacrank.transport import HttpExchange, Timers

from ._base import ForwardRequest
from ._fleet_state import FleetState
from ._job import time_limit_ms
from ._open_requests import OpenRequests, build_refusal

# Time from a start to readiness if all processes start together, as after a power
# failure: machines start within 0.4 s; links, election and target list take 0.4 s.
EXPECTED_START_MS = 1_000
MIN_RETRY_AFTER_MS = 400
# Requests that arrive before readiness are held for this long, but for no more than
# their deadline divided by START_WAIT_DIVISOR.
START_WAIT_MS = 350
START_WAIT_DIVISOR = 3
MAX_HELD_REQUESTS = 200


class RequestGate:
    """Holds requests until the process is ready, and closes during a planned stop.

    Parameters
    ----------
    fleet : FleetState
        Targets and routes.
    requests : OpenRequests
        Requests without a final response.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(
        self, fleet: FleetState, requests: OpenRequests, clock: Clock, timers: Timers
    ):
        self._fleet = fleet
        self._requests = requests
        self._clock = clock
        self._timers = timers
        self._stops_at_ms: int | None = None
        self._started_ms = clock.now_ms()
        self._held_exchanges: dict[int, HttpExchange] = {}
        self.on_released: Callable[[HttpExchange], None] = lambda exchange: None

    def begin_stop(self, ends_at_ms: int) -> None:
        """Refuse from now on the requests whose time limit is later than the stop.

        Parameters
        ----------
        ends_at_ms : int
            Time in milliseconds at which the process ends.
        """
        self._stops_at_ms = ends_at_ms

    def fits_before_stop(self, request: ForwardRequest, route: Route) -> bool:
        """Whether a request ends before the process does, however long it takes.

        Durations of streams vary too much for an estimate: the few that an instance
        has seen say little about the longest ones.
        """
        if self._stops_at_ms is None:
            return True
        left_ms = self._stops_at_ms - self._clock.now_ms()
        return time_limit_ms(request, route) <= left_ms

    def hold_until_ready(self, exchange: HttpExchange, request: ForwardRequest) -> None:
        """Hold a request until this process is ready, for a short time."""
        now_ms = self._clock.now_ms()
        wait_ms = START_WAIT_MS
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms // START_WAIT_DIVISOR)
        due_ms = exchange.arrived_ms + wait_ms
        is_late = now_ms - self._started_ms > EXPECTED_START_MS
        is_full = len(self._held_exchanges) >= MAX_HELD_REQUESTS
        if is_late or is_full or now_ms >= due_ms:
            self._refuse_not_ready(exchange, request.request_id)
            return
        number = self._requests.new_number()
        self._held_exchanges[number] = exchange

        def refuse() -> None:
            if self._held_exchanges.pop(number, None) and exchange.is_open:
                self._refuse_not_ready(exchange, request.request_id)

        self._timers.set(_start_timer(number), due_ms, refuse)

    def _refuse_not_ready(self, exchange: HttpExchange, request_id: str) -> None:
        text = "this instance has no configuration yet"
        failure = build_refusal("starting", text, 503, self._time_to_start_ms())
        self._requests.refuse(exchange, failure, request_id)

    def release_held_requests(self) -> None:
        """Process the requests that were held until this process was ready."""
        if not self._fleet.is_ready or not self._held_exchanges:
            return
        for number in list(self._held_exchanges):
            exchange = self._held_exchanges.pop(number)
            self._timers.cancel(_start_timer(number))
            if exchange.is_open:
                self.on_released(exchange)

    def _time_to_start_ms(self) -> int:
        elapsed_ms = self._clock.now_ms() - self._started_ms
        return max(MIN_RETRY_AFTER_MS, EXPECTED_START_MS - elapsed_ms)

    def refuse_held_requests(self) -> None:
        """Refuse the requests that wait for readiness, before the process ends."""
        held, self._held_exchanges = self._held_exchanges, {}
        for number, exchange in held.items():
            self._timers.cancel(_start_timer(number))
            if exchange.is_open:
                self._refuse_not_ready(exchange, "")


def _start_timer(number: int) -> str:
    return f"start:{number}"
