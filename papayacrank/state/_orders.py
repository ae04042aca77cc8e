"""Orders to targets, protected by fencing tokens."""

import msgspec

from papayacrank.messages import (
    ConfirmOrder,
    Done,
    FailureRecord,
    OrderPlaced,
    PlaceOrder,
)

from ._base import Table, evict_oldest, refuse
from ._limits import MAX_CONFIRMED_ORDERS, MAX_OPEN_ORDERS, MAX_SUPERSEDED_ORDERS

LOAD_WEIGHTS = "load_weights"
LOAD_ADAPTER = "load_adapter"
CHANGE_ROLE = "change_role"
ORDER_KINDS = (LOAD_WEIGHTS, LOAD_ADAPTER, CHANGE_ROLE)
# More than 3 concurrent readers of the weight store slow each other down.
MAX_WEIGHT_LOADS = 3

WAITING = "waiting"
ISSUED = "issued"
CONFIRMED = "confirmed"
SUPERSEDED = "superseded"


class OrderRow(msgspec.Struct):
    """State of one order.

    Attributes
    ----------
    fencing_token : int
        Log index of the entry that placed or last issued the order, so that tokens
        increase across changes of the leader.
    attempts : int
        Number of times the order was issued.
    observed : str
        State last read back from the target.
    """

    order_id: str
    target: str
    kind: str
    argument: str
    operator: str
    state: str
    fencing_token: int
    attempts: int = 0
    observed: str = ""


class OrdersDump(msgspec.Struct):
    """Snapshot of `OrderTable`."""

    open: list[OrderRow]
    closed: list[OrderRow]


class OrderTable(Table):
    """Open orders, and the last confirmed one of each target and kind.

    The confirmed orders describe the desired state of the targets.
    """

    def __init__(self):
        self._open: dict[str, OrderRow] = {}
        self._confirmed: dict[str, OrderRow] = {}
        self._superseded: dict[str, OrderRow] = {}

    @property
    def open(self) -> list[OrderRow]:
        """Orders that are waiting or issued, oldest first."""
        return list(self._open.values())

    @property
    def closed(self) -> list[OrderRow]:
        """Superseded orders, then confirmed ones, oldest first."""
        return [*self._superseded.values(), *self._confirmed.values()]

    @property
    def weight_loads(self) -> int:
        """Number of weight loads that may be in progress."""
        return sum(
            row.state == ISSUED and row.kind == LOAD_WEIGHTS
            for row in self._open.values()
        )

    def find(self, order_id: str) -> OrderRow | None:
        """Return an order, None if it is not stored."""
        tables = (self._open, self._confirmed, self._superseded)
        return next((t[order_id] for t in tables if order_id in t), None)

    def place(
        self, command: PlaceOrder, order_id: str, token: int
    ) -> OrderPlaced | FailureRecord:
        """Accept an order, which supersedes the last one of the target and kind.

        Placing the same `order_id` again returns the stored order.
        """
        known = self.find(order_id)
        if known is not None:
            return OrderPlaced(known.order_id, known.fencing_token)
        if command.kind not in ORDER_KINDS:
            return refuse("invalid_order", f"no such kind: {command.kind}", 400)
        if len(self._open) >= MAX_OPEN_ORDERS:
            return refuse("table_full", f"{MAX_OPEN_ORDERS} orders are open", 503)
        running = self._supersede(command.target, command.kind)
        self._open[order_id] = OrderRow(
            order_id,
            command.target,
            command.kind,
            command.argument,
            command.operator,
            ISSUED if running else WAITING,
            token,
        )
        return OrderPlaced(order_id, token)

    def issue(self, order_id: str, token: int) -> bool:
        """Assign a new fencing token before an order is sent.

        Returns
        -------
        bool
            False if the order is unknown, can't be reopened because too many orders are
            open, or must wait for other weight loads.
        """
        row = self._open.get(order_id) or self._reopen(order_id)
        if row is None:
            return False
        loads = row.kind == LOAD_WEIGHTS and row.state != ISSUED
        if loads and self.weight_loads >= MAX_WEIGHT_LOADS:
            return False
        row.state = ISSUED
        row.fencing_token = token
        row.attempts += 1
        return True

    def requeue(self, order_id: str, observed: str) -> bool:
        """Move an order to the end of the queue after a failed attempt."""
        row = self._open.pop(order_id, None)
        if row is None:
            return False
        row.state = WAITING
        row.observed = observed
        self._open[order_id] = row
        return True

    def confirm(self, command: ConfirmOrder) -> Done | FailureRecord:
        """Close an order if the state read back is the ordered one."""
        row = self._open.get(command.order_id)
        if row is None:
            return refuse("unknown_order", f"no open order {command.order_id}", 404)
        row.observed = command.observed
        if command.observed != row.argument:
            return refuse(
                "not_confirmed",
                f"{row.target} has {command.observed!r} instead of {row.argument!r}",
            )
        self._close(row, CONFIRMED)
        return Done()

    def confirmed(self) -> list[OrderRow]:
        """Return the confirmed orders, which describe the desired state."""
        return list(self._confirmed.values())

    def dump(self) -> OrdersDump:
        """Return the snapshot."""
        return OrdersDump(self.open, self.closed)

    def load(self, dumped: OrdersDump) -> None:
        """Restore a snapshot."""
        self._open = {row.order_id: row for row in dumped.open}
        self._confirmed = {}
        self._superseded = {}
        for row in dumped.closed:
            self._closed_table(row.state)[row.order_id] = row

    def _supersede(self, target: str, kind: str) -> bool:
        """Close the last order of a target and kind.

        Returns
        -------
        bool
            Whether it may still be in progress. The new order then counts as issued
            immediately, so that the limit on weight loads includes the old one.
        """
        running = False
        for row in [*self._open.values(), *self.confirmed()]:
            if (row.target, row.kind) == (target, kind):
                running = running or row.state == ISSUED
                self._close(row, SUPERSEDED)
        return running

    def _close(self, row: OrderRow, state: str) -> None:
        self._open.pop(row.order_id, None)
        self._confirmed.pop(row.order_id, None)
        row.state = state
        self._closed_table(state)[row.order_id] = row
        evict_oldest(self._confirmed, MAX_CONFIRMED_ORDERS)
        evict_oldest(self._superseded, MAX_SUPERSEDED_ORDERS)

    def _closed_table(self, state: str) -> dict[str, OrderRow]:
        return self._confirmed if state == CONFIRMED else self._superseded

    def _reopen(self, order_id: str) -> OrderRow | None:
        """Reopen a confirmed order after the target lost the ordered state."""
        row = self._confirmed.get(order_id)
        if row is None or len(self._open) >= MAX_OPEN_ORDERS:
            return None
        del self._confirmed[order_id]
        row.state = WAITING
        self._open[order_id] = row
        return row
