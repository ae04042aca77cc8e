"""JSON-serializable views of the state for operators."""

from typing import TYPE_CHECKING, Any

import msgspec

from ._limits import MAX_VIEW_HISTOGRAM_BYTES

if TYPE_CHECKING:
    from ._machine import StateMachine

MAX_LISTED_ACTIONS = 1_000


def read_view(state: "StateMachine", what: str) -> Any | None:
    """Return one part of the state as JSON-serializable data.

    Returns None if there is no part named `what`.
    """
    view = _VIEWS.get(what)
    return view(state) if view else None


def _configuration(state: "StateMachine") -> dict:
    table = state.configuration
    return {
        "version": table.version,
        "document": table.document,
        "history": [msgspec.to_builtins(record) for record in table.history],
    }


def _routing(state: "StateMachine") -> dict:
    source = state.routing.source.decode("utf-8", "replace")
    return {"version": state.routing.version, "source": source}


def _keys(state: "StateMachine") -> list[dict]:
    records = [*state.keys.live, *state.keys.withdrawn]
    return [
        {
            "key_id": record.key_id,
            "workspace": record.workspace,
            "state": "withdrawn" if record.withdrawn_by else "in force",
            "granted_by": record.granted_by,
            "granted_wall_ms": record.granted_wall_ms,
            "withdrawn_by": record.withdrawn_by,
            "withdrawn_wall_ms": record.withdrawn_wall_ms,
        }
        for record in records
    ]


def _targets(state: "StateMachine") -> list[dict]:
    return msgspec.to_builtins(state.targets.targets)


def _instances(state: "StateMachine") -> list[dict]:
    return msgspec.to_builtins(state.instances.addresses())


def _budgets(state: "StateMachine") -> list[dict]:
    return state.ledger.view()


def _actions(state: "StateMachine") -> dict:
    unfinished = [row for row in state.actions.rows if row.state != "finished"]
    return {
        "counts": state.actions.count_by_state(),
        "unfinished": [
            {
                "workspace": row.workspace,
                "idempotency_key": row.idempotency_key,
                "service": row.service,
                "state": row.state,
                "owner": row.owner,
            }
            for row in unfinished[-MAX_LISTED_ACTIONS:]
        ],
    }


def _orders(state: "StateMachine") -> list[dict]:
    return msgspec.to_builtins([*state.orders.open, *state.orders.closed])


def _usage(state: "StateMachine") -> list[dict]:
    """Return all rows; omit the histograms of the oldest rows beyond the size limit."""
    rows = []
    remaining_bytes = MAX_VIEW_HISTOGRAM_BYTES
    for row in reversed(state.usage.rows):
        fields = {"minute": row.minute, "minutes": row.minutes}
        fields |= msgspec.structs.asdict(row.usage)
        remaining_bytes -= len(row.usage.ttft_histogram)
        remaining_bytes -= len(row.usage.token_gap_histogram)
        for name in ("ttft_histogram", "token_gap_histogram"):
            fields[name] = fields[name].decode("ascii") if remaining_bytes >= 0 else ""
        rows.append(fields)
    return rows[::-1]


def _releases(state: "StateMachine") -> dict:
    table = state.releases
    return {"possible": dict(table.possible), "streams": table.stream_count}


def _rollouts(state: "StateMachine") -> list[dict]:
    rollouts = state.rollouts.list()
    return [msgspec.structs.asdict(rollout) for rollout in rollouts]


def _status(state: "StateMachine") -> dict:
    return {
        "applied_index": state.applied_index,
        "feed_version": state.feed_version,
        "configuration_version": state.configuration.version,
        "routing_version": state.routing.version,
        "weights": state.weights.versions,
        "keys": len(state.keys),
        "instances": len(state.instances.rows),
        "draining": state.instances.draining,
        "targets": len(state.targets.targets),
        "open_orders": len(state.orders.open),
        "actions": state.actions.count_by_state(),
    }


_VIEWS = {
    "configuration": _configuration,
    "routing": _routing,
    "keys": _keys,
    "targets": _targets,
    "instances": _instances,
    "budgets": _budgets,
    "actions": _actions,
    "orders": _orders,
    "usage": _usage,
    "releases": _releases,
    "rollouts": _rollouts,
    "status": _status,
}
