"""Loss of one disk after the seeds were exchanged for machines without a disk."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness

CORE = 3
DISKLESS = 3
DOWN_S = 1.0
CATCH_UP_S = 4.0
# Quiet time after a loss, well beyond `catch_up_s` and `contact_ms`.
SETTLE_S = 15.0
RECOVERY_S = 12.0
# The operator reads for `contact_ms` at least.
READ_S = 4.0


def play(deployment, record, has_trouble):
    """Exchange the seeds, then take the disk of one machine, later of another one."""
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

    def lose_disk(ip):
        for role in ("control", "entry"):
            deployment.kill(role, ip)
        deployment.lose_disk(ip)
        time.sleep(DOWN_S)
        for role in ("control", "entry"):
            deployment.start_process(role, ip)
        record.write(
            f"{ip} is back without its disk, with the seeds {deployment.seeds}"
        )

    if not configure(1) or not deployment.wait_until_ready():
        return None
    time.sleep(CATCH_UP_S)
    if has_trouble:
        deployment.seeds = deployment.diskless_control_ips
        deployment.write_settings()
        record.write(f"the settings name other seeds: {deployment.seeds}")
        time.sleep(CATCH_UP_S)
    first, second = deployment.core_ips[:2]
    lose_disk(first)
    time.sleep(CATCH_UP_S + SETTLE_S)
    if not configure(7):
        return None
    lose_disk(second)
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
            machines=CORE + DISKLESS,
            core=CORE,
            diskless_control=DISKLESS,
        )
    )
