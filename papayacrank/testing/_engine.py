"""Stand-in engine: HTTP interface, cache events and fault injection."""

import json
import os
import time
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any

from papayacrank.kernel import Clock
from papayacrank.targets import TargetClient, render_prompt
from papayacrank.transport import Timers

from ._cache_publisher import CachePublisher, encode_change
from ._engine_model import (
    EngineModel,
    EngineSpeed,
    Job,
    count_tokens,
    expected_output,
)
from ._faults import Fault
from ._http_server import MS_PER_SECOND, StandInServer, read_json
from ._kv_import import KvImporter

TICK_MS = 2
MAX_RECORDS = 20_000
MAX_CANCELLED_IDS = 1_000
MAX_ORDERS = 1_000
BYTES_PER_TOKEN = 4
END_OF_STREAM = b"data: [DONE]\n\n"
CRASH_EXIT_CODE = 70
ENGINE_FAULTS = frozenset(
    {
        "crash",
        "delay_events",
        "ignore_fencing",
        "lose_events",
        "repeat_token",
        "skip_token",
        "stop_mid_stream",
    }
)
ORDER_KINDS = ("load_weights", "load_adapter", "load_model", "change_role")


@dataclass(slots=True)
class EngineRecord:
    """Statistics of one received request."""

    request_id: str
    headers: dict[str, str]
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_offset: int = 0
    tokens_sent: int = 0
    finished: bool = False
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class _Stream:
    """A job and the response that its tokens go to."""

    job: Job
    res: Any
    record: EngineRecord
    streamed: bool
    chunk_id: str
    stop_fault: Fault | None = None
    skip_fault: Fault | None = None
    repeat_fault: Fault | None = None
    texts: list[str] = field(default_factory=list)
    stalled: bool = False


