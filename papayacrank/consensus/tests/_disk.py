"""Simulated folder that loses unsynced changes in a crash."""

import errno
from random import Random

from papayacrank.consensus._files import Files


class SimulatedCrashError(Exception):
    """The simulated process crashes during a sync."""


class _Content:
    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)
        self.synced = bytes(data)


class SimulatedFiles(Files):
    """In-memory folder with unsynced changes and crashes.

    Parameters
    ----------
    random_state : random.Random
        Selects the unsynced changes that survive a crash.
    """

    def __init__(self, random_state: Random):
        self._random = random_state
        self._live: dict[str, _Content] = {}
        self._synced: dict[str, _Content] = {}
        self.syncs = 0
        self.crash_at_sync: int | None = None
        self.is_full = False

    def open_folder(self):
        pass

    def close(self):
        pass

    def names(self):
        return sorted(self._live)

    def read(self, name):
        return bytes(self._live[name].data)

    def append(self, name, data):
        if self.is_full:
            # A write may still fit in part.
            data = data[: self._random.choice((0, len(data) // 2))]
            if data or name in self._live:
                self._live.setdefault(name, _Content()).data += data
            raise OSError(errno.ENOSPC, "no space left")
        self._live.setdefault(name, _Content()).data += data

    def truncate(self, name, size):
        del self._live[name].data[size:]

    def rename(self, old, new):
        self._live[new] = self._live.pop(old)

    def remove(self, name):
        del self._live[name]

    def sync(self, name):
        self._sync_or_crash(lambda: self._sync_content(self._live[name]))

    def sync_folder(self):
        self._sync_or_crash(lambda: setattr(self, "_synced", dict(self._live)))

    def copy(self) -> dict[str, bytes]:
        """Return a copy of the synced content, for `restore`."""
        return {name: content.synced for name, content in self._synced.items()}

    def restore(self, copy: dict[str, bytes]) -> None:
        """Replace the content by a copy; an empty copy simulates a lost disk."""
        self._live = {name: _Content(data) for name, data in copy.items()}
        self._synced = dict(self._live)

    def lose_unsynced(self) -> None:
        """Keep a random part of the unsynced changes, as after a power failure."""
        surviving_files = {}
        for name in sorted({*self._live, *self._synced}):
            folder = self._random.choice((self._live, self._synced))
            if name in folder:
                surviving_files[name] = _Content(self._surviving_content(folder[name]))
        self._live = surviving_files
        self._synced = dict(surviving_files)

    def _surviving_content(self, content: _Content) -> bytes:
        if not content.data.startswith(content.synced):
            return self._random.choice((content.synced, bytes(content.data)))
        tail = content.data[len(content.synced) :]
        tail = tail[: self._random.randint(0, len(tail))]
        if tail and self._random.random() < 0.3:
            tail[self._random.randrange(len(tail))] ^= 0xFF
        return content.synced + tail

    def _sync_content(self, content: _Content) -> None:
        content.synced = bytes(content.data)

    def _sync_or_crash(self, sync) -> None:
        self.syncs += 1
        if self.crash_at_sync is not None and self.syncs >= self.crash_at_sync:
            self.crash_at_sync = None
            if self._random.random() < 0.5:
                sync()
            raise SimulatedCrashError
        sync()
