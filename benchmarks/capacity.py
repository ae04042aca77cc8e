"""Measures the slopes from which the figures of docs/CAPACITY.md are calculated.

Run ``python benchmarks/capacity.py``. Each line is one JSON object with the points, a
least-squares fit ``y = slope * x + intercept`` and its largest residual relative to
the largest value.
"""

import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import msgspec

from papayacrank.accounting import UsageRecorder
from papayacrank.admission import BudgetLedger, WorkspaceBudget
from papayacrank.config import (
    Questionnaire,
    canonical_json,
    generate_configuration,
)
from papayacrank.messages import (
    BeginAction,
    ControlRequest,
    FeedUpdate,
    FileConfiguration,
    GrantKey,
    Heartbeat,
    HeartbeatAck,
    KeyChange,
    KeyEntry,
    ShareGrant,
    ShareReport,
)
from papayacrank.state import CommandEntry, HeartbeatEntry, StateMachine, encode_entry
from papayacrank.testing import build_questionnaire

REPETITIONS = 5
WORKSPACES = 400
BOOT = 1_700_000_000_000
DIGEST = "0" * 64


def print_fit(name: str, unit: str, points: list[tuple[float, float]]) -> None:
    """Print the points of one measurement and their least-squares fit."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    residuals = [abs(y - line.slope * x - line.intercept) for x, y in points]
    result = {
        "measurement": name,
        "unit": unit,
        "points": points,
        "slope": round(line.slope, 4),
        "intercept": round(line.intercept, 4),
        "worst_residual": round(max(residuals) / max(map(abs, ys)), 4),
    }
    print(json.dumps(result), flush=True)


def measure_us(run: Callable[[], None]) -> float:
    """Return the minimum CPU time of several runs, in microseconds."""
    times = []
    for _ in range(REPETITIONS):
        started_ns = time.process_time_ns()
        run()
        times.append(time.process_time_ns() - started_ns)
    return min(times) / 1_000


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the memory allocated for the built object, in bytes."""
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size


def build_heartbeat(instance: int, shares: int, sequence: int = 1) -> Heartbeat:
    """Build a heartbeat that reports the shares of several workspaces."""
    reports = [
        ShareReport(f"workspace-{i}", 1_000, 500, sequence * 100, 2_000, 5_000)
        for i in range(shares)
    ]
    return Heartbeat(
        f"instance-{instance}",
        BOOT,
        sequence,
        10_000_000 + sequence,
        1_000,
        "domain-1",
        "10.0.0.1:8080",
        "serving",
        reports,
    )


def measure_heartbeat_size() -> None:
    """Measure the bytes of a heartbeat by workspaces active on the instance."""
    points = [
        (n, len(msgspec.msgpack.encode(build_heartbeat(1, n)))) for n in (0, 5, 50, 400)
    ]
    print_fit("heartbeat_bytes_by_workspaces", "bytes", points)


def measure_ack_size() -> None:
    """Measure the bytes of a heartbeat acknowledgement by workspaces."""
    points = []
    for count in (0, 5, 50, 400):
        grants = [ShareGrant(f"workspace-{n}", 5_000_000) for n in range(count)]
        ack = HeartbeatAck(1, 10_000_000, 3, 3_000, 1_000, BOOT, grants)
        points.append((count, len(msgspec.msgpack.encode(ack))))
    print_fit("heartbeat_ack_bytes_by_workspaces", "bytes", points)


def measure_configuration_size() -> None:
    """Measure the bytes of the configuration by number of targets."""
    points = []
    for count in (9, 100, 1_000):
        addresses = tuple(f"10.0.{n // 250}.{n % 250}:8000" for n in range(count))
        answers = build_questionnaire(addresses, (addresses[0],), addresses, addresses)
        document = canonical_json(generate_configuration(answers))
        points.append((count, len(document)))
    print_fit("configuration_bytes_by_targets", "bytes", points)


def measure_ledger_time() -> None:
    """Measure the ledger's CPU time per report by instances sharing a workspace."""
    points = []
    for instances in (10, 50, 100, 200, 470):
        ledger = BudgetLedger()
        ledger.configure([WorkspaceBudget("workspace-0", 10**6, 10**7)], 0)

        def report_all(ledger=ledger, instances=instances):
            for instance in range(instances):
                reports = build_heartbeat(instance, 1).shares
                ledger.apply_reports(f"i{instance}", 1, reports, 1)

        points.append((instances, measure_us(report_all) / instances))
    print_fit("ledger_us_per_report_by_instances", "us", points)