class StandInEngine(StandInServer):
    """Engine with simulated speed, a prefix cache and fault injection.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    port, events_port, replay_port : int
        Ports to listen on; 0 lets the system choose.
    speed : EngineSpeed, optional
        Speed and sizes.
    model, weights_version, role : str
        Initial model, weights version and role.
    checks_fencing : bool
        Whether orders with an old fencing token are refused.
    load_lag_ms : int
        Time for which a load report is reused, in milliseconds.
    crash_text : str
        Text in a prompt on which the process exits as soon as it begins to write the
        output; empty for none.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        port: int = 0,
        events_port: int = 0,
        replay_port: int = 0,
        speed: EngineSpeed | None = None,
        model: str = "sample",
        weights_version: str = "1",
        role: str = "both",
        checks_fencing: bool = True,
        load_lag_ms: int = 0,
        crash_text: str = "",
    ):
        super().__init__(clock, timers, port, ENGINE_FAULTS)
        self._crash_text = crash_text
        self._model = EngineModel(speed or EngineSpeed(), model, weights_version)
        self._publisher = CachePublisher(events_port, replay_port).register(self)
        self._client = TargetClient(clock, timers).register(self)
        self._importer = KvImporter(self._client).register(self)
        self._checks_fencing = checks_fencing
        self._load_lag_ms = load_lag_ms
        self._load_report: dict[str, Any] = {}
        self._load_report_ms = 0
        self._role = role
        self._adapters: list[str] = []
        self._orders: OrderedDict[str, dict] = OrderedDict()
        self._highest_token: list[int] = [0, 0]
        self._incarnation = time.time_ns() // 1_000_000
        self._loading_until_ms = 0
        self._streams: dict[Job, _Stream] = {}
        self._records: list[EngineRecord] = []
        self.cancel_requests_: deque[str] = deque(maxlen=MAX_CANCELLED_IDS)
        self._seen_ids: OrderedDict[str, None] = OrderedDict()
        self._cancelled_ids: OrderedDict[str, None] = OrderedDict()
        self._tick_scheduled = False
        self._counts = {
            "tokens_sent": 0,
            "computed_tokens": 0,
            "cached_tokens": 0,
            "imported_tokens": 0,
        }

    @property
    def events_address(self) -> str:
        """Address of the cache events."""
        return self._publisher.events_address

    @property
    def replay_address(self) -> str:
        """Address for replays of cache events."""
        return self._publisher.replay_address

    @property
    def incarnation(self) -> int:
        """Incarnation number, which increases with each start and crash."""
        return self._incarnation

    @property
    def records(self) -> list[EngineRecord]:
        """Statistics of the latest requests, in the order of arrival."""
        return list(self._records)

    @property
    def active_(self) -> int:
        """Number of queued and running requests."""
        return len(self._streams)

    def inject(self, document: dict[str, Any]) -> None:
        """Plan a fault, or apply it at once if it does not depend on a request."""
        super().inject(document)
        if document["kind"] == "crash":
            fault = self._faults.consume("crash")
            self._call_later(1, lambda: self._crash(fault))
        elif document["kind"] == "ignore_fencing":
            self._faults.consume("ignore_fencing")
            self._checks_fencing = False

    # Requests

    def _serve(self, req, res):
        routes = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/load"): self._report_load,
            ("GET", "/v1/kv/blocks"): self._list_blocks,
            ("POST", "/v1/kv/export"): self._export_blocks,
            ("POST", "/v1/kv/import"): self._import_blocks,
            ("POST", "/v1/orders"): self._accept_order,
            ("GET", "/v1/orders/state"): self._report_orders,
            ("GET", "/stats"): self._report_stats,
        }
        route = routes.get((req.method, req.path))
        if route is None:
            return self._fill_response(res, 404, {"error": "unknown path"})
        try:
            return route(req, res)
        except (ValueError, KeyError, TypeError) as error:
            return self._fill_response(res, 400, {"error": repr(error)})

    def _complete(self, req, res):
        document = read_json(req)
        now_ms = self._clock.now_ms()
        requested = document.get("weights_version")
        if requested not in (None, self._model.weights_version):
            return self._fill_response(res, 409, {"error": "wrong_weights_version"})
        if self._model.is_full or now_ms < self._loading_until_ms:
            return self._fill_response(res, 503, {"error": "overloaded"})
        job = self._build_job(document)
        headers = {name.lower(): value for name, value in req.headers.items()}
        record = EngineRecord(job.request_id, headers, first_offset=job.first_offset)
        self._add_record(record)
        self._seen_ids[job.request_id] = None
        if len(self._seen_ids) > MAX_RECORDS:
            self._seen_ids.popitem(last=False)
        if self._cancelled_ids.pop(job.request_id, self) is None:
            record.cancelled = True
            return self._fill_response(res, 499, {"error": "cancelled"})
        stream = _Stream(job, res, record, bool(document.get("stream")), job.request_id)
        self._assign_stream_faults(stream)
        self._streams[job] = stream
        if stream.streamed:
            self._start_stream(res, self._stream_headers(stream))
        if document.get("kv_source"):
            self._import_then_enqueue(job, str(document["kv_source"]))
        else:
            self._enqueue(job)
        return True

    def _enqueue(self, job: Job) -> None:
        if job in self._streams:
            self._model.submit(job, self._clock.now_ms())
            self._schedule_tick()

    def _import_then_enqueue(self, job: Job, source: str) -> None:
        """Import the prompt's blocks from another engine, then queue the request."""
        hashes = self._model.hash_job(job)
        version = self._model.weights_version

        def on_fetched(imported: tuple[bytes, ...]) -> None:
            count = len(imported)
            usable = imported == hashes[:count]
            tokens = count * self._block_tokens if usable else 0
            self._counts["imported_tokens"] += tokens
            import_ms = tokens * MS_PER_SECOND / self._model.speed.import_tokens_per_s
            self._call_later(
                int(import_ms), lambda: on_copied(imported if usable else ())
            )

        def on_copied(imported: tuple[bytes, ...]) -> None:
            if imported and self._model.weights_version == version:
                changes = self._model.store_chain(imported, job)
                self._publish([encode_change(c, self._block_tokens) for c in changes])
            self._enqueue(job)

        self._importer.fetch(source, hashes, version, on_fetched)

    def _build_job(self, document: dict) -> Job:
        messages = document["messages"]
        limit = int(document.get("max_tokens", 512))
        output, reason = expected_output(
            messages, limit, self._model.speed.output_tokens
        )
        first_offset = int(document.get("resume_from", 0))
        if not 0 <= first_offset <= len(output):
            raise ValueError("resume_from is outside of the output")
        resumed = document.get("resume_text")
        if resumed is not None and resumed != "".join(output[:first_offset]):
            raise ValueError("resume_text is not the output before resume_from")
        return Job(
            str(document["request_id"]),
            render_prompt(messages),
            str(document.get("cache_salt", "")),
            output,
            reason,
            first_offset,
            int(document.get("priority", 0)),
        )

    def _assign_stream_faults(self, stream: _Stream) -> None:
        stream.stop_fault = self._faults.consume("stop_mid_stream")
        stream.skip_fault = self._faults.consume("skip_token")
        stream.repeat_fault = self._faults.consume("repeat_token")
        if self._faults.consume("swap_answers") is not None:
            others = [s.job.request_id for s in self._streams.values()]
            stream.chunk_id = others[-1] if others else "another-request"

    def _stream_headers(self, stream: _Stream) -> dict:
        return {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            "X-Request-Id": stream.job.request_id,
        }

    def _cancel(self, req, res):
        request_id = str(read_json(req)["request_id"])
        self.cancel_requests_.append(request_id)
        if request_id not in self._seen_ids:
            # The request may still arrive on another connection.
            self._cancelled_ids[request_id] = None
        if len(self._cancelled_ids) > MAX_CANCELLED_IDS:
            self._cancelled_ids.popitem(last=False)
        found = [s for s in self._streams.values() if s.job.request_id == request_id]
        for stream in found:
            self._cancel_stream(stream)
            self._send_error(stream, "cancelled")
        return self._fill_response(res, 200, {"cancelled": len(found)})

    def _cancel_stream(self, stream: _Stream) -> None:
        self._streams.pop(stream.job, None)
        self._model.cancel(stream.job)
        stream.record.cancelled = True

    def _on_connection_closed(self, sock) -> None:
        for stream in list(self._streams.values()):
            if stream.res.request.sock is sock:
                self._cancel_stream(stream)

    # Progress

    def _schedule_tick(self) -> None:
        due_ms = self._model.next_due_ms()
        if due_ms is None or self._tick_scheduled:
            return
        self._tick_scheduled = True
        at_ms = max(int(due_ms) + 1, self._clock.now_ms() + TICK_MS)
        self._timers.set("engine/tick", at_ms, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        result = self._model.advance(self._clock.now_ms())
        chunks: dict[Job, list[bytes]] = {}
        for job, offset, token in result.tokens:
            if job in self._streams:
                self._process_token(self._streams[job], offset, token, chunks)
        for job, data in chunks.items():
            self._send_body(self._streams[job].res, b"".join(data))
        for job in result.finished:
            if job in self._streams:
                self._finish(self._streams[job])
        self._stop_streams()
        self._publish([encode_change(c, self._block_tokens) for c in result.changes])
        self._schedule_tick()

    @property
    def _block_tokens(self) -> int:
        return self._model.speed.block_tokens

    def _process_token(self, stream: _Stream, offset, token, chunks) -> None:
        if self._crash_text and self._crash_text in stream.job.prompt:
            os._exit(CRASH_EXIT_CODE)
        if stream.stalled or self._must_stop(stream, offset):
            stream.stalled = True
            return
        if (
            stream.skip_fault is not None
            and stream.skip_fault.get_int("at", 3) == offset
        ):
            return
        stream.record.tokens_sent += 1
        self._counts["tokens_sent"] += 1
        stream.texts.append(token)
        if not stream.streamed:
            return
        copies = 1
        if (
            stream.repeat_fault is not None
            and stream.repeat_fault.get_int("at", 3) == offset
        ):
            copies = 2
        chunk = self._encode_token(stream, offset, token)
        chunks.setdefault(stream.job, []).extend([chunk] * copies)

    def _must_stop(self, stream: _Stream, offset: int) -> bool:
        if stream.stop_fault is None:
            return False
        return offset - stream.job.first_offset >= stream.stop_fault.get_int("after", 3)

    def _stop_streams(self) -> None:
        """End the streams that reached their fault; "stall" leaves them open."""
        for stream in list(self._streams.values()):
            fault = stream.stop_fault
            if not stream.stalled or fault is None:
                continue
            if fault.arguments.get("how", "reset") == "stall":
                continue
            self._cancel_stream(stream)
            if fault.arguments.get("how") == "end":
                self._send_body(stream.res, None)
            else:
                self._drop(stream.res.request.sock, fault)

    def _finish(self, stream: _Stream) -> None:
        if stream.stalled:
            return
        del self._streams[stream.job]
        job, record = stream.job, stream.record
        record.finished = True
        record.prompt_tokens = job.prompt_tokens
        record.cached_tokens = job.cached_tokens
        self._counts["cached_tokens"] += job.cached_tokens
        self._counts["computed_tokens"] += job.prompt_tokens - job.cached_tokens
        if stream.streamed:
            self._send_body(stream.res, self._encode_end(stream) + END_OF_STREAM)
            self._send_body(stream.res, None)
        else:
            self._send_full_response(stream)

    def _encode_token(self, stream: _Stream, offset: int, token: str) -> bytes:
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        return _encode_chunk(
            {"id": stream.chunk_id, "offset": offset, "choices": [choice]}
        )

    def _encode_end(self, stream: _Stream) -> bytes:
        job = stream.job
        choice = {"index": 0, "delta": {}, "finish_reason": job.finish_reason}
        chunk = {
            "id": stream.chunk_id,
            "offset": len(job.output),
            "choices": [choice],
            "usage": _build_usage(job),
        }
        return _encode_chunk(chunk)

    def _send_full_response(self, stream: _Stream) -> None:
        message = {"role": "assistant", "content": "".join(stream.texts)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": stream.job.finish_reason,
        }
        document = {
            "id": stream.chunk_id,
            "choices": [choice],
            "usage": _build_usage(stream.job),
        }
        headers = {"X-Request-Id": stream.chunk_id}
        self._send_response(self._fill_response(stream.res, 200, document, headers))

    def _send_error(self, stream: _Stream, code: str) -> None:
        if stream.streamed:
            chunk = {"id": stream.chunk_id, "error": {"code": code}}
            self._send_body(stream.res, _encode_chunk(chunk))
            self._send_body(stream.res, None)
        else:
            self._send_response(self._fill_response(stream.res, 499, {"error": code}))

    # Cache

    def _publish(self, events: list) -> None:
        if not events:
            return
        delay = self._faults.consume("delay_events")
        if delay is not None:
            self._call_later(
                delay.get_int("ms", 200), lambda: self._publish_now(events)
            )
            return
        self._publish_now(events)

    def _publish_now(self, events: list) -> None:
        loss = self._faults.consume("lose_events")
        replayable = loss is None or not loss.arguments.get("replay_too", False)
        self._publisher.publish(self._incarnation, events, loss is not None, replayable)

    def _list_blocks(self, req, res):
        document = {
            "incarnation": self._incarnation,
            "sequence": self._publisher.sequence,
            "block_hashes": [value.hex() for value in self._model.cache.hashes],
        }
        return self._fill_response(res, 200, document)

    def _export_blocks(self, req, res):
        requested = [bytes.fromhex(value) for value in read_json(req)["block_hashes"]]
        count = self._model.cache.match(requested)
        document = {
            "weights_version": self._model.weights_version,
            "block_hashes": [value.hex() for value in requested[:count]],
        }
        return self._fill_response(res, 200, document)

    def _import_blocks(self, req, res):
        document = read_json(req)
        if document.get("weights_version") != self._model.weights_version:
            return self._fill_response(res, 409, {"error": "wrong_weights_version"})
        chain = tuple(bytes.fromhex(value) for value in document["block_hashes"])
        job = Job("import", "", str(document.get("cache_salt", "")), [], "stop")
        changes = self._model.store_chain(chain, job)
        self._publish([encode_change(c, self._block_tokens) for c in changes])
        return self._fill_response(res, 200, {"imported": len(chain)})

    # Load, orders, statistics

    def _report_load(self, req, res):
        now_ms = self._clock.now_ms()
        is_expired = now_ms - self._load_report_ms >= self._load_lag_ms
        is_new_incarnation = self._load_report.get("incarnation") != self._incarnation
        if is_expired or is_new_incarnation:
            self._load_report = self._build_load_report()
            self._load_report_ms = now_ms
        return self._fill_response(res, 200, self._load_report)

    def _build_load_report(self) -> dict[str, Any]:
        return {
            "incarnation": self._incarnation,
            "weights_version": self._model.weights_version,
            "running": self._model.running,
            "waiting": self._model.waiting,
            "queued_prefill_tokens": self._model.queued_prefill_tokens,
            "role": self._role,
        }

    def _accept_order(self, req, res):
        document = read_json(req)
        order_id, kind = str(document["order_id"]), document["kind"]
        token = [int(part) for part in document["fencing_token"]]
        if kind not in ORDER_KINDS:
            raise ValueError(f"unknown kind of order: {kind!r}")
        if order_id in self._orders:
            return self._fill_response(res, 200, self._orders[order_id])
        if self._checks_fencing and token < self._highest_token:
            document = {"error": "old_fencing_token", "highest": self._highest_token}
            return self._fill_response(res, 409, document)
        self._highest_token = max(token, self._highest_token)
        order = {
            "order_id": order_id,
            "kind": kind,
            "fencing_token": token,
            "status": "running",
        }
        self._orders[order_id] = order
        if len(self._orders) > MAX_ORDERS:
            self._orders.popitem(last=False)
        self._execute_order(order, dict(document.get("arguments") or {}))
        return self._fill_response(res, 202, order)

    def _execute_order(self, order: dict, arguments: dict) -> None:
        if order["kind"] in ("load_weights", "load_model"):
            load_ms = self._model.speed.load_weights_ms
            self._loading_until_ms = self._clock.now_ms() + load_ms
            self._call_later(load_ms, lambda: self._finish_loading(order, arguments))
        elif order["kind"] == "load_adapter":
            self._adapters.append(str(arguments["adapter"]))
            order["status"] = "done"
        else:
            self._role = str(arguments["role"])
            order["status"] = "done"

    def _finish_loading(self, order: dict, arguments: dict) -> None:
        """Switch to the new weights and end the requests that use the old ones."""
        for stream in list(self._streams.values()):
            self._cancel_stream(stream)
            self._send_error(stream, "weights_changed")
        self._model.clear()
        self._model.model = str(arguments.get("model", self._model.model))
        version = arguments.get("weights_version", self._model.weights_version)
        self._model.weights_version = str(version)
        self._publish([["AllBlocksCleared"]])
        order["status"] = "done"

    def _report_orders(self, req, res):
        document = {
            "incarnation": self._incarnation,
            "model": self._model.model,
            "weights_version": self._model.weights_version,
            "role": self._role,
            "adapters": self._adapters,
            "highest_fencing_token": self._highest_token,
            "orders": list(self._orders.values()),
        }
        return self._fill_response(res, 200, document)

    def _report_stats(self, req, res):
        document = {
            "incarnation": self._incarnation,
            "requests": [asdict(record) for record in self._records],
            "cancel_requests": list(self.cancel_requests_),
            "active": len(self._streams),
            "cached_blocks": len(self._model.cache),
            "sequence": self._publisher.sequence,
            "connections_accepted": self.connections_accepted_,
            **self._counts,
        }
        return self._fill_response(res, 200, document)

    def _add_record(self, record: EngineRecord) -> None:
        self._records.append(record)
        if len(self._records) > MAX_RECORDS:
            del self._records[0]

    def _crash(self, fault: Fault) -> None:
        """Discard all state and close all connections, but keep the statistics."""
        for stream in list(self._streams.values()):
            self._cancel_stream(stream)
        self._model.clear()
        self._publisher.restart()
        self._incarnation = max(self._incarnation + 1, time.time_ns() // 1_000_000)
        self._cancelled_ids.clear()
        self._orders.clear()
        self._highest_token = [0, 0]
        for sock in list(self._sockets):
            self._drop(sock, fault)


def _encode_chunk(document: dict) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _build_usage(job: Job) -> dict:
    return {
        "prompt_tokens": count_tokens(job.prompt),
        "completion_tokens": len(job.output),
        "total_tokens": count_tokens(job.prompt) + len(job.output),
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }
