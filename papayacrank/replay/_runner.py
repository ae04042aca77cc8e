"""Replays a trace through models of the entry instances and engines."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.admission import BudgetLedger, WorkspaceBudget

from ._engine import EngineModel
from ._entry import EntryModel, RequestRecord
from ._schedule import Schedule
from ._trace import BlockHasher, Fault, Trace

# Time after the end of the trace in which requests can still complete.
COOLDOWN_MS = 60_000


@dataclass(frozen=True, slots=True)
class Run:
    """Requests of one replay with their outcomes."""

    trace: Trace
    policy: str
    records: list[RequestRecord]


class Runner:
    """One replay of a trace with one policy.

    Parameters
    ----------
    trace : Trace
        Requests and faults.
    policy : str or callable
        Registered name, or a function that creates a policy for an entry instance.
    seed : int
        Seed of delays, losses and the policies' random choices.
    """

    def __init__(self, trace: Trace, policy: str | Callable, seed: int = 1):
        self.trace = trace
        self.policy = policy
        self.seed = seed
        self.schedule = Schedule()
        self.engines: dict[str, EngineModel] = {}
        self.entries: list[EntryModel] = []
        self._random = random.Random(f"{seed}/runner")
        self._events_lost_until_ms: dict[str, float] = {}
        self._loads_lost_until_ms: dict[str, float] = {}
        self._delivered_ms: dict[tuple[str, str], float] = {}

    def run(self) -> Run:
        """Replay the trace."""
        records = self._set_up()
        end_ms = self.trace.header.duration_ms + COOLDOWN_MS
        self.schedule.run(end_ms)
        for record in records:
            if not record.is_done:
                record.refusal = "unfinished"
        name = self.policy if isinstance(self.policy, str) else "custom"
        return Run(self.trace, name, records)

    def _set_up(self) -> list[RequestRecord]:
        header = self.trace.header
        for location in header.engines:
            self.engines[location.name] = EngineModel(
                location.name, header.engine, header.block_tokens, self.schedule
            )
        ledger = BudgetLedger()
        ledger.configure(
            [
                WorkspaceBudget(w.name, w.rate_tokens_per_s, w.burst_tokens)
                for w in header.workspaces
            ],
            0,
        )
        for position in range(len(header.entries)):
            entry = EntryModel(
                position,
                self.trace,
                self.policy,
                self.engines,
                ledger,
                self.schedule,
                self.seed,
            )
            self.entries.append(entry)
            entry.start()
            offset = self._random.uniform(0, header.engine.poll_interval_ms)
            self.schedule.call_later(offset, self._poll_loads, entry)
        for name in self.engines:
            offset = self._random.uniform(0, header.engine.event_interval_ms)
            self.schedule.call_later(offset, self._publish_events, name)
        for fault in self.trace.faults:
            self.schedule.call_at(fault.at_ms, self._inject_fault, fault)
        return self._schedule_arrivals()

    def _schedule_arrivals(self) -> list[RequestRecord]:
        hasher = BlockHasher(self.trace.header)
        records = []
        for arrival in self.trace.arrivals:
            record = RequestRecord(arrival, hasher.hash_arrival(arrival))
            records.append(record)
            entry = self.entries[arrival.entry]
            self.schedule.call_at(arrival.at_ms, entry.receive_arrival, record)
        return records

    def _poll_loads(self, entry: EntryModel) -> None:
        settings = self.trace.header.engine
        waiting = []
        for name, engine in self.engines.items():
            if not engine.is_up or self._is_lost_now(self._loads_lost_until_ms, name):
                continue
            report = engine.report_load()
            waiting.append(report.waiting)
            self.schedule.call_later(settings.lag_ms, entry.receive_load, name, report)
        mean = sum(waiting) / max(1, len(waiting))
        self.schedule.call_later(settings.lag_ms, entry.receive_load_round, mean)
        self.schedule.call_later(settings.poll_interval_ms, self._poll_loads, entry)

    def _publish_events(self, name: str) -> None:
        settings = self.trace.header.engine
        engine = self.engines[name]
        batch = engine.take_batch() if engine.is_up else None
        if batch is not None:
            for entry in self.entries:
                self._deliver(name, entry, *batch)
        self.schedule.call_later(settings.event_interval_ms, self._publish_events, name)

    def _deliver(
        self, name: str, entry: EntryModel, sequence: int, payload: bytes
    ) -> None:
        settings = self.trace.header.engine
        is_lost = self._random.random() < settings.event_loss
        delay_ms = self._random.uniform(0, 2 * settings.event_delay_ms)
        if is_lost or self._is_lost_now(self._events_lost_until_ms, name):
            return
        # One connection delivers the batches of an engine in order.
        key = (name, entry.location.name)
        at_ms = max(self.schedule.now_ms + delay_ms, self._delivered_ms.get(key, 0.0))
        self._delivered_ms[key] = at_ms
        self.schedule.call_at(at_ms, entry.receive_batch, name, sequence, payload)

    def _is_lost_now(self, lost_until_ms: dict[str, float], name: str) -> bool:
        return self.schedule.now_ms < lost_until_ms.get(name, 0.0)

    def _inject_fault(self, fault: Fault) -> None:
        until_ms = fault.at_ms + fault.duration_ms
        if fault.type == "crash":
            self.engines[fault.name].crash()
            self.schedule.call_at(until_ms, self.engines[fault.name].restart)
        elif fault.type == "slow":
            self.engines[fault.name].slowdown = fault.factor
            self.schedule.call_at(until_ms, self._end_slowdown, fault.name)
        elif fault.type == "events_lost":
            self._events_lost_until_ms[fault.name] = until_ms
        elif fault.type == "loads_lost":
            self._loads_lost_until_ms[fault.name] = until_ms
        elif fault.type == "entry_restart":
            self._restart_entry(fault.name)
        else:
            raise ValueError(f"unknown fault type {fault.type!r}")

    def _end_slowdown(self, name: str) -> None:
        self.engines[name].slowdown = 1.0

    def _restart_entry(self, name: str) -> None:
        names = [entry.location.name for entry in self.entries]
        position = names.index(name)
        peer = self.entries[position - 1]
        self.entries[position].reset_routing_state(peer)
