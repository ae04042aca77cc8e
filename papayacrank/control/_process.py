"""Component that runs a control process."""

import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from circuits import BaseComponent, Event, handler

from papayacrank.config import ControlSettings
from papayacrank.consensus import (
    CONSENSUS_MESSAGES,
    EmitEvent,
    LogStore,
    LogStoreError,
    MemoryFiles,
    Persist,
    RaftNode,
    RaftSettings,
)
from papayacrank.kernel import (
    CancelTimer,
    LogEvent,
    MonotonicClock,
    Send,
    SetTimer,
    log_event,
)
from papayacrank.messages import CONTROL_MESSAGES, ControlRequest
from papayacrank.state import ENTRY_FORMAT, StateMachine
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    install_process_handlers,
    start_traffic_log,
)

from ._client import RequestFinished
from ._effects import HttpCall
from ._events import HANDING_OVER, LOG_STORE_FAILED, NODE_FAILED
from ._fleet import FleetController
from ._http import HttpCaller
from ._local_client import LocalClient
from ._node import ControlNode, NodeError
from ._writer import LogStoreWriter

MS_PER_SECOND = 1000
LEADERSHIP_TRANSFER_TIMEOUT_MS = 2_000
LEADERSHIP_TRANSFER_POLL_MS = 20
STOP_TIMER = "control.stop"


