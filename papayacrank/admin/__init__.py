"""Command-line interface for operators."""

from ._commands import AdminCommands
from ._control_client import BlockingControlClient
from ._settings import AdminSettings, load_admin_settings

__all__ = [
    "AdminCommands",
    "AdminSettings",
    "BlockingControlClient",
    "load_admin_settings",
]
