"""Cached parts of a tenant that a configuration isolates."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

SERVERS = 3
PARTS = 30
CONFIG_APPLY_S = 2.0


def play(deployment, record, has_trouble):
    """Isolate a tenant whose requests have filled the caches of the servers."""
    engines = [harness.Engine(f"e-{n}", "llm", record, {}) for n in range(SERVERS)]
    deployment.cloud.servers = engines
    deployment.start()
    service = harness.build_engine_service("llm")
    shares = [{"service": "llm", "weight": 1}]

    def configure(version, isolated):
        tenants = [
            harness.build_tenant("t1", harness.KEY, isolated),
            harness.build_tenant("t2", harness.OTHER_KEY),
        ]
        document = harness.build_document(version, [service], shares, tenants)
        record.write(f"configuration {version}: t1 isolated: {isolated}")
        return deployment.operate("/v1/configuration/put", document, 20)

    def send(name, key):
        statuses = []
        for number in range(PARTS):
            parts = f"{0xA000 + number:x}:2000,{name}{number:04d}:300"
            headers = harness.build_headers(
                f"{name}-{number}", key=key, parts=parts, deadline_ms=4_000
            )
            ip = deployment.ips[number % len(deployment.ips)]
            statuses.append(deployment.request(ip, "/reply/x", headers, 4.0)[0])
        return statuses.count(200)

    if not configure(1, False) or not deployment.wait_until_ready():
        return None
    if send("a", harness.KEY) < PARTS:
        return None
    isolated_s = configure(2, has_trouble)
    if not isolated_s:
        return None
    time.sleep(CONFIG_APPLY_S + 0.5)
    from_s = time.monotonic()
    served = send("b", harness.OTHER_KEY)
    reuses = [
        (request_id, tenant, maker)
        for engine in engines
        for at_s, request_id, tenant, maker in engine.reuses
        if at_s >= from_s and tenant != maker
    ]
    record.write(f"requests of t2 that were served: {served}")
    record.write(f"uses of parts that a request of t1 made: {len(reuses)}")
    if served < PARTS // 2:
        return None
    return not (has_trouble and reuses)


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).parent, play))
