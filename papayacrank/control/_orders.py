"""Sends orders to targets and confirms them by reading back."""

import json
from dataclasses import dataclass
from typing import Any

from papayacrank.config import TargetAddress, parse_configuration
from papayacrank.messages import ConfirmOrder
from papayacrank.state import MAX_WEIGHT_LOADS, OrderEntry, OrderRow, StateMachine

from ._effects import HttpCall, HttpResult

READ_BACK_INTERVAL_MS = 200
# An attempt without confirmation ends after this time. Loading takes 0.6 s, so a
# target that takes longer is down or loads something else.
ATTEMPT_TIMEOUT_MS = 20_000
RETRY_DELAY_MS = 1_000
# Confirmed orders are read back at this interval, to find late orders of earlier
# leaders and restarts with an older state.
VERIFY_INTERVAL_MS = 2_000
MAX_CALLS = 16
HTTP_TIMEOUT_MS = 1_000
KEY_PREFIX = "order "
STATUS_OK = 200
STATUS_CONFLICT = 409
LOAD_WEIGHTS = "load_weights"
DONE = "done"


@dataclass(slots=True)
class _Attempt:
    """Work of this leader on one order; `token` is 0 before it was issued."""

    token: int = 0
    proposed: bool = False
    sent: bool = False
    accepted: bool = False
    started_ms: int = 0
    next_ms: int = 0
    calling: bool = False


@dataclass(frozen=True, slots=True)
class ProposeOrder:
    """Propose that an order is issued, or that an attempt is given up."""

    order_id: str
    issue: bool
    observed: str = ""
    reason: str = ""


class OrderRunner:
    """The leader's work on orders.

    An order gets a new fencing token through the log before each sending, so the
    orders of an earlier leader have lower tokens. To targets that ignore tokens, a new
    leader sends nothing before `settle_ms` have passed: by then the lease of its
    predecessor has expired, and its calls have ended.

    Parameters
    ----------
    machine : StateMachine
        Holds the orders.
    settle_ms : int
        Lease of a leader, with drift, plus the timeout of a call.
    """

    def __init__(self, machine: StateMachine, settle_ms: int):
        self._machine = machine
        self._settle_ms = settle_ms
        self._settled_ms = 0
        self._term = 0
        self._attempts: dict[str, _Attempt] = {}
        self._verify_ms: dict[str, int] = {}
        self._targets: dict[str, TargetAddress] = {}
        self._targets_version = -1

    def reset(self, term: int, now_ms: int) -> None:
        """Start anew after an election."""
        self._term = term
        self._settled_ms = now_ms + self._settle_ms
        self._attempts.clear()
        self._verify_ms.clear()

    def poll(self, now_ms: int) -> list[HttpCall | ProposeOrder]:
        """Return the calls and proposals that are due."""
        self._read_targets()
        self._forget_closed()
        effects: list[HttpCall | ProposeOrder] = []
        for row in self._machine.orders.open:
            effects += self._advance(row, now_ms)
        return effects + self._verify(now_ms)

    def issued(self, entry: OrderEntry) -> None:
        """Take notice of an applied entry."""
        attempt = self._attempts.get(entry.order_id)
        if attempt is None:
            return
        attempt.proposed = False
        row = self._machine.orders.find(entry.order_id)
        if entry.issue and row is not None and row.state == "issued":
            attempt.token = row.fencing_token
            attempt.sent = attempt.accepted = False
        else:
            attempt.token = 0

    def handle(
        self, result: HttpResult, now_ms: int
    ) -> list[ConfirmOrder | ProposeOrder]:
        """Handle the answer to a call."""
        kind, order_id = result.key.removeprefix(KEY_PREFIX).split(" ", 1)
        if kind == "verify":
            return self._on_verified(order_id, result)
        attempt = self._attempts.get(order_id)
        row = self._machine.orders.find(order_id)
        if attempt is None or row is None:
            return []
        attempt.calling = False
        if kind == "send":
            return self._on_sent(row, attempt, result, now_ms)
        return self._on_read_back(row, attempt, result, now_ms)

    def _advance(self, row: OrderRow, now_ms: int) -> list[HttpCall | ProposeOrder]:
        attempt = self._attempts.setdefault(row.order_id, _Attempt())
        target = self._targets.get(row.target)
        busy = attempt.proposed or attempt.calling or now_ms < attempt.next_ms
        if target is None or busy or self._calls >= MAX_CALLS:
            return []
        if not target.checks_fencing and now_ms < self._settled_ms:
            return []
        if not attempt.token:
            return self._propose_issue(row, attempt, now_ms)
        if now_ms - attempt.started_ms >= ATTEMPT_TIMEOUT_MS:
            return self._give_up(row, attempt, now_ms)
        attempt.calling = True
        if not attempt.accepted:
            attempt.sent = True
            return [_send_call(row, target, self._term)]
        return [_read_call("read", row, target)]

    def _propose_issue(self, row: OrderRow, attempt: _Attempt, now_ms: int) -> list:
        proposed_loads = sum(
            other.proposed and order_id != row.order_id
            for order_id, other in self._attempts.items()
        )
        if row.kind == LOAD_WEIGHTS and row.state != "issued":
            loads = self._machine.orders.weight_loads + proposed_loads
            if loads >= MAX_WEIGHT_LOADS:
                return []
        attempt.proposed = True
        attempt.started_ms = now_ms
        return [ProposeOrder(row.order_id, issue=True)]

    def _give_up(self, row: OrderRow, attempt: _Attempt, now_ms: int) -> list:
        attempt.proposed = True
        attempt.next_ms = now_ms + RETRY_DELAY_MS
        return [ProposeOrder(row.order_id, False, row.observed, "not confirmed")]

    def _on_sent(
        self, row: OrderRow, attempt: _Attempt, result: HttpResult, now_ms: int
    ) -> list:
        if 200 <= result.status < 300:
            attempt.accepted = True
            attempt.next_ms = now_ms
            return []
        attempt.next_ms = now_ms + RETRY_DELAY_MS
        if result.status != STATUS_CONFLICT:
            return []
        # The target has seen a higher token, so the order needs a new one.
        attempt.proposed = True
        return [ProposeOrder(row.order_id, False, row.observed, "old token")]

    def _on_read_back(
        self, row: OrderRow, attempt: _Attempt, result: HttpResult, now_ms: int
    ) -> list:
        attempt.next_ms = now_ms + READ_BACK_INTERVAL_MS
        observed = _read_state(row, result)
        if observed is None:
            return []
        if observed != row.argument:
            return self._on_other_state(row, attempt, observed, result)
        attempt.proposed = True
        return [ConfirmOrder(row.order_id, observed)]

    @staticmethod
    def _on_other_state(
        row: OrderRow, attempt: _Attempt, observed: str, result: HttpResult
    ) -> list:
        """Repeat an order that the target lost or that another one has replaced."""
        status = _order_status(row, result)
        if status == "":
            attempt.accepted = False
        if status != DONE:
            return []
        attempt.proposed = True
        return [ProposeOrder(row.order_id, True, observed, "overwritten")]

    def _verify(self, now_ms: int) -> list[HttpCall]:
        """Read back confirmed orders, a few at a time."""
        calls = []
        for row in self._machine.orders.wanted():
            target = self._targets.get(row.target)
            due = now_ms >= self._verify_ms.get(row.order_id, 0)
            if target is None or not due or len(calls) + self._calls >= MAX_CALLS:
                continue
            self._verify_ms[row.order_id] = now_ms + VERIFY_INTERVAL_MS
            calls.append(_read_call("verify", row, target))
        return calls

    def _on_verified(self, order_id: str, result: HttpResult) -> list[ProposeOrder]:
        row = self._machine.orders.find(order_id)
        if row is None or row.state != "confirmed":
            return []
        observed = _read_state(row, result)
        if observed is None or observed == row.argument:
            return []
        self._attempts[order_id] = _Attempt(proposed=True)
        return [ProposeOrder(order_id, True, observed, "overwritten")]

    @property
    def _calls(self) -> int:
        return sum(attempt.calling for attempt in self._attempts.values())

    def _read_targets(self) -> None:
        configuration = self._machine.configuration
        if configuration.version in (0, self._targets_version):
            return
        services = parse_configuration(configuration.document).services
        self._targets = {t.name: t for s in services for t in s.targets}
        self._targets_version = configuration.version

    def _forget_closed(self) -> None:
        known = {row.order_id for row in self._machine.orders.open}
        for order_id in [k for k in self._attempts if k not in known]:
            if not self._attempts[order_id].proposed:
                del self._attempts[order_id]
        wanted = {row.order_id for row in self._machine.orders.wanted()}
        self._verify_ms = {k: v for k, v in self._verify_ms.items() if k in wanted}


