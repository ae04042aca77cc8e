"""Message codec, ZeroMQ link and timers for circuits processes."""

from ._codec import MessageCodec, MessageDecodeError
from ._link import Link, LinkSettings, received
from ._process import install_process_handlers, run_process
from ._timers import Timers

__all__ = [
    "Link",
    "LinkSettings",
    "MessageCodec",
    "MessageDecodeError",
    "Timers",
    "install_process_handlers",
    "received",
    "run_process",
]
