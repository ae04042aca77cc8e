"""Reloading of the settings file when it changes."""

import signal
from collections.abc import Callable
from pathlib import Path

from papayacrank.config import SettingsError
from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Timers

from ._events import SETTINGS_RELOADED, SETTINGS_UNUSABLE
from ._settings import PlatformSettings, load_platform_settings

CHECK_INTERVAL_MS = 1_000
# Settings that take effect while a process runs, or that only its first start uses.
FOLLOWED_FIELDS = frozenset({"seeds", "bootstrap"})


class SettingsWatcher:
    """Reloads the settings after the file has changed or SIGHUP was received.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : PlatformSettings
        Current settings.
    on_change : Callable
        Called with the new settings if they differ.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        on_change: Callable[[PlatformSettings], None],
        clock: Clock,
        timers: Timers,
    ):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._clock = clock
        self._timers = timers
        # The file may have changed since the settings were loaded.
        self._file_state: tuple[int, int, int] | None = None

    def start(self) -> None:
        """Start polling the file; SIGHUP no longer terminates the process."""
        signal.signal(signal.SIGHUP, self._on_signal)
        self._schedule()

    def _on_signal(self, *_) -> None:
        self._file_state = None

    def _schedule(self) -> None:
        at_ms = self._clock.now_ms() + CHECK_INTERVAL_MS
        self._timers.set("settings", at_ms, self._check)

    def _check(self) -> None:
        self._schedule()
        file_state = self._read_file_state()
        if file_state == self._file_state:
            return
        self._file_state = file_state
        try:
            settings = load_platform_settings(self._path)
        except SettingsError as error:
            log_event(SETTINGS_UNUSABLE, error=str(error))
            return
        changed = self._find_changed_fields(settings)
        if changed:
            self._settings = settings
            needs_restart = sorted(changed - FOLLOWED_FIELDS)
            log_event(
                SETTINGS_RELOADED, seeds=settings.seeds, needs_restart=needs_restart
            )
            self._on_change(settings)

    def _find_changed_fields(self, settings: PlatformSettings) -> set[str]:
        return {
            name
            for name in PlatformSettings.model_fields
            if getattr(settings, name) != getattr(self._settings, name)
        }

    def _read_file_state(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
