"""Tests of the command line with a control process on loopback."""

import http.server
import json
import threading
import time

import pytest
import structlog

from papayacrank.admin import BlockingControlClient
from papayacrank.admin import _commands as commands_module
from papayacrank.admin.__main__ import main
from papayacrank.control import digest_key
from papayacrank.control.tests.group import ControlGroup
from papayacrank.messages import (
    ChangeReleases,
    CrashReport,
    ReadState,
    SuspectRequest,
)
from papayacrank.testing import build_questionnaire


@pytest.fixture(scope="module")
def group(tmp_path_factory):
    """Control group of one process."""
    with ControlGroup(tmp_path_factory.mktemp("group"), size=1) as started:
        started.start_members()
        started.wait_ready()
        yield started


@pytest.fixture
def admin(group, capsys):
    """Function that runs a command and returns its exit code and JSON output."""

    def run(*arguments, control=group.control):
        command = [*arguments, "--json", f"--control={control}", "--operator=ann"]
        code = 0
        try:
            main(command)
        except SystemExit as stop:
            code = stop.code
        return code, json.loads(capsys.readouterr().out)

    yield run
    structlog.reset_defaults()


@pytest.fixture
def questionnaire(tmp_path):
    """Path of a questionnaire file."""
    path = tmp_path / "questionnaire.json"
    answers = build_questionnaire().model_dump_json()
    path.write_text(f"// answers\n{answers}")
    return str(path)


def test_generate_diff_and_file_with_expected_version(admin, questionnaire, tmp_path):
    """Guards against overwriting a version that the operator has not seen."""
    path = str(tmp_path / "configuration.json")
    assert admin("generate", questionnaire, f"--out={path}")[0] == 0
    _, shown = admin("diff", f"--configuration={path}")
    version = str(shown["expected_version"])
    assert shown["changes"]
    code, filed = admin("file", version, f"--questionnaire={questionnaire}")
    assert (code, filed["version"]) == (0, int(version) + 1)
    assert admin("diff", f"--configuration={path}")[1]["changes"] == []
    code, conflict = admin("file", version, f"--configuration={path}")
    assert code == 3
    details = conflict["error"]["details"]
    assert (details["operator"], details["changes"]) == ("ann", [])
    assert details["request_id"] == filed["request_id"]
    code, resent = admin(
        "file",
        version,
        f"--configuration={path}",
        f"--request-id={filed['request_id']}",
    )
    assert (code, resent["version"]) == (0, filed["version"])
    assert admin("configuration")[1]["version"] == filed["version"]


def test_key_is_shown_once_and_only_its_digest_is_stored(admin, group):
    """Guards against a key exposed by the state or by a resent command."""
    code, granted = admin("grant", "team-a", "--key-id=1e5")
    assert (code, granted["key_id"]) == (0, "1e5")
    _, resent = admin("grant", "team-a", f"--request-id={granted['request_id']}")
    assert resent["key_id"] == "1e5" and "key" not in resent
    listed = json.dumps(admin("keys")[1])
    assert granted["key"] not in listed and digest_key(granted["key"]) not in listed
    assert admin("withdraw", "1e5")[0] == 0
    state = next(k["state"] for k in admin("keys")[1] if k["key_id"] == "1e5")
    assert state == "withdrawn"
    assert admin("withdraw", "none")[0] == 1


def test_views_and_operator_states(admin):
    """Guards against views that cannot be printed, and lost draining states."""
    for what in ("status", "fleet", "targets", "budgets", "actions", "orders"):
        assert admin(what)[0] == 0
    assert admin("releases")[1] == {"possible": {}, "streams": 0}
    assert admin("members")[1][0]["role"] == "voter"
    assert admin("usage")[1] == []
    assert admin("drain", "i1")[0] == 0
    assert admin("status")[1]["draining"] == ["i1"]
    assert admin("undrain", "i1")[0] == 0
    assert admin("status")[1]["draining"] == []


