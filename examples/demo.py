"""Starts a small deployment on loopback, sends requests and prints the results.

Run ``make demo``. The exit code is 0 only if every step succeeded; otherwise the
failed step and its reason are printed.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from papayacrank.testing import Deployment, DeploymentSize, Fleet

WORKSPACES = ("team-a", "team-b")
SIZE = DeploymentSize(controls=3, entries=3, engines=4, services=1)
PREFIX_SENTENCES = 700
USAGE_TIMEOUT_S = 15.0


class DemoError(RuntimeError):
    """Raised when a step of the demo fails."""


class Demo:
    """Runs the steps of the demo in order.

    Parameters
    ----------
    fleet : Fleet
        Starts and stops the processes of the deployment.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.deployment = Deployment(fleet, SIZE)
        self.keys: dict[str, str] = {}

    def run(self) -> None:
        """Run all steps."""
        self.start_targets()
        self.start_system()
        self.file_configuration()
        self.grant_keys()
        address = self.fetch_route_address()
        for question in ("What is in stock?", "Which item is the largest?"):
            for workspace in WORKSPACES:
                self.stream_completion(address, workspace, question)
        self.claim_twice(address)
        self.refuse_unknown_key(address)
        self.print_report()
        self.stop_system()

    def start_targets(self) -> None:
        """Start the stand-in engines and the stand-in plain service."""
        self.deployment.start_targets()
        print(f"started {SIZE.engines} stand-in engines, {SIZE.services} plain service")

    def start_system(self) -> None:
        """Start the control and entry processes."""
        self.deployment.start_controls()
        self.deployment.start_entries()
        print(f"started {SIZE.controls} control and {SIZE.entries} entry processes")

    def run_admin(self, *arguments: str) -> dict:
        """Run `papayacrank-admin` and return its JSON output.

        Raises
        ------
        DemoError
            If the command exits with another code than 0.
        """
        control = ",".join(self.deployment.control_addresses)
        command = [sys.executable, "-m", "papayacrank.admin", "--control", control]
        completed = subprocess.run(
            [*command, *arguments, "--json"], capture_output=True, text=True, timeout=30
        )
        if completed.returncode != 0:
            raise DemoError(
                f"admin command {arguments[0]} failed: {completed.stderr.strip()}"
            )
        return json.loads(completed.stdout)

    def file_configuration(self) -> None:
        """Generate the configuration from a questionnaire and file it."""
        questionnaire = self.deployment.build_questionnaire()
        questionnaire_path = self.fleet.write_settings("questionnaire", questionnaire)
        configuration = self.fleet.folder / "configuration.json"
        self.run_admin("generate", str(questionnaire_path), "--out", str(configuration))
        filed = self.run_admin("file", "0", str(configuration))
        print(f"filed the configuration: version {filed['version']}")

    def grant_keys(self) -> None:
        """Grant one key to each workspace and wait until all instances are healthy."""
        for workspace in WORKSPACES:
            self.keys[workspace] = self.run_admin("grant", workspace)["key"]
        for address in self.deployment.entry_addresses:
            self.fleet.wait_healthy(address)
        print(f"granted a key to each of {', '.join(WORKSPACES)}")

    def fetch_route_address(self) -> str:
        """Return the first address of the route that the system recommends."""
        response = self.fleet.request(
            self.deployment.entry_addresses[0], "GET", "/v1/route"
        )
        check(response.status == 200, f"route request: status {response.status}")
        route = response.json()
        print(f"route: use {route['addresses']} for {route['keep_ms']} ms")
        return route["addresses"][0]

    def stream_completion(self, address: str, workspace: str, question: str) -> None:
        """Stream the completion of a long prompt."""
        catalogue = " ".join(f"Item {n} is in stock." for n in range(PREFIX_SENTENCES))
        document = {
            "model": "sample",
            "stream": True,
            "max_tokens": 12,
            "messages": [
                {"role": "system", "content": catalogue},
                {"role": "user", "content": question},
            ],
        }
        response = self.fleet.request(
            address, "POST", "/v1/chat/completions", document, self.headers(workspace)
        )
        check(
            response.status == 200,
            f"completion: status {response.status}, {response.body!r}",
        )
        text, ended = read_stream(response.body)
        check(ended, f"the stream of {workspace} did not end with [DONE]")
        print(f"{workspace} got a streamed response: {text!r}")

    def claim_twice(self, address: str) -> None:
        """Send a non-idempotent claim twice and check that it ran once."""
        headers = self.headers("team-a") | {"Idempotency-Key": "claim-1"}
        responses = [
            self.fleet.request(
                address, "POST", "/v1/services/shop-app/claims", {"roll": 7}, headers
            )
            for _ in range(2)
        ]
        check(
            responses[0].status < 300,
            f"claim: status {responses[0].status}, {responses[0].body!r}",
        )
        check(
            responses[0].body == responses[1].body,
            "the repeated claim got a different response",
        )
        claims = [e for e in self.fleet.journal("service-1") if "claims" in e["path"]]
        check(len(claims) == 1, f"the claim ran {len(claims)} times")
        print(f"the claim ran once; both calls got: {responses[0].body.decode()!r}")

    def refuse_unknown_key(self, address: str) -> None:
        """Send an unknown key and check the verdict of the refusal."""
        response = self.fleet.request(
            address,
            "POST",
            "/v1/chat/completions",
            {"model": "sample", "messages": []},
            {"Authorization": "Bearer unknown"},
        )
        error = response.json()["error"]
        check(response.status == 401, f"unknown key: status {response.status}")
        check(error["verdict"] == "not-run", f"unknown key: {error}")
        print(f"an unknown key was refused: {error['code']}, {error['verdict']}")

    def headers(self, workspace: str) -> dict[str, str]:
        """Return the request headers with the key of a workspace."""
        return {"Authorization": f"Bearer {self.keys[workspace]}"}

    def print_report(self) -> None:
        """Wait until the usage totals are complete and print the report."""
        self.fleet.wait_until(
            self.is_usage_complete, USAGE_TIMEOUT_S, "usage totals complete"
        )
        command = [sys.executable, "-m", "papayacrank.report", "--control"]
        completed = subprocess.run(
            [*command, ",".join(self.deployment.control_addresses)],
            capture_output=True,
            text=True,
            timeout=60,
        )
        check(completed.returncode == 0, f"report failed: {completed.stderr}")
        print("\n" + completed.stdout)

    def is_usage_complete(self) -> bool:
        """Return whether the usage totals contain all served requests."""
        rows = self.run_admin("usage")
        return sum(row["served"] for row in rows) >= 2 * len(WORKSPACES) + 2

    def stop_system(self) -> None:
        """Stop the entry processes, then the control processes, gracefully."""
        running = sorted(self.fleet.processes, reverse=True)
        names = [n for n in running if n.startswith("entry-")]
        names += [n for n in running if n.startswith("control-")]
        for name in names:
            exit_code = self.fleet.terminate(name, timeout_s=30.0)
            check(exit_code == 0, f"{name} exited with {exit_code}")
        print("stopped all processes gracefully")


def read_stream(body: bytes) -> tuple[str, bool]:
    """Return the text of an event stream and whether it ended with ``[DONE]``."""
    parts = []
    for line in body.decode().splitlines():
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            return "".join(parts), True
        if data != line:
            for choice in json.loads(data).get("choices", []):
                parts.append(choice.get("delta", {}).get("content") or "")
    return "".join(parts), False


def check(condition: bool, message: str) -> None:
    """Raise `DemoError` unless the condition holds."""
    if not condition:
        raise DemoError(message)


def main() -> int:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        try:
            Demo(fleet).run()
        except Exception as error:
            print(f"demo failed: {type(error).__name__}: {error}", file=sys.stderr)
            for name, process in fleet.processes.items():
                if not process.is_running and process.popen.returncode:
                    print(f"{name}: {fleet.output(name)[-2000:]}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
