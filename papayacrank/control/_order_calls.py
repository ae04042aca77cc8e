"""Wire form of orders to targets."""

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


def _wire_id(row: OrderRow) -> str:
    """Return the identifier of one attempt; targets carry out an identifier once."""
    return f"{row.order_id}/{row.fencing_token}"


def build_send(row: OrderRow, target: TargetAddress, term: int) -> HttpCall:
    body = {
        "order_id": _wire_id(row),
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
    url = f"http://{target.address}/v1/orders/state"
    key = f"{KEY_PREFIX}{kind} {row.order_id}"
    return HttpCall(key, "GET", url, b"", HTTP_TIMEOUT_MS)


def _decode(body: bytes) -> dict[str, Any]:
    try:
        state = json.loads(body)
    except ValueError:
        return {}
    return state if isinstance(state, dict) else {}


def _listed(result: HttpResult) -> list[dict]:
    orders = _decode(result.body).get("orders")
    if not isinstance(orders, list):
        return []
    return [item for item in orders if isinstance(item, dict)]


def read_status(row: OrderRow, result: HttpResult) -> str:
    """Return the target's status of the last attempt, empty if it knows none."""
    for item in _listed(result):
        if item.get("order_id") == _wire_id(row):
            return str(item.get("status"))
    return ""


def is_running(row: OrderRow, result: HttpResult) -> bool:
    """Return whether the target still carries out any attempt of the order."""
    return any(
        str(item.get("order_id")).rsplit("/", 1)[0] == row.order_id
        and item.get("status") == RUNNING
        for item in _listed(result)
    )


def read_state(row: OrderRow, result: HttpResult) -> str | None:
    """Return the part of a target's state that an order sets, None if unreadable."""
    if result.status != STATUS_OK:
        return None
    state = _decode(result.body)
    if row.kind == "load_adapter" and isinstance(state.get("adapters"), list):
        loaded = row.argument in state["adapters"]
        return row.argument if loaded else ""
    value = state.get(_ARGUMENT_NAMES[row.kind])
    return value if isinstance(value, str) else None
