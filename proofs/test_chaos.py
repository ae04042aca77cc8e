"""Failure test: guarantees to callers hold while random faults are injected."""

import random
import time

import pytest

from papayacrank.testing import DeploymentSize

from .load import Callers, check_claims

pytestmark = pytest.mark.prove

DURATION_S = 20.0
PAUSE_S = (0.4, 1.2)
SEEDS = (1, 2, 3)
CLAIM_WORK_MS = 150  # long enough for kills to occur during running claims


class FaultInjector:
    """Injects random faults one after the other, at most one at a time of each kind.

    Processes are killed, paused and restarted, and engines fail or lose events.
    """

    def __init__(self, deployment, seed: int):
        self.deployment = deployment
        self.fleet = deployment.fleet
        self.rng = random.Random(seed)
        self.injected_: list[str] = []

    def run(self, duration_s: float) -> None:
        """Inject faults for the given time, each reverted before the next."""
        faults = [
            self.restart_entry,
            self.restart_engine,
            self.restart_control,
            self.pause_control,
            self.break_stream,
            self.drop_cache_events,
            self.corrupt_stream,
        ]
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            fault = self.rng.choice(faults)
            self.injected_.append(fault.__name__)
            fault()
            self.sleep()

    def sleep(self) -> None:
        """Sleep for a random time within `PAUSE_S`."""
        time.sleep(self.rng.uniform(*PAUSE_S))

    def choose_process(self, kind: str) -> str:
        """Choose a random process of a kind."""
        names = [n for n in self.fleet.processes if n.startswith(f"{kind}-")]
        return self.rng.choice(sorted(names))

    def restart_entry(self) -> None:
        """Kill and restart an entry process."""
        self.kill_and_restart(self.choose_process("entry"))

    def restart_engine(self) -> None:
        """Kill an engine and restart it with an empty cache."""
        self.kill_and_restart(self.choose_process("engine"))

    def restart_control(self) -> None:
        """Kill and restart a control process."""
        self.kill_and_restart(self.choose_process("control"))

    def kill_and_restart(self, name: str) -> None:
        """Kill a process and restart it after a random delay."""
        self.fleet.kill(name)
        self.sleep()
        self.fleet.restart(name)

    def pause_control(self) -> None:
        """Suspend a control process for longer than its lease."""
        name = self.choose_process("control")
        self.fleet.pause(name)
        time.sleep(1.5)
        self.fleet.resume(name)

    def break_stream(self) -> None:
        """Make an engine stop in the middle of a response."""
        self.fleet.inject(self.choose_process("engine"), "stop_mid_stream", count=2)

    def corrupt_stream(self) -> None:
        """Make an engine repeat or omit a token."""
        kind = self.rng.choice(["repeat_token", "skip_token"])
        self.fleet.inject(self.choose_process("engine"), kind, count=2)

    def drop_cache_events(self) -> None:
        """Make an engine drop cache events."""
        self.fleet.inject(self.choose_process("engine"), "lose_events", count=5)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_random_faults(start_deployment, seed):
    """Guards against wrong or mixed responses, repeated claims and false "not-run"."""
    deployment = start_deployment(
        size=DeploymentSize(engines=4), service_options={"work_ms": CLAIM_WORK_MS}
    )
    callers = Callers(deployment, seed).start()
    injector = FaultInjector(deployment, seed)
    injector.run(DURATION_S)
    callers.stop()
    complete = {
        name: outcomes.complete for name, outcomes in callers.completions_.items()
    }
    print(f"seed {seed}: {injector.injected_} {complete} {check_claims(callers)}")
    for name, outcomes in callers.completions_.items():
        assert outcomes.mismatches == [], name
        assert outcomes.complete > 20, f"{name}: {outcomes}"
    for address in deployment.entry_addresses:
        deployment.fleet.wait_healthy(address)
        assert deployment.complete(address, "team-a", "after", 2).status == 200