def test_orders_are_accepted_once_per_request_id(admin):
    """Guards against a second load after the response to the first one was lost."""
    _, placed = admin("order", "sample-llm-9", "load_weights", "2")
    resend = f"--request-id={placed['request_id']}"
    assert admin("order", "sample-llm-9", "load_weights", "2", resend)[1] == placed
    assert admin("order", "sample-llm-9", "paint", "blue")[0] == 2


def test_invalid_arguments_exit_with_2(admin, tmp_path, capsys):
    """Guards against a script that treats invalid arguments as a success."""
    assert admin("file", "one", "--configuration=x")[0] == 2
    assert admin("diff")[0] == 2
    assert admin("generate", str(tmp_path / "missing"))[0] == 2
    assert admin("status", control="localhost")[0] == 2


def test_no_leader_exits_with_4_and_keeps_the_key(admin, group):
    """Guards against an unknown outcome reported as a refusal, and against a granted
    key that is never printed."""
    address = group.free_address()
    code, response = admin("grant", "team-a", "--timeout-ms=400", control=address)
    assert code == 4
    error = response["error"]
    assert (error["code"], error["verdict"]) == ("control_timeout", "may-have-run")
    assert error["details"]["key_if_granted"].startswith("ppk_")
    assert error["request_id"]


def test_explain_queries_entry_processes(admin, group):
    """Guards against a request id that is not quoted in the path."""

    class Handler(http.server.BaseHTTPRequestHandler):
        """Entry process with the record of one request."""

        def do_GET(self):  # noqa: N802 - name given by the base class
            known = self.path == "/v1/explain/a%2Fb"
            self.send_response(200 if known else 404)
            self.end_headers()
            if known:
                self.wfile.write(b'{"target": "sample-llm-1"}')

        def log_message(self, *args):
            """Suppress the log."""

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    entry = f"--entry=127.0.0.1:{server.server_port}"
    assert admin("explain", "a/b", entry) == (0, {"target": "sample-llm-1"})
    assert admin("explain", "c", entry)[0] == 1
    server.shutdown()
    thread.join()
    server.server_close()
    assert admin("explain", "c", f"--entry={group.free_address()}")[0] == 4


def test_explain_sends_the_key_of_the_workspace(admin, tmp_path):
    """Guards against requests that can only be explained from 127.x."""

    class Handler(http.server.BaseHTTPRequestHandler):
        """Requires a key, as an entry process does for other machines."""

        def do_GET(self):  # noqa: N802 - name given by the base class
            allowed = self.headers["Authorization"] == "Bearer ppk_1"
            self.send_response(200 if allowed else 401)
            self.end_headers()
            if allowed:
                self.wfile.write(b'{"target": "sample-llm-1"}')

        def log_message(self, *args):
            """Suppress the log."""

    key_file = tmp_path / "key.txt"
    key_file.write_text("ppk_1\n", encoding="ascii")
    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    entry = f"--entry=127.0.0.1:{server.server_port}"
    explained = admin("explain", "a", entry, f"--key-file={key_file}")
    refused, document = admin("explain", "a", entry)
    server.shutdown()
    thread.join()
    server.server_close()
    assert explained == (0, {"target": "sample-llm-1"})
    assert refused == 4
    assert "--key-file" in document["error"]["message"]
    missing = f"--key-file={tmp_path / 'missing'}"
    assert admin("explain", "a", entry, missing)[0] == 2


def test_text_output_lists_rows_as_a_table(capsys):
    """Guards against missing columns in text output."""
    output = commands_module.Output(as_json=False)
    output.show([{"a": 1, "b": [1, 2]}, {"a": 22, "b": {"c": 3}}])
    assert capsys.readouterr().out == "a   b\n1   1, 2\n22  c=3\n"


