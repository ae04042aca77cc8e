"""Proof: promises to callers hold while processes are killed, frozen and restarted."""

import random
import time

import pytest

from papayacrank.testing import DeploymentSize

from .load import Callers, check_claims

pytestmark = pytest.mark.prove

DURATION_S = 20.0
PAUSE_S = (0.4, 1.2)
SEEDS = (1, 2, 3)
CLAIM_WORK_MS = 150  # long enough for kills to fall into running claims


class Disturber:
    """Injects one fault after the other, at most one at a time of each kind."""

    def __init__(self, deployment, seed: int):
        self.deployment = deployment
        self.fleet = deployment.fleet
        self.source = random.Random(seed)
        self.done_: list[str] = []

    def run(self, duration_s: float) -> None:
        """Inject faults for some time, each undone before the next."""
        faults = [
            self.restart_entry,
            self.restart_engine,
            self.restart_control,
            self.pause_control,
            self.break_stream,
            self.lose_cache_events,
            self.damage_stream,
        ]
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            fault = self.source.choice(faults)
            self.done_.append(fault.__name__)
            fault()
            self.wait()

    def wait(self) -> None:
        """Pause for a random time."""
        time.sleep(self.source.uniform(*PAUSE_S))

    def pick(self, kind: str) -> str:
        """Choose a process of a kind."""
        names = [n for n in self.fleet.processes if n.startswith(f"{kind}-")]
        return self.source.choice(sorted(names))

    def restart_entry(self) -> None:
        """Kill an entry process and start it again."""
        self.kill_and_restart(self.pick("entry"))

    def restart_engine(self) -> None:
        """Kill an engine; it comes back empty."""
        self.kill_and_restart(self.pick("engine"))

    def restart_control(self) -> None:
        """Kill a control process and start it again."""
        self.kill_and_restart(self.pick("control"))

    def kill_and_restart(self, name: str) -> None:
        """Kill a process and start it again a little later."""
        self.fleet.kill(name)
        self.wait()
        self.fleet.restart(name)

    def pause_control(self) -> None:
        """Freeze a control process for longer than its lease."""
        name = self.pick("control")
        self.fleet.pause(name)
        time.sleep(1.5)
        self.fleet.resume(name)

    def break_stream(self) -> None:
        """Let an engine stop in the middle of an answer."""
        self.fleet.inject(self.pick("engine"), "stop_mid_stream", count=2)

    def damage_stream(self) -> None:
        """Let an engine repeat or leave out a token."""
        kind = self.source.choice(["repeat_token", "skip_token"])
        self.fleet.inject(self.pick("engine"), kind, count=2)

    def lose_cache_events(self) -> None:
        """Let an engine lose cache events."""
        self.fleet.inject(self.pick("engine"), "lose_events", count=5)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_random_faults(start_deployment, seed):
    """Guards against wrong or mixed answers, doubled claims and false "not run"."""
    deployment = start_deployment(
        size=DeploymentSize(engines=4), service_options={"work_ms": CLAIM_WORK_MS}
    )
    callers = Callers(deployment, seed).start()
    disturber = Disturber(deployment, seed)
    disturber.run(DURATION_S)
    callers.stop()
    whole = {name: seen.whole for name, seen in callers.completions_.items()}
    print(f"seed {seed}: {disturber.done_} {whole} {check_claims(callers)}")
    for name, seen in callers.completions_.items():
        assert seen.wrong == [], name
        assert seen.whole > 20, f"{name}: {seen}"
    for address in deployment.entry_addresses:
        deployment.fleet.wait_healthy(address)
        assert deployment.complete(address, "team-a", "after", 2).status == 200
