"""Table of non-idempotent actions."""

from sys import intern

import msgspec

from papayacrank.messages import (
    AbandonAction,
    ActionRecord,
    BeginAction,
    FailureRecord,
    FinishAction,
)

from ._base import Table, refuse
from ._limits import (
    ACTION_RETENTION_MS,
    MAX_ACTION_ATTEMPTS,
    MAX_ACTION_BODIES_BYTES,
    MAX_ACTION_BODY_BYTES,
    MAX_ACTIONS,
    MAX_ACTIONS_PER_WORKSPACE,
)

STARTED = "started"
FINISHED = "finished"
ABANDONED = "abandoned"
UNKNOWN = "unknown"


class ActionRow(msgspec.Struct):
    """State of one action.

    Attributes
    ----------
    expires_ms : int
        Group time in milliseconds, as in `CommandEntry`, from which the record may be
        removed.
    attempts : tuple of str
        Request ids of all commands that began or abandoned the action, kept until
        it finishes. A delayed duplicate of one of them must not change the state
        again.
    """

    workspace: str
    idempotency_key: str
    fingerprint: str
    service: str
    owner: str
    owner_boot: int
    state: str
    expires_ms: int
    attempts: tuple[str, ...]
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def describe(self, started_now: bool = False, body: bool = True) -> ActionRecord:
        """Return the record that is sent in the reply.

        Parameters
        ----------
        started_now : bool, default=False
            Whether the command being answered started the action.
        body : bool, default=True
            Whether to include the recorded response body.
        """
        return ActionRecord(
            self.workspace,
            self.idempotency_key,
            self.state,
            started_now,
            self.status,
            self.content_type,
            self.body if body else b"",
        )


class ActionsDump(msgspec.Struct):
    """Snapshot of `ActionTable`."""

    rows: list[ActionRow]


