"""New weights of a second model on servers that hold two models."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

SERVERS = 6
VERSION_MS = 8_000
# Uninterrupted calm time since the acknowledgement after which the rule judges.
CALM_S = 1.5 * VERSION_MS / 1_000 + 8.0


def send_traffic(deployment, ends_s, results):
    """Send requests for both models, one after the other."""
    number = 0
    while time.monotonic() < ends_s:
        number += 1
        model = ("m1", "m2")[number % 2]
        headers = harness.build_headers(f"r{number}-{model}", model, deadline_ms=2_000)
        ip = deployment.ips[number % len(deployment.ips)]
        status, _ = deployment.request(ip, "/reply/x", headers, 2.0)
        results.append((time.monotonic(), model, status))
        time.sleep(0.1)


def play(deployment, record, has_trouble):
    """Name weights of the first model, then of the second one."""
    named = {}
    engines = [
        harness.Engine(f"e-{n}", "llm", record, named, ("m1", "m2"))
        for n in range(SERVERS)
    ]
    deployment.cloud.servers = engines
    deployment.start()
    service = harness.build_engine_service("llm", ("m1", "m2"))
    document = harness.build_document(
        1,
        [service],
        [{"service": "llm", "weight": 1}],
        [harness.build_tenant("t1", harness.KEY)],
    )
    if not deployment.operate("/v1/configuration/put", document, 20):
        return None
    if not deployment.wait_until_ready():
        return None
    if has_trouble:
        named["m1"] = 2
        if not deployment.operate("/v1/version-put", {"model": "m1", "version": 2}):
            return None
        ends_s = time.monotonic() + VERSION_MS / 1_000
        while any(e.versions["m1"] < 2 for e in engines):
            if time.monotonic() > ends_s:
                return None
            time.sleep(0.1)
        time.sleep(4.0)
    named["m2"] = 2
    named_s = deployment.operate("/v1/version-put", {"model": "m2", "version": 2})
    if not named_s:
        return None
    results = []
    traffic = threading.Thread(
        target=send_traffic, args=(deployment, named_s + CALM_S, results)
    )
    traffic.start()
    traffic.join()
    old = [engine.name for engine in engines if engine.versions["m2"] < 2]
    late = [s for at_s, m, s in results if m == "m2" and at_s > named_s + 8.0]
    record.write(f"servers with the older version of m2: {old}")
    record.write(
        f"requests on m2 from 8 s after the acknowledgement: {len(late)},"
        f" served: {late.count(200)}"
    )
    return not (len(old) > 1 and len(old) > SERVERS / 10)


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).parent, play))
