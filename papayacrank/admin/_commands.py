"""Commands of ``papayacrank-admin``."""

import getpass
import json
import secrets
from dataclasses import asdict
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFn, SetParseFns

from papayacrank.config import (
    Configuration,
    Questionnaire,
    SettingsError,
    canonical_json,
    diff_configurations,
    generate_configuration,
    load_settings,
    parse_configuration,
)
from papayacrank.control import digest_key
from papayacrank.kernel import Failure
from papayacrank.messages import (
    Command,
    FileConfiguration,
    GrantKey,
    PlaceOrder,
    ReadState,
    ReplaceMember,
    SetInstanceState,
    WithdrawKey,
)

from ._control_client import BlockingControlClient
from ._explain import ExplainError, explain_request
from ._log_explain import explain_from_lines, format_explanation, read_lines
from ._output import EXIT_FAILED, EXIT_INVALID, EXIT_UNKNOWN, Output
from ._quarantine_commands import QuarantineCommands
from ._rollout_commands import RolloutCommands
from ._settings import AdminSettings, load_admin_settings
from ._views import join_targets, summarize_usage

KEY_BYTES = 32
KEY_PREFIX = "ppk_"


@SetParseFns(control=str, settings=str, operator=str, request_id=str)
class AdminCommands:
    """Command line for operators of papayacrank.

    Exit codes: 0 success, 1 failed or refused, 2 invalid arguments or settings,
    3 conflict with a concurrent change, 4 no leader or timeout (outcome unknown:
    resend with the printed request id to learn the first outcome).

    Args:
        control: Addresses of the control processes, as ip:port,...
        settings: Path of a settings file with `control` and `operator`.
        operator: Name under which changes are recorded; default: system user.
        request_id: Request id of an earlier call, to get its first outcome.
        timeout_ms: Time to wait for an outcome, in milliseconds.
        json: Print JSON.
    """

    def __init__(
        self,
        control=None,
        settings=None,
        operator=None,
        request_id=None,
        timeout_ms=5_000,
        json=False,
    ):
        self._control = control
        self._settings = settings
        self._operator = operator
        self._request_id = request_id
        self._timeout_ms = timeout_ms
        self._output = Output(bool(json))
        self.quarantine = QuarantineCommands(
            self._read, self._run, self._operator_name, self._output
        )
        self.rollouts = RolloutCommands(
            self._read, self._run, self._operator_name, self._output
        )

    @SetParseFn(str)
    def generate(self, questionnaire, out=None):
        """Generate the configuration for a questionnaire.

        Args:
            questionnaire: Path of the questionnaire (JSON with comments).
            out: Path of the file to write; default: standard output.
        """
        document = canonical_json(self._generate_configuration(questionnaire))
        if out is None:
            self._output.show(json.loads(document), document)
            return
        try:
            Path(out).write_text(document + "\n", encoding="utf-8")
        except OSError as error:
            self._output.fail("cannot_write", str(error), EXIT_FAILED)
        self._output.show({"written": out})

    @SetParseFn(str)
    def diff(self, configuration=None, questionnaire=None):
        """Show the differences of a new configuration from the one in force.

        Args:
            configuration: Path of a generated configuration.
            questionnaire: Path of a questionnaire, instead of a configuration.
        """
        new = self._load_configuration(configuration, questionnaire)
        version, current = self._current_configuration()
        changes = diff_configurations(current, new)
        rows = [{"path": c.path, "before": c.before, "after": c.after} for c in changes]
        text = "\n".join(str(change) for change in changes) or "no difference"
        document = {"expected_version": version, "changes": rows}
        self._output.show(document, f"against version {version}:\n{text}")

    @SetParseFn(str)
    def file(self, expected_version, configuration=None, questionnaire=None):
        """Put a configuration in force if the expected version is still in force.

        Args:
            expected_version: Version in the output of `diff`.
            configuration: Path of a generated configuration.
            questionnaire: Path of a questionnaire, instead of a configuration.
        """
        if not expected_version.isdecimal():
            message = f"expected_version: got {expected_version!r}, expected a number"
            self._output.fail("invalid_argument", message, EXIT_INVALID)
        new = self._load_configuration(configuration, questionnaire)
        command = FileConfiguration(
            int(expected_version), canonical_json(new), self._operator_name()
        )
        request_id, outcome = self._submit(command)
        if outcome.is_error():
            self._add_conflicting_changes(outcome.error, new)
            self._output.fail_with(outcome.error, request_id)
        version = outcome.ok.version
        self._output.show({"version": version, "request_id": request_id})

    @SetParseFn(str)
    def grant(self, workspace, key_id=None):
        """Grant a key to a workspace and print it; it cannot be printed again.

        Args:
            workspace: Workspace that the key gives access to.
            key_id: Public identifier of the key; default: a random one.
        """
        key = KEY_PREFIX + secrets.token_hex(KEY_BYTES)
        key_id = key_id or f"key-{secrets.token_hex(6)}"
        command = GrantKey(key_id, workspace, digest_key(key), self._operator_name())
        request_id, outcome = self._submit(command)
        if outcome.is_error():
            failure = outcome.error
            if failure.code == "control_timeout":
                # The key may have been granted, and a resend does not return it.
                failure.details["key_if_granted"] = key
                failure.details["key_id"] = key_id
            self._output.fail_with(failure, request_id)
        self._show_grant(outcome.ok, key_id, key, request_id)

    @SetParseFn(str)
    def withdraw(self, key_id):
        """Withdraw a key permanently; it is rejected within seconds.

        Args:
            key_id: Public identifier of the key.
        """
        command = WithdrawKey(key_id, self._operator_name())
        request_id, result = self._run(command)
        document = {
            "key_id": key_id,
            "feed_version": result.feed_version,
            "request_id": request_id,
        }
        self._output.show(document)

    def keys(self):
        """List the keys without their digests."""
        self._output.show(self._read("keys"))

    def status(self):
        """Show the leader, term, versions and counts of the control group."""
        self._output.show(self._read("status"))

    def fleet(self):
        """Show the live entry processes and the members of the control group."""
        document = {
            "instances": self._read("instances"),
            "members": self._read("members"),
        }
        self._output.show(document)

    def targets(self):
        """List the targets with their state on the platform's target list."""
        _, configuration = self._current_configuration()
        self._output.show(join_targets(configuration, self._read("targets")))

    def budgets(self):
        """Show the token budgets of the workspaces."""
        self._output.show(self._read("budgets"))

    def actions(self):
        """Show the counts of non-idempotent actions, and list the unfinished ones."""
        self._output.show(self._read("actions"))

    def releases(self):
        """Show the releases that may have begun streams, and the recorded streams."""
        self._output.show(self._read("releases"))

    def orders(self):
        """List open and recent orders to targets."""
        self._output.show(self._read("orders"))

    def members(self):
        """List the members of the control group."""
        self._output.show(self._read("members"))

    def usage(self, rows=False):
        """Show the total usage of each workspace.

        Args:
            rows: Print the totals of each minute, with encoded histograms.
        """
        document = self._read("usage")
        self._output.show(document if rows else summarize_usage(document))

    def configuration(self):
        """Show the configuration in force, its version and its latest changes."""
        document = self._read("configuration")
        text = document["document"]
        document["document"] = json.loads(text) if text else None
        self._output.show(document)

    @SetParseFn(str)
    def drain(self, instance):
        """Take an instance out of service once its requests are complete.

        Args:
            instance: Name of the instance.
        """
        self._set_state(instance, "draining")

    @SetParseFn(str)
    def undrain(self, instance):
        """Return a drained instance to service.

        Args:
            instance: Name of the instance.
        """
        self._set_state(instance, "serving")

    @SetParseFn(str)
    def order(self, target, kind, argument):
        """Order a target to load weights, load an adapter or change its role.

        Args:
            target: Name of the target.
            kind: load_weights, load_adapter or change_role.
            argument: Version, adapter or role.
        """
        command = PlaceOrder(target, kind, argument, self._operator_name())
        request_id, result = self._run(command)
        document = {
            "order_id": result.order_id,
            "fencing_token": result.fencing_token,
            "request_id": request_id,
        }
        self._output.show(document)

    @SetParseFn(str)
    def replace_member(self, old, new):
        """Replace a voter of the control group by a caught-up learner.

        Args:
            old: Name of the voter.
            new: Name of the learner.
        """
        command = ReplaceMember(old, new, self._operator_name())
        request_id, _ = self._run(command)
        self._output.show({"old": old, "new": new, "request_id": request_id})

    @SetParseFn(str)
    def explain(self, caller_request_id, entry=None, key_file=None, log=None):
        """Show how a request of a caller was processed.

        Args:
            caller_request_id: Request id that the caller received.
            entry: Address of an entry process, as ip:port; default: all live ones.
            key_file: Path of a file with a key of the request's workspace; needed
                unless the entry process is reached through 127.x.
            log: Log files of the processes, separated by commas; ``-`` is standard
                input. No process is queried then.
        """
        if log is not None:
            self._explain_from_log(caller_request_id, log)
            return
        key = self._read_key(key_file) if key_file else None
        addresses = [entry] if entry else self._entry_addresses()
        try:
            record = explain_request(
                addresses, caller_request_id, self._timeout_ms, key
            )
        except ExplainError as error:
            self._output.fail("no_entry_answer", str(error), EXIT_UNKNOWN)
        if record is None:
            message = f"no entry process has a record of {caller_request_id}"
            self._output.fail("unknown_request", message, EXIT_FAILED)
        self._output.show(record)

    def _explain_from_log(self, request_id: str, log) -> None:
        # fire parses an argument with commas as a tuple.
        paths = log if isinstance(log, (list, tuple)) else str(log).split(",")
        try:
            lines = read_lines(str(path) for path in paths)
        except OSError as error:
            self._output.fail("unreadable_log", str(error), EXIT_INVALID)
        explanation = explain_from_lines(lines, request_id)
        if explanation is None:
            message = f"none of {len(lines)} log lines mentions {request_id}"
            self._output.fail("unknown_request", message, EXIT_FAILED)
        self._output.show(asdict(explanation), format_explanation(explanation))

    @staticmethod
    def _add_conflicting_changes(failure: Failure, new: Configuration) -> None:
        """Add the differences from the configuration that caused the conflict."""
        document = failure.details.get("document")
        if document:
            changes = diff_configurations(parse_configuration(document), new)
            failure.details["changes"] = [str(change) for change in changes]

    def _set_state(self, instance: str, state: str) -> None:
        command = SetInstanceState(instance, state, self._operator_name())
        request_id, _ = self._run(command)
        document = {"instance": instance, "state": state, "request_id": request_id}
        self._output.show(document)

    def _show_grant(self, result, key_id: str, key: str, request_id: str) -> None:
        """Print the key, unless the outcome is that of an earlier call."""
        document = {
            "key_id": result.key_id,
            "feed_version": result.feed_version,
            "request_id": request_id,
        }
        is_first_call = self._request_id is None
        if is_first_call:
            document["key"] = key
        else:
            document["note"] = "outcome of the first call; its key is not shown again"
        self._output.show(document)

    def _read_key(self, path: str) -> str:
        try:
            return Path(path).read_text(encoding="ascii").strip()
        except (OSError, ValueError) as error:
            self._output.fail("invalid_key_file", str(error), EXIT_INVALID)

    def _entry_addresses(self) -> list[str]:
        return [item["address"] for item in self._read("instances")]

    def _current_configuration(self) -> tuple[int, Configuration | None]:
        document = self._read("configuration")
        text = document["document"]
        return document["version"], parse_configuration(text) if text else None

    def _read(self, view: str) -> Any:
        _, outcome = self._submit(ReadState(view), None)
        if outcome.is_error():
            self._output.fail_with(outcome.error, "")
        return json.loads(outcome.ok.document)

    def _run(self, command: Command) -> tuple[str, Any]:
        request_id, outcome = self._submit(command)
        if outcome.is_error():
            self._output.fail_with(outcome.error, request_id)
        return request_id, outcome.ok

    def _submit(self, command: Command, request_id: Any = ...) -> tuple[str, Any]:
        resent_id = self._request_id if request_id is ... else request_id
        settings = self._load_admin_settings()
        client = BlockingControlClient(settings.control, int(self._timeout_ms))
        try:
            return client.run_command(command, resent_id)
        finally:
            client.close()

    def _load_admin_settings(self) -> AdminSettings:
        try:
            return load_admin_settings(self._control, self._settings)
        except SettingsError as error:
            self._output.fail("invalid_settings", str(error), EXIT_INVALID)

    def _operator_name(self) -> str:
        if self._operator is not None:
            return self._operator
        return self._load_admin_settings().operator or getpass.getuser()

    def _generate_configuration(self, questionnaire: str) -> Configuration:
        try:
            return generate_configuration(load_settings(questionnaire, Questionnaire))
        except ValueError as error:
            self._output.fail("invalid_questionnaire", str(error), EXIT_INVALID)

    def _load_configuration(
        self, configuration: str | None, questionnaire: str | None
    ) -> Configuration:
        if (configuration is None) == (questionnaire is None):
            message = "give either --configuration or --questionnaire"
            self._output.fail("invalid_argument", message, EXIT_INVALID)
        if questionnaire is not None:
            return self._generate_configuration(questionnaire)
        try:
            return load_settings(configuration, Configuration)
        except SettingsError as error:
            self._output.fail("invalid_configuration", str(error), EXIT_INVALID)
