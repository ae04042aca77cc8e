"""Tests that the operator documentation matches the behavior of the programs."""

import json
import re
import shlex
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import json5
import pytest

from papayacrank.testing import Deployment, DeploymentSize

pytestmark = pytest.mark.prove

DOCS = Path(__file__).parent.parent / "docs"
PAGES = sorted((DOCS / "operators").glob("*.md"))
FENCE = re.compile(r"^ *```(\w*)\n(.*?)^ *```", re.MULTILINE | re.DOTALL)
PROGRAM = re.compile(r"(papayacrank-(admin|report|control|entry)|curl) ")
INLINE = re.compile(r"`((?:papayacrank-\w+|curl) [^`]+)`")
EXIT_CODE = re.compile(r"\s+# exit code (\d)$")
COMMAND_TIMEOUT_S = 20
OK = 200
EXIT_UNKNOWN = 4
BLOCK_TOKENS = 2_048

# These commands take processes out of service. They run last so that all other
# commands find the complete deployment.
RUN_LAST = ("drain", "undrain", "replace-member")
LONG_RUNNING = (
    "runs until it is stopped; the deployment starts it with its own settings"
)
NOT_RUN = {
    "papayacrank-control --settings control.json": LONG_RUNNING,
    "papayacrank-entry --settings FILE": LONG_RUNNING,
}


@dataclass
class PageCommand:
    """A command on a documentation page, with its documented result.

    Parameters
    ----------
    page, text : str
        File name of the page and the command line.
    exit_code : int
        Documented exit code, 0 if none is stated.
    expected_lines : list of str
        Lines of output that the page shows.
    """

    page: str
    text: str
    exit_code: int = 0
    expected_lines: list[str] = field(default_factory=list)

    @property
    def runs_last(self) -> bool:
        """Whether the command takes a process out of service."""
        return self.text.split()[1] in RUN_LAST


def read_commands(page: Path) -> list[PageCommand]:
    """Return the commands of a page: fenced ones in order, then inline ones."""
    text = page.read_text(encoding="utf-8")
    commands = []
    for _, block in FENCE.findall(text):
        current = None
        for line in filter(None, map(str.strip, block.splitlines())):
            if PROGRAM.match(line):
                stated = EXIT_CODE.search(line)
                exit_code = int(stated[1]) if stated else 0
                current = PageCommand(page.name, EXIT_CODE.sub("", line), exit_code)
                commands.append(current)
            elif current is not None:
                current.expected_lines.append(line)
    inline = INLINE.findall(FENCE.sub("", text))
    return commands + [PageCommand(page.name, command) for command in inline]


def read_all_commands() -> list[PageCommand]:
    """Return the commands of all pages; those that stop processes come last."""
    commands = [command for page in PAGES for command in read_commands(page)]
    return sorted(commands, key=lambda command: command.runs_last)


def build_line_pattern(line: str) -> str:
    """Return a pattern for an output line; versions and truncated values may differ."""
    pattern = re.escape(re.sub(r"[0-9a-f]*\.{3}", "<value>", line))
    pattern = pattern.replace("<value>", r"\S+")
    return re.sub(r"(version:?\\ )\d+", r"\1\\d+", pattern)


