"""Common parts of the stand-in programs."""

import json
import sys
from collections.abc import Callable

from circuits import BaseComponent

from papayacrank.kernel import Clock, MonotonicClock
from papayacrank.transport import Timers, install_process_handlers, run_process


def run_stand_in(
    name: str, build: Callable[[Clock, Timers], BaseComponent], names: tuple[str, ...]
) -> None:
    """Run a stand-in until the process is told to stop.

    Prints one JSON line with the addresses once it listens.

    Parameters
    ----------
    name : str
        Name of the process in the log.
    build : Callable
        Creates the stand-in from a clock and timers.
    names : tuple of str
        Attributes of the stand-in whose addresses are printed.
    """
    root = BaseComponent()
    install_process_handlers(root)
    clock = MonotonicClock()
    timers = Timers(clock).register(root)
    stand_in = build(clock, timers).register(root)
    addresses = {attribute: getattr(stand_in, attribute) for attribute in names}
    sys.stdout.write(json.dumps(addresses) + "\n")
    sys.stdout.flush()
    run_process(root, name, "warning")