def test_quarantine_without_a_verdict(admin):
    """Guards against a list or a lift that fails before the first verdict."""
    empty = {"verdicts": [], "suspicions": []}
    assert admin("quarantine", "list") == (0, empty)
    code, refused = admin("quarantine", "lift", "1000001")
    assert (code, refused["error"]["code"]) == (1, "unknown_verdict")
    assert "1000001" in refused["error"]["message"]


def test_rollout_is_started_listed_and_stopped(admin, group):
    """Guards against an order that is lost, started twice or cannot be stopped."""
    assert admin("rollouts", "list") == (0, [])
    start = ("rollouts", "start", "checkout", "v2", "600")
    code, refused = admin(*start)
    assert (code, refused["error"]["code"]) == (1, "unknown_service")
    assert admin("rollouts", "stop", "checkout")[0] == 1
    group.run(ChangeReleases("checkout", added=["v1"]))
    assert admin(*start)[0] == admin(*start)[0] == 0
    [row] = admin("rollouts", "list")[1]
    assert (row["state"], row["bases"], row["duration_ms"]) == (
        "running",
        ["v1"],
        600_000,
    )
    code, refused = admin("rollouts", "start", "checkout", "3", "600")
    assert (code, refused["error"]["code"]) == (1, "rollout_running")
    code, stopped = admin("rollouts", "stop", "checkout")
    assert (code, stopped["rollout"]) == (0, row["number"])
    [row] = admin("rollouts", "list")[1]
    assert (row["state"], row["reason"]) == ("rolled_back", "stopped by ann")


@pytest.mark.parametrize("duration", ["0", "-1", "soon", "nan", "inf"])
def test_invalid_duration_of_a_rollout_exits_with_2(admin, duration):
    """Guards against a rollout with another duration than the operator meant."""
    assert admin("rollouts", "start", "a", "v2", f"--duration_s={duration}")[0] == 2


@pytest.mark.parametrize("number", ["0", "-1", "1.5", "all", "1e3", "", "9" * 40, "٣"])
def test_invalid_number_of_a_verdict_exits_with_2(admin, number):
    """Guards against a lift of another verdict than the operator meant."""
    code, refused = admin("quarantine", "lift", f"--number={number}")
    assert (code, refused["error"]["code"]) == (2, "invalid_argument")


def test_quarantine_without_a_leader_exits_with_4(admin, group):
    """Guards against an empty list that stands for an unreachable control group."""
    address = group.free_address()
    for arguments in (("list",), ("lift", "1000001")):
        code, refused = admin(
            "quarantine", *arguments, "--timeout-ms=400", control=address
        )
        assert (code, refused["error"]["code"]) == (4, "control_timeout")


def test_verdict_is_listed_and_lifted_by_its_number(admin, group, capsys):
    """Guards against numbers in the list that cannot be lifted."""
    crash_targets(group, ["message-1"])
    capsys.readouterr()
    _, listed = admin("quarantine", "list")
    [verdict] = listed["verdicts"]
    assert verdict["parts"] == ["message-1"]
    number = str(verdict["number"])
    code, lifted = admin("quarantine", "lift", number)
    assert (code, lifted["lifted"]) == (0, verdict["number"])
    assert admin("quarantine", "list")[1]["verdicts"] == []
    assert admin("quarantine", "lift", number)[0] == 1
    resend = f"--request-id={lifted['request_id']}"
    assert admin("quarantine", "lift", number, resend) == (0, lifted)


def crash_targets(group, parts):
    """Report crashes as an entry process does, until there is a verdict."""
    client = BlockingControlClient(group.peers, 5_000)
    try:
        client.run_command(ReadState("status"))
        for number in range(5):
            suspect = SuspectRequest("team-a", parts)
            report = CrashReport("i1@1", f"t{number}", 1, 0, [suspect])
            client._link.send("c1", report)
            wait_s = time.monotonic() + 0.6
            while time.monotonic() < wait_s:
                client.run_command(ReadState("status"))
    finally:
        client.close()