def measure_heartbeat_time() -> None:
    """Measure the state machine's CPU time for a heartbeat by workspaces."""
    points = []
    for shares in (0, 5, 50, 400):
        state = build_state()
        index = 2

        def apply_heartbeat(state=state, shares=shares):
            nonlocal index
            index += 1
            entry = HeartbeatEntry(index, index, [build_heartbeat(1, shares, index)])
            state.apply(index, encode_entry(entry))

        points.append((shares, measure_us(apply_heartbeat)))
    print_fit("heartbeat_us_by_workspaces", "us", points)


def measure_state_memory() -> None:
    """Measure the memory of the replicated state by keys and by actions."""
    for name, build_command in (("key", build_grant), ("action", build_action)):
        points = [
            (count, measure_bytes(partial(fill_state, count, build_command)))
            for count in (2_500, 5_000, 10_000)
        ]
        print_fit(f"state_bytes_by_{name}s", "bytes", points)


def build_state() -> StateMachine:
    """Return a state machine whose configuration has 400 workspaces."""
    answers = build_questionnaire().model_dump()
    answers["workspaces"] = [
        answers["workspaces"][0] | {"name": f"workspace-{n}"} for n in range(WORKSPACES)
    ]
    configuration = generate_configuration(Questionnaire.model_validate(answers))
    command = FileConfiguration(0, canonical_json(configuration), "operator")
    request = ControlRequest("request-1", "admin", 1, command)
    state = StateMachine()
    reply = state.apply(1, encode_entry(CommandEntry(1, 1, request)))
    assert reply.failure is None, reply.failure
    state.apply(2, encode_entry(HeartbeatEntry(2, 2, [build_heartbeat(1, 0)])))
    return state


def fill_state(count: int, build_command: Callable) -> StateMachine:
    """Return a state machine that has applied `count` commands."""
    state = build_state()
    for number in range(3, count + 3):
        request = ControlRequest(f"request-{number}", "admin", 1, build_command(number))
        reply = state.apply(number, encode_entry(CommandEntry(number, number, request)))
        assert reply.failure is None, reply.failure
    return state


def build_grant(number: int) -> GrantKey:
    """Build a command that grants one key."""
    return GrantKey(f"key-{number}", "workspace-1", f"{number:064x}", "operator")


def build_action(number: int) -> BeginAction:
    """Build a command that begins one action."""
    workspace = f"workspace-{number % 400}"
    return BeginAction(
        workspace, f"key-{number}", DIGEST, "shop-app", "instance-1", BOOT
    )


def measure_feed_size() -> None:
    """Measure the bytes of a feed update by number of key changes."""
    points = []
    for count in (1, 10, 100):
        entries = [KeyEntry(f"key-{n}", "workspace-1", DIGEST) for n in range(count)]
        changes = [KeyChange(entry.key_id, entry) for entry in entries]
        points.append((count, len(msgspec.msgpack.encode(FeedUpdate(1, 2, changes)))))
    print_fit("feed_update_bytes_by_key_changes", "bytes", points)


def measure_usage_size() -> None:
    """Measure the bytes of a usage report by number of workspaces."""
    points = []
    for workspaces in (1, 5, 50, 400):
        recorder = UsageRecorder("instance-1", BOOT)
        for number in range(workspaces):
            for ttft_ms in (50, 90, 120, 300, 800):
                recorder.on_asked(f"workspace-{number}")
                recorder.on_served(f"workspace-{number}", 2_000, 1_500, 200, ttft_ms)
        report = recorder.close_report(1)
        points.append((workspaces, len(msgspec.msgpack.encode(report))))
    print_fit("usage_report_bytes_by_workspaces", "bytes", points)


def main() -> None:
    """Run all measurements."""
    measure_heartbeat_size()
    measure_ack_size()
    measure_configuration_size()
    measure_heartbeat_time()
    measure_ledger_time()
    measure_feed_size()
    measure_usage_size()
    measure_state_memory()


if __name__ == "__main__":
    main()
