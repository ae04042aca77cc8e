"""Settings of an entry process that forwards requests."""

from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.messages import UNKNOWN_CAPACITY, InstanceCapacity

from ._settings import ForwardingSettings


@dataclass(frozen=True)
class ForwardingProcessSettings:
    """Addresses and limits of an entry process.

    Parameters
    ----------
    forwarding : ForwardingSettings
        Settings of the forwarder.
    callers, readiness, directory, metrics : str
        Listening addresses as ``ip:port``; an empty string disables the listener.
    control : tuple of str
        Link names of control processes.
    resolve : callable
        Function that returns the link address of a control process, given its name.
    boot : int
        Start number, which increases with each start.
    contact_ms : int
        Time in milliseconds without an acknowledged heartbeat after which contact to
        the control group counts as lost.
    stop_timeout_ms : int
        Maximum duration of a graceful stop in milliseconds.
    capacity : InstanceCapacity
        Resources of the process.
    """

    forwarding: ForwardingSettings
    callers: str
    readiness: str
    directory: str
    metrics: str
    control: tuple[str, ...]
    resolve: Callable[[str], str | None]
    boot: int
    contact_ms: int = 3_000
    stop_timeout_ms: int = 7_600
    capacity: InstanceCapacity = UNKNOWN_CAPACITY
