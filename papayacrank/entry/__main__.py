"""Command-line program of the entry process: ``python -m papayacrank.entry``."""

import random
import sys
import time

import fire
from circuits import BaseComponent, handler

from papayacrank.config import EntrySettings, SettingsError, load_settings
from papayacrank.kernel import MonotonicClock
from papayacrank.transport import Timers, install_process_handlers, run_process

from ._process import EntryProcess

EXIT_INVALID_SETTINGS = 2
NANOSECONDS_PER_MS = 1_000_000


class _ContactStarter(BaseComponent):
    """Starts the heartbeats to the control group once the event loop runs."""

    channel = "*"

    def __init__(self, process: EntryProcess):
        super().__init__()
        self._process = process

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._process.start_contact()


def run_entry(settings: str) -> None:
    """Serve callers until SIGTERM, then drain and stop.

    Args:
        settings: Path of the settings file, JSON with comments (EntrySettings).
    """
    try:
        entry_settings = load_settings(settings, EntrySettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    root = BaseComponent()
    install_process_handlers(root)
    clock = MonotonicClock()
    timers = Timers(clock).register(root)
    boot = time.time_ns() // NANOSECONDS_PER_MS
    process = EntryProcess(
        entry_settings, clock, timers, random.Random(), boot
    ).register(root)
    _ContactStarter(process).register(root)
    run_process(
        root, entry_settings.instance, entry_settings.log_level, process.terminate
    )


def main() -> None:
    """Run the program."""
    fire.Fire(run_entry)


if __name__ == "__main__":
    main()
