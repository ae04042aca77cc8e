"""Lets all writes below the data folder fail while a flag file says so.

Python imports this module at the start of a process that has its folder on the path.
"""

import errno
import os
from pathlib import Path

_FLAG = os.environ.get("FULL_DISK_FLAG", "")
_write, _truncate = os.write, os.ftruncate


def _is_refused(fd):
    if not _FLAG or not Path(_FLAG).exists():
        return False
    name = os.readlink(f"/proc/self/fd/{fd}")
    return Path(_FLAG).parent in Path(name).parents


def _write_if_room(fd, data):
    if _is_refused(fd):
        # The first part of a write may still fit.
        _write(fd, bytes(data)[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left on device")
    return _write(fd, data)


def _truncate_if_room(fd, size):
    if _is_refused(fd):
        raise OSError(errno.ENOSPC, "no space left on device")
    _truncate(fd, size)


os.write, os.ftruncate = _write_if_room, _truncate_if_room
