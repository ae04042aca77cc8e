"""Tests of entries, snapshots and messages of the build before the entry formats.

`recorded/build_334f241.json` holds bytes that this build has written, and the names of
its commands and of the fields of its snapshot.
"""

import json
from base64 import b64decode
from pathlib import Path
from typing import get_args

import msgspec
import pytest

from papayacrank.consensus import CONSENSUS_MESSAGES
from papayacrank.messages import (
    COMPLETED,
    CONTROL_MESSAGES,
    ConcludeRollout,
    ControlRequest,
    StartRollout,
)
from papayacrank.messages._commands import Command
from papayacrank.state import (
    ENTRY_FORMAT,
    CommandEntry,
    LeaderEntry,
    SnapshotError,
    StateMachine,
    decode_entry,
    encode_entry,
    find_format,
)
from papayacrank.state._entries import FORMAT_BY_TYPE
from papayacrank.state._machine import SNAPSHOT_FORMAT, _Snapshot
from papayacrank.transport import MessageCodec

RECORDED = json.loads(
    (Path(__file__).parent / "recorded" / "build_334f241.json").read_text()
)
ENTRIES = [b64decode(text) for text in RECORDED["entries"]]
SNAPSHOT = b64decode(RECORDED["snapshot"])
NEVER_LOGGED = {"ReadState", "LiftVerdict", "ReplaceMember"}
ORDER = StartRollout("llm", "v3", 30_000)


class OldSnapshotHead(msgspec.Struct):
    """Fields that the build before the formats needs in a snapshot, and its check."""

    format: int
    applied_index: int
    releases: dict


def wrap(command):
    """Return an entry with a command."""
    return CommandEntry(2_000, 0, ControlRequest("order", "op", 1, command))


def read_views(machine):
    """Return the views that are recorded, and of an object the recorded fields."""
    views = {}
    for what, recorded in RECORDED["views"].items():
        view = json.loads(machine.read(what).document)
        if isinstance(view, dict):
            view = {name: view[name] for name in recorded}
        views[what] = view
    return views


@pytest.fixture
def machine():
    """Return a machine that has applied the recorded entries."""
    machine = StateMachine()
    for index, data in enumerate(ENTRIES, start=1):
        machine.apply(index, data)
    return machine


def test_log_of_the_build_before_gives_the_same_state(machine):
    """Guards against a state that differs from that of members of the build before."""
    assert read_views(machine) == RECORDED["views"]
    assert all(find_format(decode_entry(data)) == 0 for data in ENTRIES)
    assert machine.used_format == 0


def test_entries_of_old_types_are_written_as_before():
    """Guards against entries of an old type that the build before cannot read."""
    for data in ENTRIES:
        assert encode_entry(decode_entry(data)) == data


def test_snapshot_of_the_build_before_is_restored():
    """Guards against a member that stops on its own snapshot after an upgrade."""
    machine = StateMachine()
    machine.restore(SNAPSHOT)
    assert read_views(machine) == RECORDED["views"]
    assert machine.rollouts.list() == []


def test_snapshot_is_read_by_the_build_before_until_a_new_table_is_used(machine):
    """Guards against a fall back that is impossible, and against one that loses state.

    The build before ignores unknown fields and refuses another format number.
    """
    head = msgspec.msgpack.decode(machine.snapshot(), type=OldSnapshotHead)
    assert (head.format, head.applied_index) == (SNAPSHOT_FORMAT, len(ENTRIES))
    assert head.releases["possible"] == {"llm": ["v1", "v2"]}
    machine.apply(machine.applied_index + 1, encode_entry(wrap(ORDER)))
    assert machine.used_format == 1
    data = machine.snapshot()
    head = msgspec.msgpack.decode(data, type=OldSnapshotHead)
    assert head.format != SNAPSHOT_FORMAT
    restored = StateMachine()
    restored.restore(data)
    assert (restored.used_format, len(restored.rollouts.running)) == (1, 1)


def test_snapshot_of_a_later_build_is_refused(machine):
    """Guards against content that is dropped without notice after a fall back."""
    fields = msgspec.msgpack.decode(machine.snapshot())
    fields["format"] = SNAPSHOT_FORMAT + ENTRY_FORMAT + 1
    with pytest.raises(SnapshotError, match="expected 1 to"):
        StateMachine().restore(msgspec.msgpack.encode(fields))


def test_each_new_command_has_a_format():
    """Guards against a command that stops members of the build before."""
    commands = {command.__name__: command for command in get_args(Command)}
    added = commands.keys() - set(RECORDED["commands"]) - NEVER_LOGGED
    listed = {kind.__name__ for kind in FORMAT_BY_TYPE} & commands.keys()
    assert added == listed
    assert max(FORMAT_BY_TYPE.values()) == ENTRY_FORMAT
    assert find_format(wrap(ORDER)) == 1
    assert find_format(wrap(ConcludeRollout(1, COMPLETED))) == 1
    assert find_format(LeaderEntry(1, 1, "c1")) == 0


def test_new_tables_are_optional_in_a_snapshot():
    """Guards against a table whose absence makes an old snapshot unreadable."""
    optional = dict(
        zip(
            reversed(_Snapshot.__struct_fields__),
            reversed(_Snapshot.__struct_defaults__),
            strict=False,
        )
    )
    added = set(_Snapshot.__struct_fields__) - set(RECORDED["snapshot_fields"])
    assert added <= optional.keys()
    assert set(RECORDED["snapshot_fields"]) <= set(_Snapshot.__struct_fields__)


def test_messages_of_the_build_before_are_decoded():
    """Guards against members that do not understand each other during an upgrade."""
    codec = MessageCodec(CONTROL_MESSAGES + CONSENSUS_MESSAGES)
    for text in RECORDED["messages"]:
        data = b64decode(text)
        recorded = msgspec.msgpack.decode(data)
        written = msgspec.msgpack.decode(codec.encode(codec.decode(data)))
        assert recorded["type"] == written["type"]
        assert recorded.keys() <= written.keys()
