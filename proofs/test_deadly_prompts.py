"""Failure tests: a prompt part on which engines exit reaches few of them."""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field

import pytest

from papayacrank.admin.__main__ import main
from papayacrank.testing import DeploymentSize

pytestmark = pytest.mark.prove

DEADLY = "the listing that engines cannot read"
RESTART_S = 1.0
PLAY_S = 14.0
CONTACT_S = 3.0
# An engine is restarted after a crash and loads its program.
RECOVERY_S = RESTART_S + 4.0
# The rule: three requests later than `contact_ms` after the fifth crash.
ALLOWED_CRASHES = 5
ALLOWED_LATE_CRASHES = 3
BLOCK_TOKENS = 16
HOT = "You answer questions on listings of a flea market. " * 8


def build_messages(number, is_deadly):
    """Build a conversation whose first message all requests share."""
    part = DEADLY if is_deadly else f"listing {number % 3}: a lamp with a green shade"
    return [
        {"role": "system", "content": HOT},
        {"role": "user", "content": part},
        {"role": "user", "content": f"question {number}"},
    ]


def build_single_message(number, is_deadly):
    """Build one message whose leading blocks all requests share."""
    part = DEADLY if is_deadly else f"listing {number % 3}: a lamp with a green shade"
    padding = "." * (BLOCK_TOKENS * 8 - len(part))
    return [{"role": "user", "content": f"{HOT}{part}{padding} question {number}"}]


@dataclass
class Outcomes:
    """Outcomes of requests, with the times of their starts in seconds."""

    sound: list = field(default_factory=list)
    deadly: list = field(default_factory=list)


class Play:
    """Sends sound and deadly requests to all entry processes and restarts engines."""

    def __init__(self, deployment, build):
        self._deployment = deployment
        self._build = build
        self._stop = threading.Event()
        self._random = random.Random(7)
        self.outcomes = Outcomes()
        self.crashes = []
        self._threads = [
            threading.Thread(target=self._restart_engine, args=(name,))
            for name in deployment.fleet.processes
            if name.startswith("engine-")
        ]
        for address in deployment.entry_addresses:
            for number in range(3):
                is_deadly = number == 0
                self._threads.append(
                    threading.Thread(target=self._send, args=(address, is_deadly))
                )

    def run(self, duration_s):
        """Run the play for a time in seconds."""
        self.started = time.monotonic()
        for thread in self._threads:
            thread.start()
        time.sleep(duration_s)
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send(self, address, is_deadly):
        while not self._stop.is_set():
            number = self._random.randrange(1_000_000)
            document = {
                "model": "sample",
                "stream": bool(number % 2),
                "max_tokens": 8,
                "messages": self._build(number, is_deadly),
            }
            started = time.monotonic()
            try:
                response = self._deployment.fleet.request(
                    address,
                    "POST",
                    "/v1/chat/completions",
                    document,
                    self._deployment.headers("team-a"),
                    20.0,
                )
                outcome = (started, response.status, response)
            except (OSError, http.client.HTTPException):
                outcome = (started, 0, None)
            sink = self.outcomes.deadly if is_deadly else self.outcomes.sound
            sink.append(outcome)
            time.sleep(0.2 if is_deadly else 0.05)

    def _restart_engine(self, name):
        fleet = self._deployment.fleet
        while not self._stop.is_set():
            if not fleet.processes[name].is_running:
                self.crashes.append(time.monotonic())
                time.sleep(RESTART_S)
                fleet.restart(name)
            time.sleep(0.01)


def share_served(outcomes):
    """Return the share of the responses with status 200."""
    return sum(status == 200 for _, status, _ in outcomes) / len(outcomes)


@pytest.mark.parametrize("build", [build_messages, build_single_message])
def test_deadly_part_reaches_few_engines(start_deployment, build):
    """Guards against requests with a part that crash one engine after the other."""
    deployment = start_deployment(
        {"block_tokens": BLOCK_TOKENS},
        size=DeploymentSize(engines=4, services=1),
        engine_options={"crash_text": DEADLY, "block_tokens": BLOCK_TOKENS},
    )
    play = Play(deployment, build)
    play.run(PLAY_S)
    outcomes, crashes = play.outcomes, sorted(play.crashes)
    served = share_served(outcomes.sound)
    times = [round(at - play.started, 2) for at in crashes]
    print(f"crashes at {times} s, sound served {served:.3f} of {len(outcomes.sound)}")
    late_after = (
        crashes[ALLOWED_CRASHES - 1] + CONTACT_S
        if len(crashes) >= ALLOWED_CRASHES
        else float("inf")
    )
    assert sum(at > late_after for at in crashes) <= ALLOWED_LATE_CRASHES
    assert len(crashes) <= ALLOWED_CRASHES + ALLOWED_LATE_CRASHES
    refused = [o for at, _, o in outcomes.deadly if at > crashes[-1] + RESTART_S]
    assert refused
    for response in refused:
        assert response.status == 503
        error = response.json()["error"]
        assert (error["code"], error["verdict"]) == ("quarantined", "not-run")
        assert int(response.headers["Retry-After"]) >= 1
    later = [o for o in outcomes.sound if o[0] > crashes[-1] + RECOVERY_S]
    assert share_served(later) >= 0.98


