"""Output of results and failures, with exit codes."""

import json
import sys
from typing import Any, NoReturn

from papayacrank.kernel import Failure

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
_EXIT_BY_CODE = {
    "conflict": EXIT_CONFLICT,
    "control_timeout": EXIT_UNKNOWN,
    "control_overloaded": EXIT_UNKNOWN,
    "invalid_command": EXIT_INVALID,
    "invalid_order": EXIT_INVALID,
}


class Output:
    """Prints results and errors as text or JSON.

    Parameters
    ----------
    as_json : bool
        Whether to print JSON. As text, errors go to standard error.
    """

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def show(self, document: Any, text: str | None = None) -> None:
        """Print a result; `text` replaces the default listing of `document`."""
        if self._as_json:
            print(json.dumps(document, sort_keys=True))
        else:
            print(text if text is not None else format_listing(document))

    def fail(
        self,
        code: str,
        message: str,
        exit_code: int,
        details: dict[str, Any] | None = None,
        **fields,
    ) -> NoReturn:
        """Print an error and exit.

        Parameters
        ----------
        code, message : str
            Error code and explanation.
        exit_code : int
            Exit code of the process.
        details : dict, optional
            Additional fields; ``document`` is printed as JSON only, as it is long.
        **fields : Any
            Verdict and request id of a command.
        """
        details = details or {}
        if self._as_json:
            error = {"code": code, "message": message, "details": details} | fields
            print(json.dumps({"error": error}, sort_keys=True))
        else:
            shown = fields | {k: v for k, v in details.items() if k != "document"}
            lines = [f"  {key}: {_format_value(value)}" for key, value in shown.items()]
            print("\n".join([f"{code}: {message}", *lines]), file=sys.stderr)
        sys.exit(exit_code)

    def fail_with(self, failure: Failure, request_id: str) -> NoReturn:
        """Print the failure of a command and exit with the code for its error code."""
        self.fail(
            failure.code,
            failure.message,
            _EXIT_BY_CODE.get(failure.code, EXIT_FAILED),
            failure.details,
            verdict=failure.verdict.value,
            request_id=request_id,
        )


def format_listing(document: Any) -> str:
    """Format a list of objects as a table and an object as one line per field."""
    if isinstance(document, list):
        return _format_table(document) if document else "(none)"
    if isinstance(document, dict):
        return "\n".join(_format_field(key, value) for key, value in document.items())
    return str(document)


def _format_field(key: str, value: Any) -> str:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        table = _format_table(value).replace("\n", "\n  ")
        return f"{key}:\n  {table}"
    return f"{key}: {_format_value(value)}"


def _format_table(rows: list) -> str:
    if not isinstance(rows[0], dict):
        return "\n".join(str(row) for row in rows)
    columns = list(rows[0])
    cells = [[_format_value(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(text) for text in texts) for texts in zip(columns, *cells, strict=True)
    ]
    lines = [columns, *cells]
    return "\n".join(
        "  ".join(t.ljust(w) for t, w in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{k}={_format_value(v)}" for k, v in value.items()) or "-"
    if isinstance(value, list):
        return ", ".join(_format_value(item) for item in value) or "-"
    return str(value)
