"""Connection of the control client and the control contact to link and timers."""

from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler

from papayacrank.kernel import CancelTimer, Clock, Send, SetTimer
from papayacrank.transport import Link, Timers

from ._client import ControlClient, RequestFinished
from ._contact import ControlContact, FeedChanged, GrantsReceived


class ControlConnector(BaseComponent):
    """Component that executes the effects of a control client and a control contact.

    Parameters
    ----------
    link : Link
        Connections to the control processes and to peers.
    contact : ControlContact
        Heartbeats and feed copy of the process.
    client : ControlClient
        Client that sends commands.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    channel = "link"

    def __init__(
        self,
        link: Link,
        contact: ControlContact,
        client: ControlClient,
        clock: Clock,
        timers: Timers,
    ):
        super().__init__()
        self._link = link
        self._contact = contact
        self._client = client
        self._clock = clock
        self._timers = timers
        self._callbacks: dict[str, Callable] = {}
        self.on_feed: Callable[[FeedChanged], None] = lambda change: None
        self.on_grants: Callable[[GrantsReceived], None] = lambda grants: None
        self.on_message: Callable[[str, Any], None] = lambda sender, message: None

    def start_contact(self) -> None:
        """Send the first heartbeat."""
        self.run(self._contact.start(self._clock.now_ms()))

    def set_status(self, status: str) -> None:
        """Set the status and report it to the leader at once."""
        self.run(self._contact.set_status(status, self._clock.now_ms()))

    def send_heartbeat(self) -> None:
        """Send a heartbeat at once, before the next one is due."""
        self.set_status(self._contact.status)

    def send_to_leader(self, message: Any) -> bool:
        """Send a message to the presumed leader; return False if none is known."""
        leader = self._contact.leader
        if leader is None:
            return False
        self._link.send(leader, message)
        return True

    def submit(
        self,
        command: Any,
        callback: Callable,
        timeout_ms: int | None = None,
        request_id: str | None = None,
    ) -> str:
        """Send a command and return its request id.

        `callback` is called with the outcome, but never before this method returns.
        """
        now_ms = self._clock.now_ms()
        request_id, effects = self._client.submit(
            command, now_ms, request_id, timeout_ms
        )
        self._callbacks[request_id] = callback
        if any(isinstance(effect, RequestFinished) for effect in effects):
            name = f"control-port/{request_id}"
            self._timers.set(name, now_ms, lambda: self.run(effects))
        else:
            self.run(effects)
        return request_id

    def run(self, effects: list) -> None:
        """Execute effects."""
        for effect in effects:
            self._execute_one(effect)

    def _execute_one(self, effect: Any) -> None:
        match effect:
            case Send(to, message):
                self._link.send(to, message)
            case SetTimer(name, at_ms):
                self._timers.set(name, at_ms, lambda: self._on_timer(name))
            case CancelTimer(name):
                self._timers.cancel(name)
            case RequestFinished(request_id, outcome):
                callback = self._callbacks.pop(request_id, None)
                if callback is not None:
                    callback(outcome)
            case FeedChanged():
                self.on_feed(effect)
            case GrantsReceived():
                self.on_grants(effect)

    def _on_timer(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        self.run(self._contact.tick(name, now_ms))
        self.run(self._client.tick(name, now_ms))

    @handler("received")
    def _on_received(self, sender, message):
        now_ms = self._clock.now_ms()
        self.run(self._contact.receive(sender, message, now_ms))
        self.run(self._client.receive(sender, message, now_ms))
        self.on_message(sender, message)
