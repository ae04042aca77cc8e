"""Operators' interface on an instance without a disk."""

from collections.abc import Sequence

from circuits import BaseComponent

from papayacrank.kernel import MonotonicClock
from papayacrank.transport import (
    ExchangeListener,
    HttpExchange,
    HttpPort,
    Timers,
    install_process_handlers,
)

from ._settings import PlatformSettings

REDIRECT = 307
RETRY_AFTER_S = b"0.2"


class ControlRelay(ExchangeListener):
    """Sends operators on to the instances that keep the durable state.

    A process without a disk cannot vote, since it would forget its votes.

    Parameters
    ----------
    own_address : str
        Control address of this process, which is never a destination.
    seeds : sequence of str
        Control addresses of other instances.
    """

    def __init__(self, own_address: str, seeds: Sequence[str]):
        self._own_address = own_address
        self._turn = 0
        self._seeds: list[str] = []
        self.learn(seeds)

    def learn(self, seeds: Sequence[str]) -> None:
        """Use other seeds from now on."""
        self._seeds = [seed for seed in seeds if seed != self._own_address]

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Answer with the address of the next seed."""
        if not self._seeds:
            exchange.respond(503, [(b"retry-after", RETRY_AFTER_S)])
            return
        self._turn += 1
        seed = self._seeds[self._turn % len(self._seeds)]
        location = f"http://{seed}{exchange.head.target}".encode()
        exchange.respond(REDIRECT, [(b"location", location)])


class RelayProcess(BaseComponent):
    """Control process of an instance without a disk.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the process.
    """

    channel = "relay"

    def __init__(self, settings: PlatformSettings):
        super().__init__()
        address = settings.listen.control
        self._relay = ControlRelay(address, settings.seeds)
        self.clock = MonotonicClock()
        install_process_handlers(self)
        self.timers = Timers(self.clock).register(self)
        port = HttpPort(address, "operators", self._relay, self.clock, self.timers)
        port.register(self)

    def learn(self, settings: PlatformSettings) -> None:
        """Use the seeds of changed settings."""
        self._relay.learn(settings.seeds)
