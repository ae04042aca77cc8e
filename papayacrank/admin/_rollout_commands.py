"""Commands of ``papayacrank-admin rollouts``."""

from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFn

from papayacrank.messages import (
    ROLLED_BACK,
    RUNNING,
    Command,
    ConcludeRollout,
    StartRollout,
)

from ._output import EXIT_FAILED, EXIT_INVALID, Output

MS_PER_SECOND = 1000


class RolloutCommands:
    """Lists, starts and stops rollouts of releases."""

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
        """Show the last rollout of each service, with its verdict and the reason."""
        self._output.show(self._read("rollouts"))

    @SetParseFn(str)
    def start(self, service, release, duration_s):
        """Move the traffic of a service to targets of another release.

        Args:
            service: Name of the service.
            release: Release that gets the traffic.
            duration_s: Time within which the rollout ends, in seconds.
        """
        command = StartRollout(service, release, self._parse_duration(duration_s))
        request_id, _ = self._run(command)
        document = {"service": service, "release": release, "request_id": request_id}
        self._output.show(document)

    @SetParseFn(str)
    def stop(self, service):
        """Roll back the running rollout of a service.

        Args:
            service: Name of the service.
        """
        rollouts = self._read("rollouts")
        found = next((r for r in rollouts if r["service"] == service), None)
        # A stop whose answer was lost is repeated after the rollout was rolled back.
        if found is None or found["state"] not in (RUNNING, ROLLED_BACK):
            message = f"no rollout of {service} is running"
            self._output.fail("no_rollout", message, EXIT_FAILED)
        reason = f"stopped by {self._find_operator()}"
        command = ConcludeRollout(found["number"], ROLLED_BACK, reason)
        request_id, _ = self._run(command)
        document = {"service": service, "rollout": found["number"]}
        self._output.show(document | {"state": ROLLED_BACK, "request_id": request_id})

    def _parse_duration(self, text: str) -> int:
        try:
            duration_ms = round(float(text) * MS_PER_SECOND)
        except (ValueError, OverflowError):
            duration_ms = 0
        if duration_ms <= 0:
            message = f"duration_s: got {text!r}, expected a positive number of seconds"
            self._output.fail("invalid_argument", message, EXIT_INVALID)
        return duration_ms
