"""Client that sends a command to the control group and waits for its outcome."""

import random
import secrets
from functools import partial
from typing import Any

from circuits import BaseComponent, Event, handler
from expression import Result

from papayacrank.config import PeerAddress
from papayacrank.control import ControlClient, LeaderHint, RequestFinished
from papayacrank.kernel import CancelTimer, Failure, MonotonicClock, Send, SetTimer
from papayacrank.messages import CONTROL_MESSAGES, Command
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    install_process_handlers,
)

TICK_SECONDS = 0.05


class command_finished(Event):  # noqa: N801 - circuits events are lower case
    """An outcome arrived; the queued event ends the wait of the event loop."""


class BlockingControlClient(BaseComponent):
    """Runs a `ControlClient` and blocks until an outcome arrives.

    Parameters
    ----------
    control : list of PeerAddress
        Addresses of the control processes.
    timeout_ms : int
        Time after which the outcome is reported as unknown, in milliseconds.
    """

    channel = "admin"

    def __init__(self, control: list[PeerAddress], timeout_ms: int):
        super().__init__()
        name = f"admin/{secrets.token_hex(4)}"
        peers = {peer.name: peer.address for peer in control}
        self._clock = MonotonicClock()
        self._outcomes: dict[str, Result[Any, Failure]] = {}
        self._client = ControlClient(
            name, 0, LeaderHint(peers), random.SystemRandom(), timeout_ms
        )
        install_process_handlers(self)
        self._timers = Timers(self._clock).register(self)
        codec = MessageCodec(CONTROL_MESSAGES)
        self._link = Link(LinkSettings(name, None, peers), codec).register(self)
        self._running = True

    def run_command(
        self, command: Command, request_id: str | None = None
    ) -> tuple[str, Result[Any, Failure]]:
        """Send a command and wait for its outcome.

        Parameters
        ----------
        command : Command
            Command to send.
        request_id : str, optional
            Identifier of an earlier request with the same command, to get the outcome
            of that request.

        Returns
        -------
        tuple of str and expression.Result
            Request identifier and outcome.
        """
        request_id, effects = self._client.submit(
            command, self._clock.now_ms(), request_id
        )
        self._apply_effects(effects)
        while request_id not in self._outcomes:
            self.tick(TICK_SECONDS)
        return request_id, self._outcomes.pop(request_id)

    def close(self) -> None:
        """Close the connections to the control processes."""
        self._link.close()

    @handler("received", channel="link")
    def _on_received(self, sender, message):
        self._apply_effects(self._client.receive(sender, message, self._clock.now_ms()))

    def _on_timer(self, name: str) -> None:
        self._apply_effects(self._client.tick(name, self._clock.now_ms()))

    def _apply_effects(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._link.send(to, message)
                case SetTimer(name, at_ms):
                    self._timers.set(name, at_ms, partial(self._on_timer, name))
                case CancelTimer(name):
                    self._timers.cancel(name)
                case RequestFinished(request_id, outcome):
                    self._outcomes[request_id] = outcome
                    self.fire(command_finished(), self.channel)
