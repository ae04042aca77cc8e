"""Measures a control group of real processes on loopback.

Run ``python benchmarks/control_changes.py [--members 3] [--subscribers 20]``. Each
line is one JSON object:

- committed changes/s with one and with 32 commands in flight;
- time from the submission of a change or withdrawal until it is in force at the
  subscribers, which use the same control contact as entry processes;
- CPU and bytes/s of each control process and of one subscriber while nothing changes.
"""

import json
import os
import subprocess
import tempfile
import time
from functools import partial
from pathlib import Path

import fire

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control import digest_key
from papayacrank.control.tests.group import ControlGroup
from papayacrank.control.tests.subscriber import TICK_S, EventLoop, Subscriber
from papayacrank.kernel import MonotonicClock, configure_logging
from papayacrank.messages import (
    ConfigurationFiled,
    FileConfiguration,
    GrantKey,
    WithdrawKey,
)
from papayacrank.testing import build_questionnaire

CHANGES = 150
THROUGHPUT_S = 5.0
IDLE_S = 10.0
COMMANDS_IN_FLIGHT = 32
DIGEST = digest_key("key")


def measure_rate(root: EventLoop, subscriber: Subscriber, in_flight: int) -> dict:
    """Measure committed changes/s with commands that grant keys."""
    completed, number, waiting = 0, 0, []
    start = time.monotonic()
    while time.monotonic() - start < THROUGHPUT_S:
        while len(waiting) < in_flight:
            key_id = f"rate-{in_flight}-{number}"
            waiting.append(
                subscriber.submit(GrantKey(key_id, "team-a", DIGEST, "bench"))
            )
            number += 1
        root.tick(TICK_S)
        finished = [item for item in waiting if item in subscriber.outcomes]
        for request_id in finished:
            assert subscriber.outcomes.pop(request_id).is_ok()
            waiting.remove(request_id)
        completed += len(finished)
    elapsed = time.monotonic() - start
    root.wait_until(lambda: all(item in subscriber.outcomes for item in waiting))
    return {"in_flight": in_flight, "changes_per_s": round(completed / elapsed, 1)}


def measure_delay(root: EventLoop, subscribers: list[Subscriber], commands) -> dict:
    """Measure the time until each change is in force at each subscriber."""
    delays = []
    for command in commands:
        start = time.monotonic()
        request_id = subscribers[0].submit(command)
        root.wait_until(lambda wanted=request_id: wanted in subscribers[0].outcomes)
        result = subscribers[0].outcomes.pop(request_id).ok
        if isinstance(result, ConfigurationFiled):
            wanted = ("configuration", result.version)
        else:
            wanted = ("feed", result.feed_version)
        root.wait_until(lambda w=wanted: all(w in s.reached for s in subscribers))
        delays += [s.reached[wanted] - start for s in subscribers]
    return summarize_ms(delays)


def summarize_ms(seconds: list[float]) -> dict:
    """Return median, 99th percentile and maximum in milliseconds."""
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "samples": len(ordered),
        "median_ms": round(ordered[last // 2] * 1000, 2),
        "p99_ms": round(ordered[int(last * 0.99)] * 1000, 2),
        "max_ms": round(ordered[last] * 1000, 2),
    }


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


def read_tcp_bytes(pid: int) -> int:
    """Return the bytes sent and received on the open TCP connections of a process."""
    command = ["ss", "-tinpHO"]
    lines = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    total = 0
    for line in lines.splitlines():
        if f"pid={pid}," not in line:
            continue
        for word in line.split():
            name, _, value = word.partition(":")
            if name in ("bytes_sent", "bytes_received"):
                total += int(value)
    return total


def measure_idle(root: EventLoop, group: ControlGroup, subscribers: int) -> list[dict]:
    """Measure CPU and bytes/s while nothing changes."""
    pids = {n: p.pid for n, p in group.processes.items() if p.is_running}
    root.run_for(2.0)
    before = {
        name: (read_cpu_s(pid), read_tcp_bytes(pid)) for name, pid in pids.items()
    }
    start = time.monotonic()
    root.run_for(IDLE_S)
    elapsed = time.monotonic() - start
    leader = f"control-{group.wait_ready()}"
    rows = []
    for name, pid in pids.items():
        cpu, data = before[name]
        rows.append(
            {
                "process": name,
                "leads": name == leader,
                "subscribers": subscribers,
                "cpu_percent": round((read_cpu_s(pid) - cpu) / elapsed * 100, 2),
                "bytes_per_s": round((read_tcp_bytes(pid) - data) / elapsed),
                "resident_mb": round(read_memory_mb(pid), 1),
            }
        )
    return rows


def run_benchmark(members: int = 3, subscribers: int = 20) -> None:
    """Run all measurements.

    Parameters
    ----------
    members : int
        Number of control processes.
    subscribers : int
        Number of control contacts.
    """
    configure_logging("benchmark", "warning")
    with (
        tempfile.TemporaryDirectory() as folder,
        ControlGroup(Path(folder), size=members) as group,
    ):
        group.start_members()
        group.wait_ready()
        root = EventLoop()
        peers = {peer.name: peer.address for peer in group.peers}
        started = [Subscriber(root, f"i{n}", peers) for n in range(subscribers)]
        for subscriber in started:
            subscriber.begin()
        clock = MonotonicClock()
        root.wait_until(
            lambda: all(s.contact.has_contact(clock.now_ms()) for s in started)
        )
        print_row = partial(print_result, members=members, subscribers=subscribers)
        for row in measure_idle(root, group, subscribers):
            print_row("idle", row)
        file_commands = [
            FileConfiguration(n, build_document(1_000 + n), "bench")
            for n in range(CHANGES)
        ]
        print_row("configuration in force", measure_delay(root, started, file_commands))
        keys = [f"key-{n}" for n in range(CHANGES)]
        grants = [GrantKey(k, "team-a", DIGEST, "bench") for k in keys]
        print_row("key granted", measure_delay(root, started, grants))
        withdrawals = [WithdrawKey(k, "bench") for k in keys]
        print_row("key withdrawn", measure_delay(root, started, withdrawals))
        for in_flight in (1, COMMANDS_IN_FLIGHT):
            print_row("committed changes", measure_rate(root, started[0], in_flight))
        for subscriber in started:
            subscriber.link.close()


def build_document(keep_route_ms: int) -> str:
    """Return a configuration document that differs in `keep_route_ms` only."""
    answers = build_questionnaire(keep_route_ms=keep_route_ms)
    return canonical_json(generate_configuration(answers))


def print_result(measurement: str, result: dict, **fields) -> None:
    """Print one result as a JSON object on one line."""
    print(json.dumps({"measurement": measurement} | fields | result), flush=True)


if __name__ == "__main__":
    fire.Fire(run_benchmark)
