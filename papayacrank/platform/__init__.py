"""Adapter to the platform of the users: settings, wire formats and processes.

Only this subpackage uses the names of the platform. It translates them to the types
of the product and contains no decision logic.
"""

from typing import Any

__all__ = ["PlatformSettings", "load_platform_settings"]


def __getattr__(name: str) -> Any:
    """Import the settings when they are used; the programs prepare signals first."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from . import _settings

    return getattr(_settings, name)