class CommandRunner:
    """Runs the documented commands against one deployment.

    Parameters
    ----------
    deployment : Deployment
        Running deployment.
    folder : Path
        Working directory of the commands.
    """

    def __init__(self, deployment: Deployment, folder: Path):
        self._deployment = deployment
        self._folder = folder
        self._values = {
            f"10.0.0.{number}:7001": peer.address
            for number, peer in enumerate(deployment.controls_, start=1)
        }
        self._values |= {
            "10.0.0.2:8080": deployment.entry_addresses[0],
            "10.0.0.3:8080": deployment.entry_addresses[1],
            "REQUEST_ID": self._send_request(),
            "key.txt": self._write("key.txt", deployment.keys_["team-a"][1]),
            "i3": "e3",
        }
        self._write_settings()
        self._write_questionnaire()

    def run(self, command: PageCommand) -> None:
        """Run a command and compare its exit code and output with its page."""
        tokens = [self._substitute(token) for token in shlex.split(command.text)]
        label = f"{command.page}: {shlex.join(tokens)}"
        if tokens[0] == "curl":
            self._get(tokens[-1], label)
            return
        output_file = None
        if ">" in tokens:
            output_file = tokens[tokens.index(">") + 1]
            tokens = tokens[: tokens.index(">")]
        finished = self._run_program(tokens)
        output = finished.stdout + finished.stderr
        assert finished.returncode == command.exit_code, f"{label}\n{output}"
        for line in command.expected_lines:
            assert re.search(build_line_pattern(line), output), (
                f"{label}\n{line}\n{output}"
            )
        if output_file:
            self._write(output_file, finished.stdout)
        self._store_values(tokens[1], finished.stdout)

    def check_exit_code_without_leader(self) -> None:
        """Check the documented exit code of a command that reaches no leader."""
        leader = self._deployment.find_leader().removeprefix("control-")
        peers = self._deployment.controls_
        follower = next(peer.address for peer in peers if peer.name != leader)
        arguments = [f"--control={follower}", "--timeout-ms=1500"]
        finished = self._run_program(["papayacrank-admin", "status", *arguments])
        assert finished.returncode == EXIT_UNKNOWN

    def check_replacement(self) -> None:
        """Check that the membership shows the requested replacement."""
        roles = {m["name"]: m["role"] for m in self._deployment.read_state("members")}
        assert roles[self._values["NEW"]] == "voter"
        assert roles.get(self._values["OLD"]) != "voter"

    def prepare_replacement(self) -> None:
        """Select a voter that is not the leader, and the learner that replaces it."""
        members = self._deployment.read_state("members")
        voters = [m for m in members if m["role"] == "voter" and not m["leader"]]
        learners = [m for m in members if m["role"] == "learner"]
        self._values |= {"OLD": voters[0]["name"], "NEW": learners[0]["name"]}

    def _substitute(self, token: str) -> str:
        for placeholder, value in self._values.items():
            token = re.sub(rf"(?<!\w){re.escape(placeholder)}(?!\w)", value, token)
        return token

    def _run_program(self, tokens: list[str]) -> subprocess.CompletedProcess:
        module = tokens[0].replace("-", ".")
        arguments = tokens[1:]
        if tokens[0] == "papayacrank-admin" and "--control" not in " ".join(tokens):
            arguments.append("--settings=admin.json")
        return subprocess.run(
            [sys.executable, "-m", module, *arguments],
            cwd=self._folder,
            env={"PYTHONPATH": str(DOCS.parent), "PATH": "", "USER": "ann"},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )

    def _get(self, url: str, label: str) -> None:
        address, _, path = url.removeprefix("http://").partition("/")
        response = self._deployment.fleet.request(address, "GET", f"/{path}")
        assert response.status == OK, label

    def _store_values(self, name: str, output: str) -> None:
        """Store output values that later commands of the pages refer to."""
        patterns = {
            "diff": ("41", r"against version (\d+)"),
            "file": ("7c0a...", r"request_id: (\S+)"),
            "grant": ("key-5d2f...", r"key_id: (\S+)"),
        }
        if name in patterns:
            placeholder, pattern = patterns[name]
            found = re.search(pattern, output)
            if found:
                self._values[placeholder] = found[1]

    def _send_request(self) -> str:
        address = self._deployment.entry_addresses[0]
        return self._deployment.complete(address, "team-a", "x").headers["X-Request-Id"]

    def _write(self, name: str, text: str) -> str:
        (self._folder / name).write_text(text, encoding="utf-8")
        return name

    def _write_settings(self) -> None:
        """Write the documented settings file with the addresses of the deployment."""
        text = (DOCS / "operators/configuration.md").read_text(encoding="utf-8")
        block = next(block for kind, block in FENCE.findall(text) if kind == "json5")
        names = [member["name"] for member in json5.loads(block)["control"]]
        addresses = [member["address"] for member in json5.loads(block)["control"]]
        for peer, name, address in zip(
            self._deployment.controls_, names, addresses, strict=False
        ):
            block = block.replace(name, peer.name).replace(address, peer.address)
        self._write("admin.json", block)

    def _write_questionnaire(self) -> None:
        """Write a questionnaire that raises the rate of team-a as the page shows."""
        answers = self._deployment.build_questionnaire().model_dump(mode="json")
        answers["workspaces"][0]["tokens_per_second"] = 12_000
        self._write("questionnaire.json", json.dumps(answers))


def test_commands_of_the_pages_work_as_shown(start_deployment, tmp_path):
    """Guards against a page whose commands fail or print something else."""
    size = DeploymentSize(spare_controls=1)
    deployment = start_deployment(size=size)
    runner = CommandRunner(deployment, tmp_path)
    runner.check_exit_code_without_leader()
    commands = read_all_commands()
    checked = [command for command in commands if command.text not in NOT_RUN]
    for command in checked:
        if "replace-member" in command.text:
            continue
        runner.run(command)
    # With one learner only one replacement is possible, but several pages show it.
    replacements = {c.text: c for c in checked if "replace-member" in c.text}
    assert len(replacements) == 1
    runner.prepare_replacement()
    runner.run(*replacements.values())
    runner.check_replacement()


