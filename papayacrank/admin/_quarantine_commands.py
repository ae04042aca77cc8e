"""Commands of ``papayacrank-admin quarantine``."""

from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFn

from papayacrank.messages import Command, LiftVerdict

from ._output import EXIT_INVALID, Output, format_listing

MAX_NUMBER = 2**63 - 1


class QuarantineCommands:
    """Lists and lifts verdicts on prompt parts that crash targets."""

    def __init__(
        self,
        read: Callable[[str], Any],
        run: Callable[[Command], tuple[str, Any]],
        find_operator: Callable[[], str],
        output: Output,
    ):
        self._read = read
        self._run = run
        self._find_operator = find_operator
        self._output = output

    def list(self):
        """List the verdicts in force and the suspected prompt parts."""
        document = self._read("quarantine")
        text = "\n".join(
            f"{title}:\n{format_listing(document[title])}"
            for title in ("verdicts", "suspicions")
        )
        self._output.show(document, text)

    @SetParseFn(str)
    def lift(self, number):
        """Lift a verdict and clear the evidence against its parts.

        Args:
            number: Number of the verdict in the output of `list`.
        """
        is_number = number.isascii() and number.isdecimal()
        if not is_number or not 0 < int(number) <= MAX_NUMBER:
            message = f"number: got {number!r}, expected the number of a verdict"
            self._output.fail("invalid_argument", message, EXIT_INVALID)
        request_id, _ = self._run(LiftVerdict(int(number), self._find_operator()))
        self._output.show({"lifted": int(number), "request_id": request_id})
