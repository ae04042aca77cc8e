"""Soak of signals at each moment of a start and a stop, with real processes.

Run by hand with
``python -m papayacrank.platform.tests.signal_soak STEP_MS [PART PARTS]``.
"""

import itertools
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .fake_platform import IPS, FakePlatform

START_S = 1.5
STOP_S = 0.6
END_TIMEOUT_S = 15.0
# Before this time after its start, a process may be ended by the default action: the
# interpreter does not run yet.
INTERPRETER_S = 0.1
IP = IPS[0]


@dataclass(frozen=True)
class Case:
    """One signal at one moment.

    Parameters
    ----------
    role : str
        Program that gets the signal.
    number : signal.Signals
        Signal.
    at_s : float
        Time in s after the start, or after the request to stop.
    is_stop : bool
        Whether the process is stopping.
    """

    role: str
    number: signal.Signals
    at_s: float
    is_stop: bool


def list_cases(step_s, stop_step_s, stop_s=STOP_S):
    """Return the cases with time steps in s, during starts and stops."""
    roles, signals = ("entry", "control"), (signal.SIGHUP, signal.SIGTERM)
    starts = [step * step_s for step in range(int(START_S / step_s))]
    stops = [step * stop_step_s for step in range(int(stop_s / stop_step_s))]
    return [
        Case(role, number, at_s, is_stop)
        for role, number in itertools.product(roles, signals)
        for is_stop, times in ((False, starts), (True, stops))
        for at_s in times
    ]


class SignalSoak:
    """Plays cases on one machine of a running deployment.

    Parameters
    ----------
    platform : FakePlatform
        Deployment that serves.
    """

    def __init__(self, platform):
        self._platform = platform

    def play(self, case):
        """Play one case; return what went wrong, None if nothing did."""
        process = self._platform.processes[(case.role, IP)]
        if case.is_stop:
            return self._signal_stop(process, case)
        process.kill()
        process.wait(END_TIMEOUT_S)
        self._platform.start_process(case.role, IP)
        process = self._platform.processes[(case.role, IP)]
        time.sleep(case.at_s)
        process.send_signal(case.number)
        if case.number is signal.SIGTERM:
            return self._check_end(process, case, (0, -signal.SIGTERM))
        self._wait_until_it_serves(process, case.role)
        code = process.poll()
        if code is None:
            return None
        self._restart(case.role)
        is_early = case.at_s < INTERPRETER_S and code == -signal.SIGHUP
        return None if is_early else f"{case}: ended with {code}"

    def _signal_stop(self, process, case):
        process.send_signal(signal.SIGTERM)
        time.sleep(case.at_s)
        if process.poll() is None:
            process.send_signal(case.number)
        return self._check_end(process, case, (0,))

    def _check_end(self, process, case, codes):
        code = process.wait(END_TIMEOUT_S)
        self._restart(case.role)
        return None if code in codes else f"{case}: ended with {code}"

    def _restart(self, role):
        self._platform.start_process(role, IP)
        self._wait_until_it_serves(self._platform.processes[(role, IP)], role)

    def _wait_until_it_serves(self, process, role):
        def serves():
            if process.poll() is not None:
                return True
            if role == "entry":
                return self._platform.is_ready(IP)
            return self._platform.operate("GET", "/v1/configuration")[0] < 500

        deadline_s = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if serves():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise AssertionError(f"the {role} process does not serve")

    def find_tracebacks(self):
        """Return the tracebacks in the logs of both processes."""
        lines = [
            line
            for role in ("entry", "control")
            for line in self._platform.read_log(role, IP).splitlines()
        ]
        return [line for line in lines if "Traceback" in line]


def run_cases(folder, cases):
    """Play cases in a deployment of their own; return what went wrong."""
    platform = FakePlatform(folder)
    try:
        platform.start_serving()
        soak = SignalSoak(platform)
        failures = [failure for case in cases if (failure := soak.play(case))]
        return failures + soak.find_tracebacks()
    finally:
        platform.stop()


def main():
    """Play the cases with a time step, or one part of them."""
    step_ms, part, parts = map(int, [*sys.argv[1:], "0", "1"][:3])
    cases = list_cases(step_ms / 1_000, step_ms / 1_000)[part::parts]
    with tempfile.TemporaryDirectory() as folder:
        failures = run_cases(Path(folder), cases)
    print(f"{len(cases)} cases, {len(failures)} failures")
    print("\n".join(failures))
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