class ActionTable(Table):
    """Non-idempotent actions, indexed by workspace and idempotency key."""

    def __init__(self):
        self._rows: dict[tuple[str, str], ActionRow] = {}
        self._counts: dict[str, int] = {}
        self._started_by_owner: dict[tuple[str, int], set[tuple[str, str]]] = {}
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def rows(self) -> list[ActionRow]:
        """All records, the earliest expiry first."""
        return list(self._rows.values())

    def count_by_state(self) -> dict[str, int]:
        """Return the number of records in each state."""
        counts = dict.fromkeys((STARTED, FINISHED, ABANDONED, UNKNOWN), 0)
        for row in self._rows.values():
            counts[row.state] += 1
        return counts

    def begin(
        self, command: BeginAction, request_id: str, now_ms: int
    ) -> ActionRecord | FailureRecord:
        """Record the intent to run an action.

        Returns
        -------
        ActionRecord or FailureRecord
            State of the action; `started_now` is set only if this command started it.
            A failure if the idempotency key belongs to another request or a limit is
            reached.
        """
        row = self._rows.get((command.workspace, command.idempotency_key))
        if row is None:
            return self._insert(command, request_id, now_ms)
        if row.fingerprint != command.fingerprint:
            return refuse(
                "idempotency_conflict",
                "the idempotency key was used for a different request",
            )
        if row.state != ABANDONED or request_id in row.attempts:
            return row.describe()
        if len(row.attempts) >= MAX_ACTION_ATTEMPTS:
            return refuse("too_many_attempts", "the action was abandoned too often")
        row.attempts += (request_id,)
        row.owner = command.owner
        row.owner_boot = command.owner_boot
        self._set_state(row, STARTED)
        return row.describe(started_now=True)

    def finish(self, command: FinishAction) -> ActionRecord | FailureRecord:
        """Record the response, or that the outcome is unknown if the status is 0."""
        row = self._find_owned(command)
        if isinstance(row, FailureRecord):
            return row
        if row.state == FINISHED or (row.state == UNKNOWN and command.status == 0):
            return row.describe(body=False)
        if row.state == ABANDONED:
            return refuse("action_abandoned", "the action was recorded as not run")
        if command.status == 0:
            self._set_state(row, UNKNOWN)
            return row.describe(body=False)
        return self._record_response(row, command)

    def abandon(
        self, command: AbandonAction, request_id: str
    ) -> ActionRecord | FailureRecord:
        """Record that an action certainly did not run."""
        row = self._find_owned(command)
        if isinstance(row, FailureRecord):
            return row
        if row.state in (ABANDONED, FINISHED) or request_id in row.attempts:
            return row.describe(body=False)
        row.attempts += (request_id,)
        self._set_state(row, ABANDONED)
        return row.describe()

    def mark_unknown(self, instance: str, boot: int) -> int:
        """Mark the started actions of an expired process as unknown.

        Returns
        -------
        int
            Number of marked actions.
        """
        keys = sorted(self._started_by_owner.get((instance, boot), ()))
        for key in keys:
            self._set_state(self._rows[key], UNKNOWN)
        return len(keys)

    def started_owners(self) -> list[tuple[str, int]]:
        """Return instance and boot number of the owners of started actions."""
        return sorted(self._started_by_owner)

    def expire(self, now_ms: int) -> None:
        """Remove records whose retention time has passed.

        Records are stored in the order of their expiry. A started action is kept
        longer, until its outcome is known.
        """
        while self._rows:
            key, row = next(iter(self._rows.items()))
            if row.expires_ms > now_ms:
                return
            if row.state == STARTED:
                self._extend_retention(key, row, now_ms)
            else:
                self._remove(key, row)

    def dump(self) -> ActionsDump:
        """Return the snapshot."""
        return ActionsDump(self.rows)

    def load(self, dumped: ActionsDump) -> None:
        """Restore a snapshot."""
        self.__init__()
        for row in dumped.rows:
            self._add(row)

    def _insert(
        self, command: BeginAction, request_id: str, now_ms: int
    ) -> ActionRecord | FailureRecord:
        if self._counts.get(command.workspace, 0) >= MAX_ACTIONS_PER_WORKSPACE:
            return refuse("table_full", "the workspace has too many actions", 503)
        if len(self._rows) >= MAX_ACTIONS:
            return refuse("table_full", f"there are {MAX_ACTIONS} actions", 503)
        row = ActionRow(
            command.workspace,
            command.idempotency_key,
            command.fingerprint,
            command.service,
            command.owner,
            command.owner_boot,
            STARTED,
            now_ms + ACTION_RETENTION_MS,
            (request_id,),
        )
        self._add(row)
        return row.describe(started_now=True)

    def _find_owned(
        self, command: FinishAction | AbandonAction
    ) -> ActionRow | FailureRecord:
        row = self._rows.get((command.workspace, command.idempotency_key))
        if row is None:
            return refuse("unknown_action", "no record of the action", 404)
        if (row.owner, row.owner_boot) != (command.owner, command.owner_boot):
            return refuse("not_owner", "another process owns the action")
        return row

    def _record_response(self, row: ActionRow, command: FinishAction) -> ActionRecord:
        """Record the final response; a body over the size limits is omitted."""
        self._set_state(row, FINISHED)
        row.attempts = ()
        row.status = command.status
        row.content_type = command.content_type
        size = len(command.body)
        fits_total = self._body_bytes + size <= MAX_ACTION_BODIES_BYTES
        if size <= MAX_ACTION_BODY_BYTES and fits_total:
            row.body = command.body
            self._body_bytes += size
        return row.describe(body=False)

    def _set_state(self, row: ActionRow, state: str) -> None:
        key = (row.workspace, row.idempotency_key)
        owner = (row.owner, row.owner_boot)
        row.state = state
        if state == STARTED:
            self._started_by_owner.setdefault(owner, set()).add(key)
            return
        started = self._started_by_owner.get(owner, set())
        started.discard(key)
        if not started:
            self._started_by_owner.pop(owner, None)

    def _add(self, row: ActionRow) -> None:
        row.workspace = intern(row.workspace)
        row.service = intern(row.service)
        row.owner = intern(row.owner)
        self._rows[(row.workspace, row.idempotency_key)] = row
        self._counts[row.workspace] = self._counts.get(row.workspace, 0) + 1
        self._body_bytes += len(row.body)
        self._set_state(row, row.state)

    def _remove(self, key: tuple[str, str], row: ActionRow) -> None:
        del self._rows[key]
        self._body_bytes -= len(row.body)
        self._counts[row.workspace] -= 1
        if not self._counts[row.workspace]:
            del self._counts[row.workspace]

    def _extend_retention(
        self, key: tuple[str, str], row: ActionRow, now_ms: int
    ) -> None:
        row.expires_ms = now_ms + ACTION_RETENTION_MS
        del self._rows[key]
        self._rows[key] = row