def read_wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since the epoch, for records only."""
    return int(time.time() * MS_PER_SECOND)


def build_log_store(settings: ControlSettings) -> LogStore:
    """Return the log store, in the data folder or in memory if it is volatile."""
    files = MemoryFiles() if settings.volatile else None
    return LogStore(settings.data_folder, files)


class flush(Event):  # noqa: N801 - circuits events are lower case
    """All received messages are handled; their proposals must be replicated."""


class ControlProcess(BaseComponent):
    """Component that runs a `ControlNode`: passes events to it, executes its effects.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    fleet : FleetController, optional
        Controller of the targets on the platform's list.
    resolve : Callable, optional
        Resolves names of peers to addresses, as in `LinkSettings`.
    """

    channel = "control"

    def __init__(
        self,
        settings: ControlSettings,
        fleet: FleetController | None = None,
        resolve: Callable[[str], str | None] | None = None,
    ):
        super().__init__()
        self._settings = settings
        self._fleet = fleet
        self._resolve = resolve
        self._local_client = LocalClient(settings.instance)
        self._clock = MonotonicClock()
        self._flush_pending = False
        self._failed = False
        self._stop_deadline_ms: int | None = None
        install_process_handlers(self)
        self._timers = Timers(self._clock).register(self)
        self._http = HttpCaller(self._clock, self._timers, self._has_lease)
        self._http.register(self)
        self._store = build_log_store(settings)
        self._writer = LogStoreWriter(self._store).register(self)
        self._node = self._build_node()
        codec = MessageCodec(
            CONTROL_MESSAGES + CONSENSUS_MESSAGES,
            compressed=(*CONSENSUS_MESSAGES, ControlRequest),
        )
        self._link = Link(self._link_settings(), codec).register(self)
        start_traffic_log(self._link, self._clock, self._timers)

    @property
    def node(self) -> ControlNode:
        """Member of the control group that the process runs."""
        return self._node

    @property
    def timers(self) -> Timers:
        """Timers of the process."""
        return self._timers

    @property
    def clock(self) -> MonotonicClock:
        """Clock of the process."""
        return self._clock

    @property
    def failed(self) -> bool:
        """Whether the process is stopping because of a failure."""
        return self._failed

    def submit(self, command: Any, callback: Callable, timeout_ms: int) -> None:
        """Send a command to the leader, which may be this process.

        Parameters
        ----------
        command : Command
            Command of `papayacrank.messages`.
        callback : Callable
            Called with the outcome, an `expression.Result`.
        timeout_ms : int
            Time after which the outcome is reported as unknown.
        """
        now_ms = self._clock.now_ms()
        self._local_client.update_group(self._node.raft.leader, self._node.raft.members)
        for effect in self._local_client.submit(command, callback, timeout_ms, now_ms):
            self._execute(effect)

    def add_peers(self, names: tuple[str, ...]) -> None:
        """Query further processes for the control group."""
        self._run_step(partial(self._node.add_peers, names))

    def _has_lease(self) -> bool:
        return self._node.raft.has_lease(self._clock.now_ms())

    def begin_stop(self) -> None:
        """Stop gracefully, after transferring leadership if this member leads."""
        self._node.stop()
        self._stop_deadline_ms = self._clock.now_ms() + LEADERSHIP_TRANSFER_TIMEOUT_MS
        transfer = getattr(self._node.raft, "transfer_leadership", None)
        if self._node.raft.is_leader and transfer is not None:
            log_event(HANDING_OVER)
            self._run_step(self._node.transfer_leadership)
        self._continue_stop()

    @handler("started", channel="*")
    def _on_started(self, *_):
        self._run_step(self._node.start)

    @handler("received", channel="link")
    def _on_received(self, sender, message):
        if self._local_client.accepts(message):
            self._execute_all(
                self._local_client.receive(sender, message, self._clock.now_ms())
            )
            return
        self._run_step(self._node.receive, sender, message)

    @handler("http_finished", channel="http-caller")
    def _on_http_finished(self, result):
        self._run_step(self._node.http_finished, result)

    @handler("flush")
    def _on_flush(self):
        self._flush_pending = False
        self._run_step(self._node.flush)

    def _execute_all(self, effects: list) -> None:
        for effect in effects:
            self._execute(effect)

    def _tick_local_client(self, name: str) -> None:
        self._local_client.update_group(self._node.raft.leader, self._node.raft.members)
        self._execute_all(self._local_client.tick(name, self._clock.now_ms()))

    def _deliver_to_self(self, message: Any) -> None:
        """Deliver a message that this process sent to itself."""
        if self._local_client.accepts(message):
            now_ms = self._clock.now_ms()
            self._execute_all(
                self._local_client.receive(self._settings.instance, message, now_ms)
            )
        else:
            self._run_step(self._node.receive, self._settings.instance, message)

    def _run_step(self, step: Callable, *arguments: Any) -> None:
        """Run a step of the node and execute its effects."""
        if self._failed:
            return
        try:
            effects = step(*arguments, self._clock.now_ms())
        except NodeError as error:
            self._fail(NODE_FAILED, error)
            raise
        for effect in effects:
            self._execute(effect)
        if self._node.needs_flush and not self._flush_pending:
            self._flush_pending = True
            self.fire(flush(), self.channel)

    def _execute(self, effect: Any) -> None:
        match effect:
            case Send(to, message) if to == self._settings.instance:
                self._deliver_to_self(message)
            case Send(to, message):
                self._link.send(to, message)
            case RequestFinished(request_id, outcome):
                self._local_client.finish(request_id, outcome)
            case SetTimer(name, at_ms) if self._local_client.owns_timer(name):
                self._timers.set(name, at_ms, partial(self._tick_local_client, name))
            case SetTimer(name, at_ms):
                callback = partial(self._run_step, self._node.tick, name)
                self._timers.set(name, at_ms, callback)
            case CancelTimer(name):
                self._timers.cancel(name)
            case Persist(token, records):
                self._persist(token, records)
            case EmitEvent(event, fields):
                log_event(event, **fields)
            case HttpCall():
                self._http.submit(effect)

    @handler("records_written", channel="store-writer")
    def _on_records_written(self, token, error):
        if error is not None:
            self._fail(LOG_STORE_FAILED, error)
        self._run_step(self._node.persisted, token)

    def _persist(self, token: int, records) -> None:
        """Write records: small batches synchronously, snapshots in the background."""
        if self._failed:
            return
        try:
            written = self._writer.write(token, records)
        except LogStoreError as error:
            self._fail(LOG_STORE_FAILED, error)
            return
        if written:
            self._run_step(self._node.persisted, token)

    def _fail(self, event: LogEvent, error: Exception) -> None:
        """Stop the process without acknowledging anything further."""
        self._failed = True
        log_event(event, error=str(error))
        self.root.stop()

    def _continue_stop(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._node.raft.is_leader or now_ms >= self._stop_deadline_ms:
            self.root.stop()
            return
        if getattr(self._node.raft, "transfer_leadership", None) is None:
            self.root.stop()
            return
        next_ms = now_ms + LEADERSHIP_TRANSFER_POLL_MS
        self._timers.set(STOP_TIMER, next_ms, self._continue_stop)

    def _build_node(self) -> ControlNode:
        raft = RaftNode(
            RaftSettings.from_control(self._settings, ENTRY_FORMAT),
            self._store.load(),
            random.Random(),
        )
        return ControlNode(
            self._settings, raft, StateMachine(), read_wall_clock_ms, self._fleet
        )

    def _link_settings(self) -> LinkSettings:
        peers = {peer.name: peer.address for peer in self._settings.peers}
        return LinkSettings(
            self._settings.instance, self._settings.link, peers, self._resolve
        )
