"""Measures commit rate, sync time and idle cost of the replicated log by group size.

Each member is a process on loopback with the link, the timers and the log store of
a control process. Usage: ``python benchmarks/consensus_commit.py --help``.
"""

import json
import multiprocessing
import random
import socket
import tempfile
import time
from collections import deque
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import fire
from circuits import BaseComponent, handler
from hdrh.histogram import HdrHistogram

from papayacrank.consensus import (
    CONSENSUS_MESSAGES,
    Committed,
    LogStore,
    Persist,
    RaftNode,
    RaftSettings,
)
from papayacrank.kernel import (
    CancelTimer,
    MonotonicClock,
    Send,
    SetTimer,
    configure_logging,
)
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    install_process_handlers,
)

MAX_SYNC_US = 10_000_000
START_TIMEOUT_MS = 15_000
SETTLE_MS = 2_000
ENTRY_BYTES = 200
GROUPS = ((1, 1), (3, 3), (5, 5), (7, 7), (9, 5))
WINDOWS = (0, 1, 64)
# Larger groups use more than two cores under load, so they are only measured idle.
MAX_LOADED_MEMBERS = 5


class CountingCodec(MessageCodec):
    """Codec that counts the bytes of encoded and decoded messages."""

    def __init__(self, types):
        super().__init__(types)
        self.bytes = 0

    def encode(self, message):
        data = super().encode(message)
        self.bytes += len(data)
        return data

    def decode(self, data):
        self.bytes += len(data)
        return super().decode(data)


@dataclass(frozen=True)
class MemberSettings:
    """Settings of one member process.

    Parameters
    ----------
    name : str
        Name of the member.
    addresses : dict of str to str
        Addresses of all members by name.
    voters : tuple of str
        Names of the initial voters.
    folder : str
        Folder of the log store.
    window : int
        Maximum number of proposed entries in flight; 0 measures the idle group.
    duration_ms : int
        Measured time in milliseconds.
    """

    name: str
    addresses: dict[str, str]
    voters: tuple[str, ...]
    folder: str
    window: int
    duration_ms: int


class MemberProcess(BaseComponent):
    """Member that keeps up to `window` proposed entries in flight while it leads."""

    channel = "member"

    def __init__(self, settings: MemberSettings):
        super().__init__()
        self._settings = settings
        self._clock = MonotonicClock()
        self._codec = CountingCodec(CONSENSUS_MESSAGES)
        peers = {n: a for n, a in settings.addresses.items() if n != settings.name}
        link_settings = LinkSettings(
            settings.name, settings.addresses[settings.name], peers
        )
        self._link = Link(link_settings, self._codec).register(self)
        self._timers = Timers(self._clock).register(self)
        self._store = LogStore(settings.folder)
        raft_settings = RaftSettings(
            name=settings.name,
            failure_domain=settings.name,
            peers=tuple(peers),
            initial_voters=settings.voters,
            target_voters=len(settings.voters),
        )
        self._node = RaftNode(raft_settings, self._store.load(), random.Random())
        self._sync_us = HdrHistogram(1, MAX_SYNC_US, 3)
        self._latency_us = HdrHistogram(1, MAX_SYNC_US, 3)
        self._proposed: dict[int, float] = {}
        self._committed = 0
        self._start_counters = None
        self.report = None

    @handler("started", channel="*")
    def _on_started(self, *_):
        now_ms = self._clock.now_ms()
        self._run_effects(self._node.start(now_ms))
        start_ms = now_ms + SETTLE_MS
        self._timers.set("begin", start_ms, self._begin)
        self._timers.set("end", start_ms + self._settings.duration_ms, self._end)

    @handler("received", channel="link")
    def _on_received(self, sender, message):
        self._run_effects(self._node.receive(sender, message, self._clock.now_ms()))

    def _propose_entries(self):
        now_ms = self._clock.now_ms()
        if not self._node.has_lease(now_ms):
            return
        while len(self._proposed) < self._settings.window:
            result = self._node.propose(b"x" * ENTRY_BYTES, now_ms)
            if result.is_error():
                break
            self._proposed[result.ok] = time.perf_counter()
        self._run_effects(self._node.flush(now_ms))

    def _fire_timer(self, name):
        self._run_effects(self._node.tick(name, self._clock.now_ms()))

    def _run_effects(self, effects):
        queue = deque(effects)
        while queue:
            match queue.popleft():
                case Send(to, message):
                    self._link.send(to, message)
                case SetTimer(name, at_ms):
                    self._timers.set(name, at_ms, partial(self._fire_timer, name))
                case CancelTimer(name):
                    self._timers.cancel(name)
                case Committed(index, _, _):
                    self._on_committed(index)
                case Persist(token, records):
                    began = time.perf_counter()
                    self._store.append(records)
                    self._record(self._sync_us, began)
                    queue.extend(self._node.persisted(token, self._clock.now_ms()))
        if self._node.wants_snapshot:
            index = self._node.commit_index
            now_ms = self._clock.now_ms()
            self._run_effects(self._node.compact(index, b"state", now_ms))

    def _on_committed(self, index):
        self._committed += 1
        began = self._proposed.pop(index, None)
        if began is not None:
            self._record(self._latency_us, began)
            self._schedule_proposals()

    def _schedule_proposals(self):
        """Schedule one batch of proposals for the next iteration of the event loop."""
        self._timers.set("refill", self._clock.now_ms(), self._propose_entries)

    @staticmethod
    def _record(histogram, began):
        elapsed_us = int((time.perf_counter() - began) * 1e6)
        histogram.record_value(max(1, min(elapsed_us, MAX_SYNC_US)))

    def _begin(self):
        self._sync_us.reset()
        self._latency_us.reset()
        self._start_counters = self._read_counters()
        if self._settings.window:
            self._schedule_proposals()

    def _end(self):
        began, ended = self._start_counters, self._read_counters()
        seconds = ended["s"] - began["s"]
        rates = {key: (ended[key] - began[key]) / seconds for key in began}
        is_voter = any(
            m.voter and m.name == self._settings.name for m in self._node.members
        )
        role = "follower" if is_voter else "learner"
        self.report = {
            "role": "leader" if self._node.is_leader else role,
            "entries_per_s": round(rates["entries"]),
            "cpu_percent": round(100 * rates["cpu_s"], 2),
            "bytes_per_s": round(rates["bytes"]),
            "sync_us": self._percentiles(self._sync_us),
            "commit_us": self._percentiles(self._latency_us),
        }
        self.stop()

    def _read_counters(self):
        return {
            "s": time.perf_counter(),
            "cpu_s": time.process_time(),
            "bytes": self._codec.bytes,
            "entries": self._committed,
        }

    @staticmethod
    def _percentiles(histogram):
        return [histogram.get_value_at_percentile(p) for p in (50, 99)]


