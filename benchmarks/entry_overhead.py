"""Overhead of one entry process against the same stand-in engine called directly.

Run with ``python benchmarks/entry_overhead.py``. Both paths are measured in the same
run with the same processes. Figures are of stand-ins on one machine.
"""

import http.client
import json
import os
import statistics
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import fire

from papayacrank.entry.tests.system import running_system

MS_PER_SECOND = 1000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENGINE_ARGS = (
    "--decode_tokens_per_s",
    "100000",
    "--prefill_tokens_per_s",
    "100000000",
    "--max_batch",
    "256",
)
BENCH_WORKSPACE = {
    "name": "team-a",
    "tokens_per_second": 50_000_000,
    "burst_tokens": 100_000_000,
    "uses": ["sample-llm", "shop-app"],
}


@dataclass
class Sample:
    """Times of one request."""

    first_ms: float
    total_ms: float


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class Client(threading.Thread):
    """Sends streamed completions one after the other on a kept connection."""

    def __init__(
        self, address: str, number: int, prompt: str, tokens: int, until: float
    ):
        super().__init__()
        self._address = address
        self._number = number
        self._prompt = prompt
        self._tokens = tokens
        self._until = until
        self.samples: list[Sample] = []
        self.failures = 0

    def run(self) -> None:
        """Send until the time is over."""
        connection = http.client.HTTPConnection(self._address, timeout=30)
        sent = 0
        while time.perf_counter() < self._until:
            sent += 1
            sample = self._send(connection, sent)
            if sample is None:
                self.failures += 1
            else:
                self.samples.append(sample)
        connection.close()

    def _send(self, connection, sent: int) -> Sample | None:
        message = {"role": "user", "content": self._prompt}
        body = {
            "model": "sample",
            "messages": [message],
            "stream": True,
            "max_tokens": self._tokens,
            "request_id": f"direct-{self._number}-{sent}",
        }
        headers = {"Authorization": "Bearer key-a", "Content-Type": "application/json"}
        started = time.perf_counter()
        connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        response = connection.getresponse()
        first = response.readline()
        first_ms = (time.perf_counter() - started) * MS_PER_SECOND
        rest = response.read()
        total_ms = (time.perf_counter() - started) * MS_PER_SECOND
        complete = response.status == 200 and b"[DONE]" in first + rest
        return Sample(first_ms, total_ms) if complete else None


def measure(address: str, pid: int, clients: int, seconds: float, prompt, tokens):
    """Load an address and return the figures as a dict."""
    until = time.perf_counter() + seconds
    threads = [Client(address, n, prompt, tokens, until) for n in range(clients)]
    cpu_s, started = read_cpu_s(pid), time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.perf_counter() - started
    cpu_s = read_cpu_s(pid) - cpu_s
    samples = [sample for thread in threads for sample in thread.samples]
    firsts = sorted(sample.first_ms for sample in samples)
    return {
        "clients": clients,
        "requests": len(samples),
        "failures": sum(thread.failures for thread in threads),
        "requests_per_s": round(len(samples) / elapsed_s, 1),
        "ttft_ms_median": round(statistics.median(firsts), 2),
        "ttft_ms_p95": round(firsts[int(len(firsts) * 0.95)], 2),
        "cpu_ms_per_request": round(cpu_s * MS_PER_SECOND / len(samples), 3),
        "process_busy": round(cpu_s / elapsed_s, 3),
    }


def run(
    seconds: float = 5.0,
    clients: int = 8,
    engines: int = 2,
    prompt_bytes: int = 2_000,
    tokens: int = 16,
) -> None:
    """Print one JSON line for each path and number of clients.

    Args:
        seconds: Duration of each measurement in seconds.
        clients: Connections of the loaded measurement; also measured with 1.
        engines: Stand-in engines behind the entry process; the direct path uses one.
        prompt_bytes: Length of the prompt in bytes.
        tokens: Output tokens of each request.
    """
    prompt = ("word " * prompt_bytes)[:prompt_bytes]
    options = {
        "engines": engines,
        "services": 0,
        "engine_args": ENGINE_ARGS,
        "configuration": {
            "workspaces": [BENCH_WORKSPACE, BENCH_WORKSPACE | {"name": "team-b"}]
        },
    }
    with (
        tempfile.TemporaryDirectory() as folder,
        running_system(Path(folder), **options) as system,
    ):
        direct = system.engine_addresses[0]["address"], system.engines[0].process.pid
        entry = system.entry_addresses["entry-1"], system.entries["entry-1"].process.pid
        measure(*entry, 1, 1.0, prompt, tokens)
        for count in (1, clients):
            for name, path in (("direct", direct), ("entry", entry)):
                figures = measure(*path, count, seconds, prompt, tokens)
                print(json.dumps({"path": name} | figures), flush=True)


if __name__ == "__main__":
    fire.Fire(run)
