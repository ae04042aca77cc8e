"""Adapter to the users' platform: settings, wire forms, processes.

Only this subpackage knows the names of the platform; it translates them into the
types of the product and decides nothing.
"""

from ._settings import PlatformSettings, load_platform_settings

__all__ = ["PlatformSettings", "load_platform_settings"]