def run_member(settings: MemberSettings, reports) -> None:
    """Run one member process and put its report on the queue."""
    configure_logging(settings.name, "error")
    root = MemberProcess(settings)
    install_process_handlers(root)
    root.run()
    reports.put(root.report)


def measure(
    members: int, voters: int, window: int, duration_s: float, folder: str
) -> list[dict]:
    """Run one group of members and return their reports."""
    names = tuple(f"m{i}" for i in range(members))
    addresses = {
        name: f"127.0.0.1:{port}"
        for name, port in zip(names, find_free_ports(members), strict=True)
    }
    context = multiprocessing.get_context("spawn")
    reports = context.Queue()
    with tempfile.TemporaryDirectory(dir=folder or None) as data:
        members_settings = [
            MemberSettings(
                name,
                addresses,
                names[:voters],
                str(Path(data) / name),
                window,
                int(duration_s * 1000),
            )
            for name in names
        ]
        processes = [
            context.Process(target=run_member, args=(settings, reports))
            for settings in members_settings
        ]
        for process in processes:
            process.start()
        timeout_s = duration_s + START_TIMEOUT_MS / 1000
        results = [reports.get(timeout=timeout_s) for _ in processes]
        for process in processes:
            process.join()
    return results


def find_free_ports(count: int) -> list[int]:
    """Return free loopback ports."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    selected = [s.getsockname()[1] for s in sockets]
    for opened in sockets:
        opened.close()
    return selected


def main(duration_s: float = 5.0, folder: str = "") -> None:
    """Print one JSON object a line for each group, load and role.

    Parameters
    ----------
    duration_s : float
        Measured time per group and load, in seconds.
    folder : str
        Parent of the data folders; its file system determines the sync time. Empty
        for the default temporary folder.
    """
    for members, voters in GROUPS:
        for window in WINDOWS if members <= MAX_LOADED_MEMBERS else (0,):
            reports = measure(members, voters, window, duration_s, folder)
            load = "idle" if window == 0 else f"{window} in flight"
            for role in ("leader", "follower", "learner"):
                selected = [r for r in reports if r["role"] == role]
                if selected:
                    line = {"members": members, "voters": voters, "load": load}
                    line |= {"count": len(selected)} | average_reports(selected)
                    print(json.dumps(line), flush=True)


def average_reports(reports: list[dict]) -> dict:
    """Return the mean of each number; percentiles are those of the first report."""
    result = {}
    for key, value in reports[0].items():
        if isinstance(value, int | float):
            mean = sum(report[key] for report in reports) / len(reports)
            result[key] = round(mean, 2)
        else:
            result[key] = value
    return result


if __name__ == "__main__":
    fire.Fire(main)
