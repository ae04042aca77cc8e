"""Loss of two disks while a core of eight machines is split into halves."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

CORE = 8
ZONES = 4
TOLERANCE = 2
# Quiet time before the first loss, beyond `catch_up_s` and `contact_ms`.
SETTLE_S = 12.0
SPLIT_S = 4.2
DOWN_S = 1.0
RECOVERY_S = 15.0
# The operator reads for `contact_ms` at least.
READ_S = 5.0


def play(deployment, record, has_trouble):
    """Split the core, then take two disks right after an acknowledgement."""
    deployment.cloud.servers = [
        harness.Engine(f"e-{n}", "llm", record, {}) for n in range(2)
    ]
    deployment.start()

    side = deployment.core_ips[: CORE // 2]
    other_side = deployment.core_ips[CORE // 2 :]
    # The operator turns to the halves by turns.
    callees = [ip for pair in zip(side, other_side, strict=True) for ip in pair]

    def configure(version):
        document = harness.build_document(
            version,
            [harness.build_engine_service("llm")],
            [{"service": "llm", "weight": 1}],
            [harness.build_tenant("t1", harness.KEY)],
        )
        return deployment.operate("/v1/configuration/put", document, 20, callees)

    if not configure(1) or not deployment.wait_until_ready(30):
        return None
    time.sleep(SETTLE_S)
    if has_trouble:
        record.write(f"split: {side} from {other_side}")
        deployment.links.cut(side, other_side)
        time.sleep(SPLIT_S)
    if not configure(7):
        return None
    leads = side if deployment.acknowledged_by in side else other_side
    lost = leads[:TOLERANCE]
    for ip in lost:
        for role in ("control", "entry"):
            deployment.kill(role, ip)
    for ip in lost:
        deployment.lose_disk(ip)
    if has_trouble:
        deployment.links.heal(side, other_side)
        record.write("the split has ended")
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
    return bool(known) and min(known) >= 7


if __name__ == "__main__":
    sys.exit(
        harness.run_case(
            Path(__file__).parent,
            play,
            machines=CORE,
            core=CORE,
            zones=ZONES,
            tolerance=TOLERANCE,
            has_links=True,
        )
    )
