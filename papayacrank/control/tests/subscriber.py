"""Control contacts and clients of simulated entry processes, on loopback."""

import random
import time
from functools import partial

from circuits import BaseComponent, handler

from papayacrank.control import (
    ContactSettings,
    ControlClient,
    ControlContact,
    FeedChanged,
    LeaderHint,
    RequestFinished,
)
from papayacrank.kernel import CancelTimer, MonotonicClock, Send, SetTimer
from papayacrank.messages import CONTROL_MESSAGES
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    install_process_handlers,
)

TICK_S = 0.002
WAIT_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_MS = 20_000


class Subscriber(BaseComponent):
    """Control contact and client of one simulated entry process.

    Parameters
    ----------
    root : BaseComponent
        Root component with a poller and timers.
    name : str
        Name of the instance.
    peers : dict of str to str
        Addresses of the control processes by name.

    Attributes
    ----------
    outcomes : dict of str to expression.Result
        Outcomes of the submitted commands by request id.
    reached : dict of (str, int) to float
        Time at which a version of the feed or the configuration was first seen, in
        seconds on the monotonic clock.
    """

    def __init__(self, root: BaseComponent, name: str, peers: dict[str, str]):
        self.channel = f"subscriber-{name}"
        super().__init__(channel=self.channel)
        self._clock = MonotonicClock()
        self._timers = root.timers
        self._name = name
        hint = LeaderHint(peers)
        settings = ContactSettings(name, time.time_ns(), "east", "127.0.0.1:1")
        self.contact = ControlContact(settings, hint)
        self.client = ControlClient(
            f"entry/{name}", 1, hint, random.Random(), COMMAND_TIMEOUT_MS
        )
        self.outcomes = {}
        self.reached: dict[tuple[str, int], float] = {}
        link = Link(
            LinkSettings(f"entry/{name}", None, peers), MessageCodec(CONTROL_MESSAGES)
        )
        link.channel = f"link-{name}"
        self.link = link.register(root)
        self.register(root)
        self.addHandler(self._make_handler())

    def _make_handler(self):
        @handler("received", channel=f"link-{self._name}")
        def on_received(component, sender, message):
            now_ms = component._clock.now_ms()
            component.run(component.contact.receive(sender, message, now_ms))
            component.run(component.client.receive(sender, message, now_ms))

        return on_received

    def begin(self) -> None:
        """Send the first heartbeat."""
        self.run(self.contact.start(self._clock.now_ms()))
        self.run(self.contact.set_status("serving", self._clock.now_ms()))

    def submit(self, command) -> str:
        """Submit a command and return its request id."""
        request_id, effects = self.client.submit(command, self._clock.now_ms())
        self.run(effects)
        return request_id

    def run(self, effects) -> None:
        """Execute effects."""
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.link.send(to, message)
                case SetTimer(name, at_ms):
                    callback = partial(self._on_timer, name)
                    self._timers.set(f"{self._name}/{name}", at_ms, callback)
                case CancelTimer(name):
                    self._timers.cancel(f"{self._name}/{name}")
                case RequestFinished(request_id, outcome):
                    self.outcomes[request_id] = outcome
                case FeedChanged(version=version):
                    now_s = time.monotonic()
                    configuration_version = self.contact.configuration_version
                    self.reached.setdefault(("feed", version), now_s)
                    self.reached.setdefault(
                        ("configuration", configuration_version), now_s
                    )

    def _on_timer(self, name: str) -> None:
        now_ms = self._clock.now_ms()
        self.run(self.contact.tick(name, now_ms))
        self.run(self.client.tick(name, now_ms))


class EventLoop(BaseComponent):
    """Event loop shared by all subscribers of a test."""

    def __init__(self):
        super().__init__()
        install_process_handlers(self)
        self.timers = Timers(MonotonicClock()).register(self)
        self._running = True

    def wait_until(self, condition) -> None:
        """Run until the condition holds.

        Raises
        ------
        TimeoutError
            If it does not hold within `WAIT_TIMEOUT_S`.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the condition did not hold before the deadline")
            self.tick(TICK_S)

    def run_for(self, seconds: float) -> None:
        """Run for a number of seconds."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.tick(TICK_S)
