"""Tests of the start of a control process if its data folder or the system fails."""

import errno

import pytest

from papayacrank.consensus import (
    HardState,
    LogStoreError,
    Membership,
    SaveSnapshot,
    Snapshot,
)
from papayacrank.consensus import _files as files_module
from papayacrank.control._process import build_log_store
from papayacrank.platform import __main__ as programs
from papayacrank.platform._settings import load_platform_settings

from .builders import build_settings


def load(tmp_path, **fields):
    """Write a settings file and return the loaded settings."""
    path = tmp_path / "local.toml"
    path.write_text(build_settings(**fields))
    return load_platform_settings(path)


class _FailingModule:
    """Module whose functions fail, as locks do on the platform's temporary folder."""

    def __getattr__(self, name):
        def fail(*_, **__):
            raise OSError(errno.EBADF, f"{name}: Bad file descriptor")

        return fail


def test_control_process_without_a_disk_uses_no_files(tmp_path, monkeypatch):
    """Guards against processes without a disk that exit at each start."""
    monkeypatch.setattr(files_module, "fcntl", _FailingModule())
    monkeypatch.setattr(files_module, "os", _FailingModule())
    store = build_log_store(load(tmp_path, data="").control_settings())
    state = store.load()
    store.append([HardState(3, "a", state.identity)])
    store.append([SaveSnapshot(Snapshot(9, 3, Membership(), b"state"), True)])
    assert state.identity


def test_start_is_retried_with_increasing_delays(tmp_path, monkeypatch, capsys):
    """Guards against a busy loop of start attempts while the disk fails."""
    delays, results = [], []

    def build(_settings):
        results.append("failed")
        if len(results) < 4:
            raise LogStoreError("disk full")
        return "process"

    monkeypatch.setattr(programs, "_build_control", build)
    monkeypatch.setattr(programs.time, "sleep", delays.append)
    assert programs._start_control(load(tmp_path)) == "process"
    assert delays == [0.2, 0.5, 1.0]
    assert capsys.readouterr().err.count("disk full") == 1


def test_start_fails_after_the_last_delay(tmp_path, monkeypatch):
    """Guards against a process that hangs forever on a corrupted folder."""
    delays = []

    def build(_settings):
        raise LogStoreError("damaged")

    monkeypatch.setattr(programs, "_build_control", build)
    monkeypatch.setattr(programs.time, "sleep", delays.append)
    assert programs._start_control(load(tmp_path)) is None
    assert tuple(delays) == programs.START_RETRY_DELAYS_S


def test_failed_start_releases_the_folder(tmp_path):
    """Guards against a second attempt that finds the folder locked by the first."""
    folder = tmp_path / "data"
    folder.mkdir()
    stray = folder / "log-00000001-00000001"
    stray.write_bytes(b"rest of another store")
    settings = load(tmp_path, data=str(folder)).control_settings()
    first = build_log_store(settings)
    with pytest.raises(LogStoreError, match="without an identity"):
        first.load()
    stray.unlink()
    assert build_log_store(settings).load().identity
