"""Loss of two disks in a core of six machines that has to bear it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

CORE = 6
TOLERANCE = 2
# Quiet time before the loss, beyond `catch_up_s` and `contact_ms`.
SETTLE_S = 15.0
DOWN_S = 1.0
RECOVERY_S = 15.0
# The operator reads for `contact_ms` at least.
READ_S = 6.0


def play(deployment, record, has_trouble):
    """Take the disks of two machines right after an acknowledgement."""
    deployment.cloud.servers = [
        harness.Engine(f"e-{n}", "llm", record, {}) for n in range(2)
    ]
    deployment.start()

    def configure(version):
        document = harness.build_document(
            version,
            [harness.build_engine_service("llm")],
            [{"service": "llm", "weight": 1}],
            [harness.build_tenant("t1", harness.KEY)],
        )
        return deployment.operate("/v1/configuration/put", document, 20)

    if not configure(1) or not deployment.wait_until_ready():
        return None
    time.sleep(SETTLE_S)
    if not configure(7):
        return None
    lost = deployment.seeds[:TOLERANCE] if has_trouble else []
    for ip in lost:
        deployment.kill("control", ip)
        deployment.kill("entry", ip)
    for ip in lost:
        deployment.lose_disk(ip)
    time.sleep(DOWN_S)
    for ip in lost:
        for role in ("control", "entry"):
            deployment.start_process(role, ip)
    record.write(f"machines without their disks are back: {lost}")
    time.sleep(RECOVERY_S)
    versions = []
    ends_s = time.monotonic() + READ_S
    while time.monotonic() < ends_s:
        for ip in deployment.core_ips:
            versions.append(deployment.read_configuration(ip))
        time.sleep(0.5)
    known = [version for version in versions if version is not None]
    record.write(f"reads at the end: {len(versions)}, answered: {len(known)}")
    acknowledged = configure(9)
    record.write(f"a further configuration is acknowledged: {bool(acknowledged)}")
    ready = [ip for ip in deployment.ips if deployment.is_ready(ip)]
    record.write(f"machines that are ready: {ready}")
    return bool(known) and min(known) >= 7


if __name__ == "__main__":
    sys.exit(
        harness.run_case(
            Path(__file__).parent,
            play,
            machines=CORE,
            core=CORE,
            zones=CORE,
            tolerance=TOLERANCE,
        )
    )
