"""Adapter to the platform of the users: settings, wire formats and processes.

Only this subpackage uses the names of the platform. It translates them to the types
of the product and contains no decision logic.
"""

from ._settings import PlatformSettings, load_platform_settings

__all__ = ["PlatformSettings", "load_platform_settings"]
