"""Command line for operators."""

from ._commands import AdminCommands
from ._control_client import BlockingControlClient
from ._settings import AdminSettings, find_control

__all__ = ["AdminCommands", "AdminSettings", "BlockingControlClient", "find_control"]
