"""Command line for operators."""

from ._commands import AdminCommands
from ._exchange import ControlExchange
from ._settings import AdminSettings, find_control

__all__ = ["AdminCommands", "AdminSettings", "ControlExchange", "find_control"]
