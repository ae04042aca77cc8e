"""Starts of a control process where its folder or the system fails."""

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
    """Return settings as the platform writes them."""
    path = tmp_path / "local.toml"
    path.write_text(build_settings(**fields))
    return load_platform_settings(path)


class _Refusing:
    """Module whose functions fail, as locks do on the platform's temporary folder."""

    def __getattr__(self, name):
        def refuse(*_, **__):
            raise OSError(errno.EBADF, f"{name}: Bad file descriptor")

        return refuse


def test_control_process_without_a_disk_uses_no_files(tmp_path, monkeypatch):
    """Guards against processes without a disk that end at each start."""
    monkeypatch.setattr(files_module, "fcntl", _Refusing())
    monkeypatch.setattr(files_module, "os", _Refusing())
    store = build_log_store(load(tmp_path, data="").control_settings())
    state = store.load()
    store.append([HardState(3, "a", state.identity)])
    store.append([SaveSnapshot(Snapshot(9, 3, Membership(), b"state"), True)])
    assert state.identity


def test_start_is_tried_again_with_growing_waits(tmp_path, monkeypatch, capsys):
    """Guards against a process that spins at its start while its disk fails."""
    waits, results = [], []

    def build(_settings):
        results.append("failed")
        if len(results) < 4:
            raise LogStoreError("disk full")
        return "process"

    monkeypatch.setattr(programs, "_build_control", build)
    monkeypatch.setattr(programs.time, "sleep", waits.append)
    assert programs._start_control(load(tmp_path)) == "process"
    assert waits == [0.2, 0.5, 1.0]
    assert capsys.readouterr().err.count("disk full") == 1


def test_start_is_given_up_after_the_last_wait(tmp_path, monkeypatch):
    """Guards against a process that hangs for ever on a damaged folder."""
    waits = []

    def build(_settings):
        raise LogStoreError("damaged")

    monkeypatch.setattr(programs, "_build_control", build)
    monkeypatch.setattr(programs.time, "sleep", waits.append)
    assert programs._start_control(load(tmp_path)) is None
    assert tuple(waits) == programs.START_WAITS_S


def test_failed_start_releases_the_folder(tmp_path):
    """Guards against a second try that finds the folder locked by the first."""
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