def test_commands_that_are_not_run_are_on_a_page():
    """Guards against an exclusion whose command is no longer on any page."""
    assert set(NOT_RUN) <= {command.text for command in read_all_commands()}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_references_of_a_page_exist(page):
    """Guards against references to renamed or removed pages and log events."""
    text = page.read_text(encoding="utf-8")
    for target, anchor in re.findall(r"\]\(([\w./-]*)(?:#([\w-]+))?\)", text):
        linked = (page.parent / target) if target else page
        assert linked.is_file(), target
        assert not anchor or anchor in read_anchors(linked), f"{target}#{anchor}"
    events = (DOCS / "events.md").read_text(encoding="utf-8")
    known = dict(re.findall(r"^\| (\d{4}) \| `(\w+)`", events, re.MULTILINE))
    for number, name in re.findall(r"\b([1-7]\d{3}) `(\w+)`", text):
        assert known.get(number) == name, number


def test_metrics_of_the_pages_exist(start_deployment):
    """Guards against a page that names a metric that no process exports."""
    size = DeploymentSize(controls=1, entries=1, engines=1, services=0)
    deployment = start_deployment(
        {"plain_services": [], "workspaces": [workspace_without_services()]}, size=size
    )
    address = deployment.entry_addresses[0]
    exported = deployment.fleet.request(address, "GET", "/metrics").body.decode()
    for page in PAGES:
        text = page.read_text(encoding="utf-8")
        for name in re.findall(r"papayacrank_\w+", text):
            assert f"# TYPE {name} " in exported, f"{page.name}: {name}"


def workspace_without_services() -> dict:
    """Return a questionnaire workspace that uses engines only."""
    return {
        "name": "team-a",
        "tokens_per_second": 10_000,
        "burst_tokens": 200_000,
        "uses": ["sample-llm"],
    }


def read_anchors(page: Path) -> set[str]:
    """Return the anchors of the headings of a page."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    plain = [re.sub(r"[^\w -]", "", heading.lower()) for heading in headings]
    return {heading.replace(" ", "-") for heading in plain}


def wait_for_events(deployment, names: list[str], events: set[str]) -> None:
    """Wait until each event was logged by at least one of the processes."""
    fleet = deployment.fleet

    def logged() -> set[str]:
        return {line["event"] for name in names for line in fleet.log_lines(name)}

    fleet.wait_until(lambda: events <= logged(), what=f"{events} of {names}")


def send_prompts(deployment, count: int) -> None:
    """Send distinct prompts longer than one cache block to the first instance."""
    for number in range(count):
        prompt = f"{number} " + "abcd" * BLOCK_TOKENS
        response = deployment.complete(deployment.entry_addresses[0], "team-a", prompt)
        assert response.status == OK


def test_failures_show_the_log_events_of_the_index(start_deployment):
    """Guards against a symptom index that names log events a failure does not cause."""
    deployment = start_deployment(
        {"workspaces": [workspace_without_services()]},
        entry_overrides={"log_level": "debug"},
        relayed_entries=1,
    )
    fleet = deployment.fleet
    fleet.inject("engine-1", "lose_events")
    send_prompts(deployment, 12)
    gaps = {"cache_events_gap", "cache_events_repaired"}
    wait_for_events(deployment, ["entry-e1"], gaps)

    fleet.kill("engine-2")
    send_prompts(deployment, 12)
    wait_for_events(deployment, ["entry-e1"], {"target_ejected"})
    fleet.restart("engine-2")

    leader = deployment.find_leader()
    fleet.kill("entry-e3")
    wait_for_events(deployment, [leader], {"instances_expired"})
    fleet.restart("entry-e3")
    fleet.wait_healthy(deployment.entry_addresses[2])
    starts = [line["event"] for line in fleet.log_lines("entry-e3")]
    assert starts.count("warmup_finished") == starts.count("announced") == 2

    for relay in deployment.relays_["e1"]:
        relay.freeze()
    wait_for_events(deployment, ["entry-e1"], {"control_contact_lost"})
    for relay in deployment.relays_["e1"]:
        relay.restore()
    fleet.wait_healthy(deployment.entry_addresses[0])

    others = {"control-c1", "control-c2", "control-c3"} - {leader}
    fleet.pause(leader)
    wait_for_events(deployment, sorted(others), {"leader_elected", "leader_active"})
    fleet.resume(leader)
    wait_for_events(deployment, [leader], {"leader_stepped_down"})
