"""The program `papayacrank-report`."""

import json
import sys
import time
from pathlib import Path

import fire

from papayacrank.accounting import parse_usage_view
from papayacrank.admin import AdminError, read_state
from papayacrank.config import parse_configuration

from ._burn import build_report
from ._html import render_html
from ._text import render_json, render_text

SECONDS_PER_MINUTE = 60
RENDERERS = {"text": render_text, "json": render_json, "html": render_html}


def report(
    control: str | None = None,
    usage: str | None = None,
    configuration: str | None = None,
    format: str = "text",
    output: str | None = None,
) -> None:
    """Print the report on service-level burn.

    Parameters
    ----------
    control : str
        Addresses of control processes as ``ip:port,ip:port``.
    usage : str
        Instead of `control`: file with the output of `papayacrank-admin usage --json`.
    configuration : str
        Instead of `control`: file with a configuration as JSON.
    format : str
        ``text``, ``json`` or ``html``.
    output : str
        File to write to; standard output by default.
    """
    if format not in RENDERERS:
        _stop(f"--format: got {format!r}; expected text, json or html", 2)
    if control is None and (usage is None or configuration is None):
        _stop("give --control, or both --usage and --configuration", 2)
    try:
        view, document = _load(control, usage, configuration)
        now_minute = int(time.time()) // SECONDS_PER_MINUTE
        parsed = parse_usage_view(view, now_minute)
        text = RENDERERS[format](build_report(parsed, parse_configuration(document)))
    except AdminError as error:
        _stop(str(error), error.exit_code)
    except (OSError, ValueError) as error:
        _stop(str(error), 2)
    if output is None:
        print(text)
    else:
        Path(output).write_text(text, encoding="utf-8")


def _load(
    control: str | None, usage: str | None, configuration: str | None
) -> tuple[list[dict], str]:
    """Return the usage view and the configuration document."""
    if control is not None:
        document = json.loads(read_state(control, "configuration"))["document"]
        return json.loads(read_state(control, "usage")), document
    view = json.loads(Path(usage).read_text(encoding="utf-8"))
    return view, Path(configuration).read_text(encoding="utf-8")


def _stop(message: str, exit_code: int) -> None:
    print(f"papayacrank-report: {message}", file=sys.stderr)
    sys.exit(exit_code)


def main() -> None:
    """Run the program."""
    fire.Fire(report, name="papayacrank-report")


if __name__ == "__main__":
    main()
