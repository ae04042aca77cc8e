"""Watch of the settings file."""

import signal
from collections.abc import Callable
from pathlib import Path

from papayacrank.config import SettingsError
from papayacrank.kernel import Clock, log_event
from papayacrank.transport import Timers

from ._events import SETTINGS_RELOADED, SETTINGS_UNUSABLE
from ._settings import PlatformSettings, load_platform_settings

CHECK_INTERVAL_MS = 1_000


class SettingsWatch:
    """Reads the settings again when the file changes, with or without a signal.

    Parameters
    ----------
    path : Path
        Settings file.
    settings : PlatformSettings
        Settings in use.
    on_change : Callable
        Called with new settings.
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
        self._mark = self._read_mark()

    def start(self) -> None:
        """Begin to watch; SIGHUP no longer ends the process."""
        signal.signal(signal.SIGHUP, self._on_signal)
        self._schedule()

    def _on_signal(self, *_) -> None:
        self._mark = None

    def _schedule(self) -> None:
        at_ms = self._clock.now_ms() + CHECK_INTERVAL_MS
        self._timers.set("settings", at_ms, self._check)

    def _check(self) -> None:
        self._schedule()
        mark = self._read_mark()
        if mark == self._mark:
            return
        self._mark = mark
        try:
            settings = load_platform_settings(self._path)
        except SettingsError as error:
            log_event(SETTINGS_UNUSABLE, error=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            log_event(SETTINGS_RELOADED, seeds=settings.seeds)
            self._on_change(settings)

    def _read_mark(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