def _wire_id(row: OrderRow) -> str:
    """Return the identifier of one attempt; targets carry out an identifier once."""
    return f"{row.order_id}/{row.fencing_token}"


def _send_call(row: OrderRow, target: TargetAddress, term: int) -> HttpCall:
    body = {
        "order_id": _wire_id(row),
        "fencing_token": [term, row.fencing_token],
        "kind": row.kind,
        "arguments": {_ARGUMENT_NAMES[row.kind]: row.argument},
    }
    url = f"http://{target.address}/v1/orders"
    key = f"{KEY_PREFIX}send {row.order_id}"
    return HttpCall(key, "POST", url, json.dumps(body).encode(), HTTP_TIMEOUT_MS)


def _read_call(kind: str, row: OrderRow, target: TargetAddress) -> HttpCall:
    url = f"http://{target.address}/v1/orders/state"
    key = f"{KEY_PREFIX}{kind} {row.order_id}"
    return HttpCall(key, "GET", url, b"", HTTP_TIMEOUT_MS)


_ARGUMENT_NAMES = {
    "load_weights": "weights_version",
    "load_adapter": "adapter",
    "change_role": "role",
}


def _decode(body: bytes) -> dict[str, Any]:
    try:
        state = json.loads(body)
    except ValueError:
        return {}
    return state if isinstance(state, dict) else {}


def _order_status(row: OrderRow, result: HttpResult) -> str:
    """Return the target's status of the last attempt, empty if it knows none."""
    orders = _decode(result.body).get("orders")
    for item in orders if isinstance(orders, list) else []:
        if isinstance(item, dict) and item.get("order_id") == _wire_id(row):
            return str(item.get("status"))
    return ""


def _read_state(row: OrderRow, result: HttpResult) -> str | None:
    """Return the part of a target's state that an order sets, None if unreadable."""
    if result.status != STATUS_OK:
        return None
    state = _decode(result.body)
    if row.kind == "load_adapter" and isinstance(state.get("adapters"), list):
        loaded = row.argument in state["adapters"]
        return row.argument if loaded else ""
    value = state.get(_ARGUMENT_NAMES[row.kind])
    return value if isinstance(value, str) else None
