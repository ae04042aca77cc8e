"""Wire format of orders to targets."""

import json
from typing import Any

from papayacrank.config import TargetAddress
from papayacrank.state import OrderRow

from ._effects import HttpCall, HttpResult

HTTP_TIMEOUT_MS = 1_000
KEY_PREFIX = "order "
STATUS_OK = 200
RUNNING = "running"

_ARGUMENT_NAMES = {
    "load_weights": "weights_version",
    "load_adapter": "adapter",
    "change_role": "role",
}


def _attempt_id(row: OrderRow) -> str:
    """Return the identifier of an attempt; targets execute each identifier once."""
    return f"{row.order_id}/{row.fencing_token}"


def build_send(row: OrderRow, target: TargetAddress, term: int) -> HttpCall:
    """Return the call that sends an order; it requires the leader lease."""
    body = {
        "order_id": _attempt_id(row),
        "fencing_token": [term, row.fencing_token],
        "kind": row.kind,
        "arguments": {_ARGUMENT_NAMES[row.kind]: row.argument},
    }
    url = f"http://{target.address}/v1/orders"
    key = f"{KEY_PREFIX}send {row.order_id}"
    return HttpCall(
        key,
        "POST",
        url,
        json.dumps(body).encode(),
        HTTP_TIMEOUT_MS,
        needs_lease=True,
    )


def build_read(kind: str, row: OrderRow, target: TargetAddress) -> HttpCall:
    """Return the call that reads the state of a target."""
    url = f"http://{target.address}/v1/orders/state"
    key = f"{KEY_PREFIX}{kind} {row.order_id}"
    return HttpCall(key, "GET", url, b"", HTTP_TIMEOUT_MS)


def _decode(body: bytes) -> dict[str, Any]:
    try:
        state = json.loads(body)
    except ValueError:
        return {}
    return state if isinstance(state, dict) else {}


def _reported_orders(result: HttpResult) -> list[dict]:
    orders = _decode(result.body).get("orders")
    if not isinstance(orders, list):
        return []
    return [order for order in orders if isinstance(order, dict)]


def read_status(row: OrderRow, result: HttpResult) -> str:
    """Return the status of the last attempt, empty if the target does not report it."""
    for order in _reported_orders(result):
        if order.get("order_id") == _attempt_id(row):
            return str(order.get("status"))
    return ""


def is_running(row: OrderRow, result: HttpResult) -> bool:
    """Return whether the target is still executing any attempt of the order."""
    return any(
        str(order.get("order_id")).rsplit("/", 1)[0] == row.order_id
        and order.get("status") == RUNNING
        for order in _reported_orders(result)
    )


def read_state(row: OrderRow, result: HttpResult) -> str | None:
    """Return the value of the state that an order sets, None if it is unreadable."""
    if result.status != STATUS_OK:
        return None
    state = _decode(result.body)
    if row.kind == "load_adapter" and isinstance(state.get("adapters"), list):
        loaded = row.argument in state["adapters"]
        return row.argument if loaded else ""
    value = state.get(_ARGUMENT_NAMES[row.kind])
    return value if isinstance(value, str) else None
