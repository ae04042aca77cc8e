"""Measures the CPU and memory use of idle processes by number of entry processes.

Run ``python benchmarks/idle_cost.py``. Each line is one JSON object: CPU time as a
percentage of a core and resident memory in megabytes, for the leader, the followers
and the entry processes of a deployment without traffic.
"""

import json
import os
import tempfile
import time
from pathlib import Path

from papayacrank.kernel import configure_logging
from papayacrank.testing import Deployment, DeploymentSize, Fleet

ENTRY_COUNTS = (1, 3, 6, 9)
SETTLE_S = 3.0
MEASURE_S = 10.0
BYTES_PER_MB = 1_000_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


def measure(entries: int) -> None:
    """Measure one idle deployment and print a line with the means of each role."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        deployment = Deployment(fleet, DeploymentSize(entries=entries, engines=2))
        deployment.start()
        time.sleep(SETTLE_S)
        leader = deployment.find_leader()
        pids = {
            name: process.pid
            for name, process in fleet.processes.items()
            if name.startswith(("control-", "entry-"))
        }
        before = {name: read_cpu_s(pid) for name, pid in pids.items()}
        time.sleep(MEASURE_S)
        roles: dict[str, list[tuple[float, float]]] = {}
        for name, pid in pids.items():
            role = "leader" if name == leader else name.split("-")[0]
            cpu_share = (read_cpu_s(pid) - before[name]) / MEASURE_S
            roles.setdefault(role, []).append((cpu_share, read_memory_mb(pid)))
    for role, usages in sorted(roles.items()):
        cpu, memory = (
            sum(values) / len(usages) for values in zip(*usages, strict=True)
        )
        line = {"entries": entries, "role": role, "processes": len(usages)}
        line |= {"cpu_percent": round(100 * cpu, 2), "memory_mb": round(memory, 1)}
        print(json.dumps(line), flush=True)


def main() -> None:
    """Run all measurements."""
    configure_logging("idle_cost", "error")
    for entries in ENTRY_COUNTS:
        measure(entries)


if __name__ == "__main__":
    main()
