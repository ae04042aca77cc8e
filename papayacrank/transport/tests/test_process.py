"""Tests of the end of a process."""

import subprocess
import sys

import pytest

PROGRAM = """
import atexit, os, signal, sys
from circuits import BaseComponent, handler
from papayacrank.transport import install_process_handlers, run_process

class Stopping(BaseComponent):
    @handler("started", channel="*")
    def _on_started(self, *_):
        self.root.stop()

atexit.register(lambda: os.kill(os.getpid(), getattr(signal, sys.argv[1])))
root = Stopping()
install_process_handlers(root)
run_process(root, "test")
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_signal_after_the_event_loop_has_ended_changes_nothing(name):
    """Guards against a planned stop that looks like a crash."""
    command = [sys.executable, "-c", PROGRAM, name]
    assert subprocess.run(command, timeout=30, capture_output=True).returncode == 0
