"""Integration tests of disks that refuse all writes, with real processes."""

import http.client
import json
import threading
import time

import pytest

from .builders import build_document
from .fake_platform import IPS, FakePlatform

# Time within which a change has to be acknowledged once the last disk has room.
ACK_LIMIT_S = 4.0
RESTART_DELAY_S = 0.3


class FullDiskPlatform(FakePlatform):
    """Platform whose control processes may have a full disk, and are restarted."""

    def __init__(self, folder, monkeypatch):
        super().__init__(folder)
        self._environment = monkeypatch
        self.exits = 0
        self.is_running = True
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)

    def start(self, bootstrap="true"):
        """Start all processes, and start those again that end."""
        super().start(bootstrap)
        self._supervisor.start()

    def start_process(self, role, ip, bootstrap="false", has_disk=True):
        """Start a process whose disk can be filled."""
        library = __file__.rsplit("/", 1)[0] + "/full_disk"
        self._environment.setenv("PYTHONPATH", library)
        self._environment.setenv("FULL_DISK_FLAG", str(self.flag(ip)))
        super().start_process(role, ip, bootstrap, has_disk)

    def flag(self, ip):
        """Return the file that fills the disk of a machine."""
        return self._folder / f"data-{ip}" / "full"

    def stop(self):
        """Stop the supervisor and all processes."""
        self.is_running = False
        self._supervisor.join()
        super().stop()

    def _supervise(self):
        while self.is_running:
            for ip in IPS:
                if self.processes[("control", ip)].poll() is not None:
                    self.exits += 1
                    time.sleep(RESTART_DELAY_S)
                    self.start_process("control", ip)
            time.sleep(0.05)

    def _check_processes(self):
        """Accept processes that end, because they are started again."""


@pytest.fixture
def platform(tmp_path, monkeypatch):
    """Return a running deployment with a configuration."""
    running = FullDiskPlatform(tmp_path, monkeypatch)
    try:
        running.start()
        running.configure()
        yield running
    finally:
        running.stop()


class Operator(threading.Thread):
    """Sends new configurations all the time, each until it is acknowledged."""

    def __init__(self, platform):
        super().__init__(daemon=True)
        self._platform = platform
        self.version = 1
        self.acknowledged = {}
        self.is_running = True

    def run(self):
        """Send configurations to the machines in turn."""
        number = 0
        while self.is_running:
            number += 1
            document = build_document(self.version + 1)
            ip = IPS[number % len(IPS)]
            try:
                status, _, body = self._platform.operate(
                    "POST", "/v1/configuration/put", document, ip
                )
            except (OSError, http.client.HTTPException):
                status = 0
            if status == 200:
                self.version += 1
                self.acknowledged[self.version] = time.monotonic()
            elif status == 409:
                self.version = max(self.version, json.loads(body).get("version", 0))
            time.sleep(0.05)


def read_version(platform, ip):
    """Return the version of the configuration at a machine."""
    status, _, body = platform.operate("GET", "/v1/configuration/get", ip=ip)
    return json.loads(body)["version"] if status == 200 else 0


@pytest.mark.prove
@pytest.mark.parametrize(
    ("has_changes", "full_s", "rounds"),
    [(True, 2.0, 2), (False, 2.0, 2), (True, 5.5, 1)],
)
def test_changes_are_acknowledged_after_each_disk_was_full(
    platform, has_changes, full_s, rounds
):
    """Guards against a group that is stuck after its disks had no room in turn."""
    operator = Operator(platform)
    if has_changes:
        operator.start()
    for ip in IPS * rounds:
        platform.flag(ip).touch()
        time.sleep(full_s)
        platform.flag(ip).unlink()
        time.sleep(0.2)
    ended = time.monotonic()
    if not has_changes:
        operator.start()
    while not any(at > ended for at in list(operator.acknowledged.values())):
        assert time.monotonic() < ended + ACK_LIMIT_S
        time.sleep(0.05)
    operator.is_running = False
    operator.join()
    took_s = min(at for at in operator.acknowledged.values() if at > ended) - ended
    print(f"{platform.exits} exits, {len(operator.acknowledged)} acknowledged")
    print(f"acknowledged {took_s:.2f} s after the last disk had room")
    newest = max(operator.acknowledged)
    for ip in IPS:
        platform.wait(lambda ip=ip: read_version(platform, ip) >= newest, ACK_LIMIT_S)
