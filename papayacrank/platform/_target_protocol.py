"""Wire format of the platform's target list, of engine reports and of orders."""

import json
from typing import Literal
from urllib.parse import quote

from pydantic import Field, TypeAdapter, ValidationError

from papayacrank.control import (
    EngineStatus,
    HttpCall,
    HttpResult,
    ListedTarget,
    ListingPage,
    LoadOrder,
    OrderOutcome,
    RunningRequestPolicy,
    TargetProtocol,
    TargetSignals,
)

from ._listing import ListingError, read_page
from ._signals import has_leaving_header, read_pause_ms, read_rate
from ._wire_model import (
    MAX_MODELS,
    Count,
    Slots,
    SocketAddress,
    StrictWireModel,
    WireName,
)

CALL_TIMEOUT_MS = 600
ORDER_TIMEOUT_MS = 250
STORE_TIMEOUT_MS = 300
# A page has 50 entries of about 300 bytes each.
MAX_PAGE_BYTES = 2 * 1024 * 1024
# Event number above those of any store, so that the response contains no events.
NO_EVENTS = 2**53
EXPECT_INSTANCE = "Papayacrank-Expect-Instance"
_STRATEGIES = {
    RunningRequestPolicy.FINISH: "defer",
    RunningRequestPolicy.CANCEL: "truncate",
    RunningRequestPolicy.CONTINUE: "continue",
}
_OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_LOADED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_TARGET,
    400: OrderOutcome.REFUSED,
}


class _LoadedModel(StrictWireModel):
    name: WireName
    version: Count


class _ListEntry(StrictWireModel):
    """Entry of a server. Entries of other writers lack fields that each server has."""

    id: WireName
    service: WireName
    address: SocketAddress
    zone: WireName
    # Version of the server's software.
    version: WireName
    state: Literal["ready", "draining"]
    slots: Slots
    # Time for which the server remains slow after its start.
    cold_remaining_ms: float = Field(ge=0)
    # The following two are those of engines.
    stage: WireName | None = None
    models: list[_LoadedModel] = Field(default=[], max_length=MAX_MODELS)
    # Start time of the process in Unix milliseconds.
    born: Count = 0


class _EngineReport(StrictWireModel):
    busy: bool
    # Number of orders accepted since the start of the process.
    sequence: Count
    models: list[_LoadedModel] = Field(default=[], max_length=MAX_MODELS)
    born: Count = 0


class _StoreEvents(StrictWireModel):
    # Changes at each start of the store.
    boot_epoch: Count


_LIST_ENTRY_ADAPTER = TypeAdapter(_ListEntry)
_REPORT_ADAPTER = TypeAdapter(_EngineReport)
_STORE_EVENTS_ADAPTER = TypeAdapter(_StoreEvents)


class PlatformTargetProtocol(TargetProtocol):
    """HTTP calls to the platform, its engines and its stores.

    Parameters
    ----------
    list_address : str
        Address of the platform's target list as ``ip:port``.
    """

    def __init__(self, list_address: str):
        self._list_address = list_address

    def build_listing(self, key: str, page: str | None) -> HttpCall:
        """Return the call that reads a page of the target list."""
        query = "" if page is None else f"?page_token={quote(page, safe='')}"
        url = f"http://{self._list_address}/instances{query}"
        return HttpCall(
            key, "GET", url, timeout_ms=CALL_TIMEOUT_MS, max_bytes=MAX_PAGE_BYTES
        )

    def read_listing(self, result: HttpResult) -> ListingPage | str:
        """Parse a page of the target list, skipping invalid entries.

        Returns
        -------
        ListingPage or str
            Page of targets, or a description of the error.
        """
        if result.status != 200:
            return result.error or f"status {result.status}"
        try:
            entries, next_page = read_page(result.body)
        except ListingError as error:
            return f"unreadable list: {error}"
        targets = [t for t in map(_read_entry, entries) if t is not None]
        return ListingPage(tuple(targets), next_page)

    def build_status(self, key: str, target: str, address: str) -> HttpCall:
        """Return the call that reads the report of an engine."""
        url = f"http://{address}/v1/report"
        headers = ((EXPECT_INSTANCE, target),)
        return HttpCall(key, "GET", url, b"", CALL_TIMEOUT_MS, headers)

    def read_status(self, result: HttpResult) -> EngineStatus | str:
        """Parse the report of an engine; return a description of the error if any."""
        if result.status != 200:
            return result.error or f"status {result.status}"
        try:
            report = _REPORT_ADAPTER.validate_json(result.body)
        except ValidationError as error:
            return f"unreadable report: {error.errors()[0]['msg']}"
        weights = {model.name: model.version for model in report.models}
        return EngineStatus(report.busy, report.sequence, weights, report.born)

    def build_load(self, key: str, order: LoadOrder) -> HttpCall:
        """Return the call that orders an engine to load a version of its weights."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "strategy": _STRATEGIES[order.policy],
            "holder": order.holder,
            "fencing_token": order.fencing_token,
        }
        if order.expected_orders is not None:
            body["if_revision"] = order.expected_orders
        url = f"http://{order.address}/v1/order"
        headers = ((EXPECT_INSTANCE, order.target),)
        return HttpCall(
            key,
            "POST",
            url,
            json.dumps(body).encode(),
            ORDER_TIMEOUT_MS,
            headers,
            needs_lease=True,
        )

    def read_load(self, result: HttpResult) -> OrderOutcome:
        """Return the outcome of an order, UNKNOWN for any other status."""
        return _OUTCOMES.get(result.status, OrderOutcome.UNKNOWN)

    def read_signals(self, result: HttpResult) -> TargetSignals:
        """Return whether a target is leaving, its pause and its rate limit."""
        headers = list(result.headers)
        return TargetSignals(
            has_leaving_header(headers),
            read_pause_ms(result.status, headers),
            read_rate(headers),
        )

    def build_store_check(self, key: str, address: str) -> HttpCall:
        """Return the call that reads the cache events of a store."""
        url = f"http://{address}/v1/kv-events?since={NO_EVENTS}"
        return HttpCall(key, "GET", url, timeout_ms=STORE_TIMEOUT_MS)

    def read_store_check(self, result: HttpResult) -> int | str:
        """Return the start number of a store, or a description of the error."""
        if has_leaving_header(list(result.headers)):
            return "the store is leaving"
        if result.status != 200:
            return result.error or f"status {result.status}"
        try:
            # 0 is reserved for a store that does not respond.
            return _STORE_EVENTS_ADAPTER.validate_json(result.body).boot_epoch or 1
        except ValidationError as error:
            return f"unreadable events: {error.errors()[0]['msg']}"


def _read_entry(entry: object) -> ListedTarget | None:
    """Parse an entry of the target list; return None if it is invalid."""
    try:
        listed = _LIST_ENTRY_ADAPTER.validate_python(entry)
    except ValidationError:
        return None
    return ListedTarget(
        listed.id,
        listed.address,
        listed.service,
        listed.zone,
        listed.state == "draining",
        listed.slots,
        listed.born,
        {model.name: model.version for model in listed.models},
        listed.version,
    )
