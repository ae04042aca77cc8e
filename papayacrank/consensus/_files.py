"""File operations in one folder, on disk or in memory."""

import fcntl
import os
from abc import ABC, abstractmethod
from pathlib import Path

LOCK_FILE = "lock"


class Files(ABC):
    """Interface for the files of one folder.

    Changes to the content of a file are durable after `sync`. The creation, renaming
    or removal of a file is durable after `sync_folder`.
    """

    @abstractmethod
    def open_folder(self) -> None:
        """Create the folder if missing and lock it for exclusive use."""

    @abstractmethod
    def names(self) -> list[str]:
        """Return the names of the files."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; create the file if missing."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing `new`."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""

    @abstractmethod
    def close(self) -> None:
        """Close all files and release the folder."""


class FolderFiles(Files):
    """Files in a folder of the file system.

    Parameters
    ----------
    folder : Path
        Path of the folder.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._lock_fd: int | None = None
        self._open: dict[str, int] = {}

    def open_folder(self) -> None:
        """Create the folder if missing and lock it.

        Raises
        ------
        OSError
            If another process has locked the folder, or it cannot be created.
        """
        missing = [p for p in (self._folder, *self._folder.parents) if not p.exists()]
        self._folder.mkdir(parents=True, exist_ok=True)
        for created in missing:
            _sync_path(created.parent)
        self._lock_fd = os.open(
            self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def names(self) -> list[str]:
        """Return the names of the files except the lock file."""
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if path.is_file() and path.name != LOCK_FILE
        )

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; create the file if missing."""
        fd = self._descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing `new`."""
        self._close_descriptor(old)
        self._close_descriptor(new)
        os.rename(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_descriptor(name)
        os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        _sync_path(self._folder)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._open):
            self._close_descriptor(name)
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None

    def _descriptor(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._open[name] = os.open(self._folder / name, flags, 0o600)
        return self._open[name]

    def _close_descriptor(self, name: str) -> None:
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)


class MemoryFiles(Files):
    """Files in memory, for an instance without a disk.

    The content is lost when the process ends. Temporary folders are not used, because
    some systems support neither locks nor folder syncs on them.
    """

    def __init__(self):
        self._contents: dict[str, bytearray] = {}

    def open_folder(self) -> None:
        """Do nothing, because no other process can access these files."""

    def names(self) -> list[str]:
        """Return the names of the files."""
        return sorted(self._contents)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return bytes(self._contents[name])

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; create the file if missing."""
        self._contents.setdefault(name, bytearray()).extend(data)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        del self._contents[name][size:]

    def sync(self, name: str) -> None:
        """Do nothing, because the content can't be made more durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing `new`."""
        self._contents[new] = self._contents.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._contents[name]

    def sync_folder(self) -> None:
        """Do nothing, because the files can't be made more durable."""

    def close(self) -> None:
        """Remove all files and free their memory."""
        self._contents.clear()


def _sync_path(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