ENGINE_OPTIONS = {"crash_text": DEADLY, "block_tokens": BLOCK_TOKENS}


def count_running(deployment):
    """Return the number of engines that run."""
    processes = deployment.fleet.processes
    return sum(
        process.is_running
        for name, process in processes.items()
        if name.startswith("engine-")
    )


def send(deployment, number, is_deadly, entry=0, max_tokens=8):
    """Send one conversation to an entry process."""
    document = {
        "model": "sample",
        "max_tokens": max_tokens,
        "messages": build_messages(number, is_deadly),
    }
    return deployment.fleet.request(
        deployment.entry_addresses[entry],
        "POST",
        "/v1/chat/completions",
        document,
        deployment.headers("team-a"),
        20.0,
    )


def read_metric(deployment, name):
    """Return the value of a metric of each entry process."""
    values = []
    for address in deployment.entry_addresses:
        text = deployment.fleet.request(address, "GET", "/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(f"{name} ")]
        values += [float(line.split()[-1]) for line in lines]
    return values


def run_admin(deployment, capsys, *arguments):
    """Run the operator's command line; return its exit code and JSON output."""
    capsys.readouterr()
    control = f"--control={','.join(deployment.control_addresses)}"
    code = 0
    try:
        main([*arguments, "--json", "--operator=ann", control])
    except SystemExit as stop:
        code = stop.code
    lines = capsys.readouterr().out.splitlines()
    return code, json.loads(lines[-1])


def test_request_without_shared_parts_crashes_two_engines_at_most(start_deployment):
    """Guards against one request that takes all engines down by its repeats."""
    deployment = start_deployment(
        size=DeploymentSize(entries=1, engines=4), engine_options=ENGINE_OPTIONS
    )
    response = deployment.complete(
        deployment.entry_addresses[0], "team-a", DEADLY, timeout_s=20
    )
    assert response.status == 502
    assert response.json()["error"]["verdict"] == "may-have-run"
    assert count_running(deployment) == 2


def test_crash_blames_no_part_of_streams_in_progress(start_deployment):
    """Guards against hot parts suspected because an engine with their streams ended."""
    deployment = start_deployment(
        size=DeploymentSize(entries=1, engines=2),
        engine_options={"output_tokens": 200, "decode_tokens_per_s": 50},
    )
    fleet = deployment.fleet
    statuses = []

    def run(number):
        response = send(deployment, number, is_deadly=False, max_tokens=100)
        statuses.append(response.status)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    engines = ("engine-1", "engine-2")

    def have_all_begun():
        records = [r for name in engines for r in fleet.stats(name)["requests"]]
        return len(records) == 6 and all(r["tokens_sent"] >= 5 for r in records)

    fleet.wait_until(have_all_begun, 10)
    fleet.kill("engine-1")
    for thread in threads:
        thread.join()
    assert statuses == [200] * 6
    events = {line["event"] for line in fleet.log_lines("entry-e1")}
    assert not events & {"target_crash_seen", "quarantine_refused"}
    assert any(r["first_offset"] > 0 for r in fleet.stats("engine-2")["requests"])


def test_lift_reaches_all_instances_and_survives_the_leader(start_deployment, capsys):
    """Guards against a wrong verdict that some instances keep, or that comes back."""
    deployment = start_deployment(
        {"block_tokens": BLOCK_TOKENS},
        size=DeploymentSize(engines=8),
        engine_options=ENGINE_OPTIONS,
    )
    fleet = deployment.fleet
    assert run_admin(deployment, capsys, "quarantine", "list")[1]["verdicts"] == []

    def find_verdicts():
        number = random.randrange(1_000_000)
        send(deployment, number, is_deadly=True, entry=number % 3)
        return run_admin(deployment, capsys, "quarantine", "list")[1]["verdicts"]

    [verdict] = fleet.wait_until(find_verdicts, 15)
    assert 3 <= 8 - count_running(deployment) <= 5
    fleet.kill(deployment.find_leader())
    kept = fleet.wait_until(
        lambda: run_admin(deployment, capsys, "quarantine", "list")[1]["verdicts"], 15
    )
    number = verdict["number"]
    assert [item["number"] for item in kept] == [number]
    for entry in range(3):
        error = send(deployment, entry, is_deadly=True, entry=entry).json()["error"]
        assert (error["code"], error["verdict"]) == ("quarantined", "not-run")
    assert min(read_metric(deployment, "papayacrank_quarantined_parts")) >= 1
    refused = 'papayacrank_quarantine_total{outcome="refused"}'
    assert min(read_metric(deployment, refused)) >= 1
    code, lifted = run_admin(deployment, capsys, "quarantine", "lift", str(number))
    assert (code, lifted["lifted"]) == (0, number)
    listed = run_admin(deployment, capsys, "quarantine", "list")[1]
    assert listed["verdicts"] == []
    assert read_metric(deployment, "papayacrank_quarantined_parts") == [0.0] * 3
    # The next request with the part is sent again, without a trial.
    running = count_running(deployment)
    assert send(deployment, 9, is_deadly=True, entry=1).status == 502
    fleet.wait_until(lambda: count_running(deployment) < running, 5)
    assert run_admin(deployment, capsys, "quarantine", "lift", str(number))[0] == 1
