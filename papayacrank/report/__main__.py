"""The program `papayacrank-report`."""

import json
import sys
import time
from pathlib import Path
from typing import Any

import fire

from papayacrank.accounting import parse_usage_view
from papayacrank.admin import BlockingControlClient, load_admin_settings
from papayacrank.config import PeerAddress, parse_configuration
from papayacrank.kernel import configure_logging
from papayacrank.messages import ReadState

from ._burn import build_report
from ._html import render_html
from ._text import render_json, render_text

SECONDS_PER_MINUTE = 60
CONTROL_TIMEOUT_MS = 5_000
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_UNKNOWN = 4
RENDERERS = {"text": render_text, "json": render_json, "html": render_html}


class ControlReadError(Exception):
    """The control group did not return the requested state.

    Parameters
    ----------
    message : str
        Explanation.
    exit_code : int
        Exit code of the program.
    """

    def __init__(self, message: str, exit_code: int):
        super().__init__(message)
        self.exit_code = exit_code


def report(
    control: str | None = None,
    usage: str | None = None,
    configuration: str | None = None,
    format: str = "text",
    output: str | None = None,
) -> None:
    """Print the report on usage and error budgets.

    Parameters
    ----------
    control : str
        Addresses of control processes as ``ip:port,ip:port``.
    usage : str
        Instead of `control`: path of a file with the output of
        ``papayacrank-admin usage --rows --json``.
    configuration : str
        Instead of `control`: path of a file with a configuration as JSON.
    format : str
        ``text``, ``json`` or ``html``.
    output : str
        Path of the file to write; standard output by default.
    """
    if format not in RENDERERS:
        _exit_with_error(
            f"--format: got {format!r}; expected text, json or html", EXIT_INVALID
        )
    if control is None and (usage is None or configuration is None):
        _exit_with_error(
            "give --control, or both --usage and --configuration", EXIT_INVALID
        )
    try:
        view, document = _load(control, usage, configuration)
        now_minute = int(time.time()) // SECONDS_PER_MINUTE
        parsed = parse_usage_view(view, now_minute)
        text = RENDERERS[format](build_report(parsed, parse_configuration(document)))
    except ControlReadError as error:
        _exit_with_error(str(error), error.exit_code)
    except (OSError, ValueError) as error:
        _exit_with_error(str(error), EXIT_INVALID)
    if output is None:
        print(text)
    else:
        Path(output).write_text(text, encoding="utf-8")


def _load(
    control: str | None, usage: str | None, configuration: str | None
) -> tuple[list[dict], str]:
    """Return the usage view and the configuration document."""
    if control is None:
        view = json.loads(Path(usage).read_text(encoding="utf-8"))
        return view, Path(configuration).read_text(encoding="utf-8")
    peers = load_admin_settings(control, None).control
    document = _read_state(peers, "configuration")["document"]
    return _read_state(peers, "usage"), document


def _read_state(peers: list[PeerAddress], view: str) -> Any:
    client = BlockingControlClient(peers, CONTROL_TIMEOUT_MS)
    try:
        _, outcome = client.run_command(ReadState(view))
    finally:
        client.close()
    if outcome.is_error():
        timed_out = outcome.error.code == "control_timeout"
        exit_code = EXIT_UNKNOWN if timed_out else EXIT_FAILED
        raise ControlReadError(outcome.error.message, exit_code)
    return json.loads(outcome.ok.document)


def _exit_with_error(message: str, exit_code: int) -> None:
    print(f"papayacrank-report: {message}", file=sys.stderr)
    sys.exit(exit_code)


def main() -> None:
    """Run the command line."""
    configure_logging("papayacrank-report", "warning")
    fire.Fire(report, name="papayacrank-report")


if __name__ == "__main__":
    main()
