"""Measures the overhead of one entry process over calling its engine directly.

Run with ``python benchmarks/entry_overhead.py``. Both paths are measured in the same
run with the same processes. The engines are stand-ins, and all processes share one
machine.
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
class RequestLatency:
    """Latency of one request: time to first token and total time in milliseconds."""

    first_ms: float
    total_ms: float


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class Client(threading.Thread):
    """Thread that sends streamed completions in turn on a persistent connection."""

    def __init__(
        self, address: str, number: int, prompt: str, tokens: int, end_s: float
    ):
        super().__init__()
        self._address = address
        self._number = number
        self._prompt = prompt
        self._tokens = tokens
        self._end_s = end_s
        self.samples: list[RequestLatency] = []
        self.failures = 0

    def run(self) -> None:
        """Send requests until the end time."""
        connection = http.client.HTTPConnection(self._address, timeout=30)
        sent = 0
        while time.perf_counter() < self._end_s:
            sent += 1
            sample = self._send(connection, sent)
            if sample is None:
                self.failures += 1
            else:
                self.samples.append(sample)
        connection.close()

    def _send(self, connection, sent: int) -> RequestLatency | None:
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
        return RequestLatency(first_ms, total_ms) if complete else None


def measure(address: str, pid: int, clients: int, seconds: float, prompt, tokens):
    """Send load to an address and return its figures by name."""
    end_s = time.perf_counter() + seconds
    threads = [Client(address, n, prompt, tokens, end_s) for n in range(clients)]
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
    """Print one JSON object a line for each path and number of clients.

    Parameters
    ----------
    seconds : float
        Duration of each measurement in seconds.
    clients : int
        Connections of the loaded measurement; also measured with 1.
    engines : int
        Stand-in engines behind the entry process; the direct path uses one.
    prompt_bytes : int
        Length of the prompt in bytes.
    tokens : int
        Output tokens of each request.
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
        measure(*entry, 1, 1.0, prompt, tokens)  # warm-up, not printed
        for count in (1, clients):
            for name, path in (("direct", direct), ("entry", entry)):
                figures = measure(*path, count, seconds, prompt, tokens)
                print(json.dumps({"path": name} | figures), flush=True)


if __name__ == "__main__":
    fire.Fire(run)
