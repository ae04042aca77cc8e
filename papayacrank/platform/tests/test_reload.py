"""Tests of settings that change while a process runs."""

import signal
import subprocess
import sys

import pytest
import structlog

from papayacrank.platform import __main__ as programs
from papayacrank.platform._reload import SettingsWatcher
from papayacrank.platform._settings import load_platform_settings

SETTINGS = """
node_name = "front-1"
ip = "10.1.0.24"
zone = "east"
internal_ports = [7600, 7615]
seeds = {seeds}
[cloud]
address = "{list_address}"
"""


class StubTimers:
    """Timers that fire when a test says so."""

    def set(self, name, at_ms, callback):
        self.fire = callback


class StubClock:
    def now_ms(self) -> int:
        return 0


@pytest.fixture
def hangup_handler():
    """Restore the handler of SIGHUP."""
    handler = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, handler)


def write_settings(path, seeds: list[str], list_address: str) -> None:
    text = SETTINGS.format(seeds=seeds, list_address=list_address)
    path.write_text(text.replace("'", '"'), encoding="utf-8")


def test_change_during_the_start_is_noticed(tmp_path, hangup_handler):
    """Guards against a change between the load and the first check that is lost."""
    path = tmp_path / "local.toml"
    write_settings(path, ["10.1.0.1:8608"], "10.9.0.1:80")
    loaded, changes, timers = load_platform_settings(path), [], StubTimers()
    write_settings(path, ["10.2.0.1:8608"], "10.9.0.1:80")
    SettingsWatcher(path, loaded, changes.append, StubClock(), timers).start()
    timers.fire()
    timers.fire()
    assert [change.control_names for change in changes] == [("10.2.0.1",)]


def test_hangup_during_the_start_is_ignored(monkeypatch, hangup_handler):
    """Guards against a process that ends because its settings change as it starts."""
    seen = []

    def run(self):
        seen.append(signal.getsignal(signal.SIGHUP))

    monkeypatch.setattr(programs.Programs, "control", run)
    monkeypatch.setattr(programs.sys, "argv", ["program", "control"])
    programs.main()
    assert seen == [signal.SIG_IGN]


HOOK = """
import os, runpy, signal, sys

class Hook:
    def find_spec(self, name, path, target=None):
        if name in ("pydantic", "circuits", "msgspec"):
            ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
            os._exit(0 if ignored else 7)

sys.meta_path.insert(0, Hook())
sys.argv = ["papayacrank.platform", "entry"]
runpy.run_module("papayacrank.platform", run_name="__main__", alter_sys=True)
"""


def test_hangup_is_ignored_before_libraries_are_imported():
    """Guards against a process that a change of the settings ends while it starts."""
    assert subprocess.run([sys.executable, "-c", HOOK], timeout=30).returncode == 0


def test_new_seeds_are_passed_on_and_other_changes_are_named(tmp_path, hangup_handler):
    """Guards against a process that keeps stale seeds, or says nothing of the rest."""
    path = tmp_path / "local.toml"
    write_settings(path, ["10.1.0.1:8608"], "10.9.0.1:80")
    changes, timers = [], StubTimers()
    watcher = SettingsWatcher(
        path, load_platform_settings(path), changes.append, StubClock(), timers
    )
    watcher.start()
    write_settings(path, ["10.2.0.1:8608", "10.3.0.1:8608"], "10.9.0.2:80")
    with structlog.testing.capture_logs() as lines:
        timers.fire()
    assert [change.control_names for change in changes] == [("10.2.0.1", "10.3.0.1")]
    assert [line["needs_restart"] for line in lines] == [["cloud"]]
