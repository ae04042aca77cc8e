"""API keys, stored as digests only."""

import hmac

import msgspec

from papayacrank.messages import FailureRecord, GrantKey, KeyEntry, WithdrawKey

from ._base import Table, evict_oldest, refuse
from ._limits import MAX_KEYS, MAX_WITHDRAWN_KEYS


class KeyRecord(msgspec.Struct, frozen=True):
    """A key and the operators who granted and withdrew it."""

    key_id: str
    workspace: str
    digest: str
    granted_by: str
    granted_wall_ms: int
    withdrawn_by: str = ""
    withdrawn_wall_ms: int = 0

    @property
    def entry(self) -> KeyEntry:
        """Feed entry of the key."""
        return KeyEntry(self.key_id, self.workspace, self.digest)


class KeysDump(msgspec.Struct):
    """Snapshot of `KeyTable`."""

    live: list[KeyRecord]
    withdrawn: list[KeyRecord]


class KeyTable(Table):
    """Live and withdrawn keys.

    An identifier is never granted again while its withdrawal is stored, so that a
    delayed resend of a grant does not restore a withdrawn key.
    """

    def __init__(self):
        self._live: dict[str, KeyRecord] = {}
        self._withdrawn: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._live)

    @property
    def live(self) -> list[KeyRecord]:
        """Live keys, oldest first."""
        return list(self._live.values())

    @property
    def withdrawn(self) -> list[KeyRecord]:
        """Withdrawn keys, oldest withdrawal first."""
        return list(self._withdrawn.values())

    def grant(self, command: GrantKey, wall_ms: int) -> FailureRecord | KeyRecord:
        """Add a key; repeating an identical grant returns the existing record."""
        if command.key_id in self._withdrawn:
            return refuse("key_withdrawn", f"key {command.key_id} was withdrawn")
        known = self._live.get(command.key_id)
        if known is not None:
            identical = known.workspace == command.workspace and hmac.compare_digest(
                known.digest, command.digest
            )
            if identical:
                return known
            return refuse("conflict", f"key id {command.key_id} is in use")
        if len(self._live) >= MAX_KEYS:
            return refuse("table_full", f"{MAX_KEYS} keys are in force", 503)
        record = KeyRecord(
            command.key_id,
            command.workspace,
            command.digest,
            command.operator,
            wall_ms,
        )
        self._live[command.key_id] = record
        return record

    def withdraw(self, command: WithdrawKey, wall_ms: int) -> FailureRecord | bool:
        """Withdraw a key permanently.

        Returns
        -------
        FailureRecord or bool
            Failure if the key is unknown; otherwise whether it was live.
        """
        if command.key_id in self._withdrawn:
            return False
        record = self._live.pop(command.key_id, None)
        if record is None:
            return refuse("unknown_key", f"no key {command.key_id}", 404)
        self._withdrawn[command.key_id] = msgspec.structs.replace(
            record, withdrawn_by=command.operator, withdrawn_wall_ms=wall_ms
        )
        evict_oldest(self._withdrawn, MAX_WITHDRAWN_KEYS)
        return True

    def dump(self) -> KeysDump:
        """Return the snapshot."""
        return KeysDump(self.live, self.withdrawn)

    def load(self, dumped: KeysDump) -> None:
        """Restore a snapshot."""
        self._live = {record.key_id: record for record in dumped.live}
        self._withdrawn = {record.key_id: record for record in dumped.withdrawn}
