"""Releases on the platform's list and streams of several releases, on the leader."""

from collections.abc import Iterable

from papayacrank.kernel import Send, log_event
from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    FindRelease,
    RecordStreams,
    ReleaseFound,
    RequestKind,
    RoutingConfiguration,
    StreamsBegun,
)
from papayacrank.state import ReleaseTable

from ._events import RELEASE_ENDED, RELEASE_LISTED, RELEASE_NOT_FOUND
from ._target_protocol import ListedTarget

# Streams that begin within this time are one entry of the log.
BATCH_INTERVAL_MS = 50
MAX_BATCH = 1_000
MAX_QUEUED = 20_000
# A change that is not applied after this time is proposed again.
PROPOSAL_TIMEOUT_MS = 1_000
# A stream may be taken up for this multiple of the longest timeout of a route, since
# the caller's own time may begin later, and for some time in which messages are late.
TAKE_UP_TIMEOUTS = 2
TAKE_UP_MARGIN_MS = 10_000


class ReleaseMonitor:
    """Finds out which releases may have begun streams, and records streams.

    Targets of a release are shown to entry processes only after the log has the
    release, so that no stream is begun by a release that a new leader does not know.
    A release ends once it has been off the list for as long as streams may be taken up.

    Parameters
    ----------
    table : ReleaseTable
        Replicated releases and streams; only read.
    """

    def __init__(self, table: ReleaseTable):
        self._table = table
        self._term = 0
        self._listed: set[tuple[str, str]] = set()
        self._missing_since_ms: dict[tuple[str, str], int] = {}
        self._proposed_ms: dict[tuple[str, str], int] = {}
        self._queued: dict[str, BegunStream] = {}
        self._next_batch_ms = 0

    @property
    def mixed(self) -> list[str]:
        """Services of which several releases may have begun streams."""
        return self._table.list_mixed()

    def reset(self, term: int) -> None:
        """Discard what is not in the log after an election."""
        self._term = term
        self._listed.clear()
        self._missing_since_ms.clear()
        self._proposed_ms.clear()
        self._queued.clear()
        self._next_batch_ms = 0

    def is_usable(self, target: ListedTarget) -> bool:
        """Whether requests may be sent to a target."""
        return self._table.is_possible(target.service, target.release)

    def observe(self, targets: Iterable[ListedTarget], now_ms: int) -> None:
        """Apply the platform's list, once it was read completely."""
        self._listed = {(target.service, target.release) for target in targets}
        known = {
            (service, release)
            for service, releases in self._table.possible.items()
            for release in releases
        }
        missing = known - self._listed
        self._missing_since_ms = {
            key: self._missing_since_ms.get(key, now_ms) for key in missing
        }

    def poll(
        self, configuration: RoutingConfiguration | None, now_ms: int
    ) -> list[ChangeReleases | RecordStreams]:
        """Return the commands that are due."""
        kept_ms = _take_up_ms(configuration)
        commands: list[ChangeReleases | RecordStreams] = []
        for service, release in sorted(self._listed):
            is_known = self._table.is_possible(service, release)
            if not is_known and self._may_propose((service, release), now_ms):
                log_event(RELEASE_LISTED, service=service, release=release)
                commands.append(ChangeReleases(service, added=[release]))
        for key, since_ms in self._missing_since_ms.items():
            is_over = kept_ms is not None and now_ms - since_ms >= kept_ms
            if (
                is_over
                and self._table.is_possible(*key)
                and self._may_propose(key, now_ms)
            ):
                service, release = key
                log_event(RELEASE_ENDED, service=service, release=release)
                commands.append(ChangeReleases(service, ended=[release]))
        if self._queued and kept_ms is not None and now_ms >= self._next_batch_ms:
            self._next_batch_ms = now_ms + BATCH_INTERVAL_MS
            names = list(self._queued)[:MAX_BATCH]
            streams = [self._queued.pop(name) for name in names]
            commands.append(RecordStreams(streams, kept_ms))
        return commands

    def return_streams(self, command: RecordStreams) -> None:
        """Handle streams whose record the log has rejected; they are due again."""
        for begun in command.streams:
            self._queue(begun)

    def _may_propose(self, key: tuple[str, str], now_ms: int) -> bool:
        proposed_ms = self._proposed_ms.get(key)
        if proposed_ms is not None and now_ms - proposed_ms < PROPOSAL_TIMEOUT_MS:
            return False
        self._proposed_ms[key] = now_ms
        return True

    def receive(self, sender: str, message: StreamsBegun | FindRelease) -> list[Send]:
        """Handle a message of an entry process and return the reply to it."""
        if isinstance(message, StreamsBegun):
            free = MAX_QUEUED - len(self._queued)
            for begun in message.streams[: max(0, free)]:
                self._queue(begun)
            return []
        service, release = self._find(message)
        if not release:
            log_event(
                RELEASE_NOT_FOUND,
                instance=message.instance,
                service=message.service,
                stream=message.stream,
                releases=list(self._table.possible.get(message.service, ())),
            )
        found = ReleaseFound(self._term, message.number, release, service)
        return [Send(sender, found)]

    def _queue(self, begun: BegunStream) -> None:
        queued = self._queued.get(begun.stream)
        if queued is not None and queued != begun:
            # The caller has used the id of the request twice.
            begun = BegunStream(begun.stream, begun.service, "")
        self._queued[begun.stream] = begun

    def _find(self, question: FindRelease) -> tuple[str, str]:
        """Return the service and the release that began a stream, empty if unknown.

        A report that waits for the log counts, unless the log contradicts it.
        """
        services = {question.service, *question.services}
        recorded = self._table.find_in_services(
            question.stream, question.service, services
        )
        queued = self._queued.get(question.stream)
        if queued is None or services.isdisjoint(self.mixed):
            return recorded
        reported = (queued.service, queued.release)
        is_recorded = self._table.has_stream(question.stream)
        if queued.service not in services or (is_recorded and recorded != reported):
            return question.service, ""
        return reported


def _take_up_ms(configuration: RoutingConfiguration | None) -> int | None:
    """Return for how long streams may be taken up; None if that is not known."""
    if configuration is None:
        return None
    timeouts_ms = (
        route.timeout_ms
        for route in configuration.routes
        if route.kind is RequestKind.STREAM
    )
    return TAKE_UP_TIMEOUTS * max(timeouts_ms, default=0) + TAKE_UP_MARGIN_MS
