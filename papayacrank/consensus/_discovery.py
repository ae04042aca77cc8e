"""Search for the group by the names that settings, replies and messages give."""

from collections.abc import Iterable

from ._core import NodeCore
from ._events import PEER_DISCOVERED
from ._messages import Membership, StatusQuery, StatusReply

MAX_QUERY_INTERVAL_MS = 1_000
UNKNOWN_GROUP_INTERVAL_MS = 20
MAX_DISCOVERED_PEERS = 32
FORMER_MEMBER_QUERY_DURATION_MS = 60_000
# Age of the last reply that named a leader, after which a volatile process outside the
# group queries all peers that it has found.
LEADER_NAME_MAX_AGE_MS = 3_000


def peers_named_in(reply: StatusReply) -> list[str]:
    """Return the names of the processes that a reply places in the group."""
    members = (member.name for member in reply.membership.members)
    return list(filter(None, (*reply.known_peers, *members, reply.leader)))


class Discovery(NodeCore):
    """Mixin of `RaftNode` that finds the members of the group.

    The names are only names to ask. They may be stale, and nothing but the replies of a
    majority of the voters verifies a folder.
    """

    _is_verified = False
    _is_bootstrapping = False
    _nonce = 0
    _query_sent_ms = 0
    _known_leader = ""
    _leader_named_ms = 0
    _status_replies: dict[str, StatusReply]

    @property
    def _is_recorded_leader(self) -> bool:
        return self._leader == self._settings.name

    @property
    def _is_member(self) -> bool:
        members = self._newest_membership().members
        return any(m.identity == self._identity for m in members)

    @property
    def _peer_names(self) -> list[str]:
        members = (*self._members, *self._newest_membership().members)
        names = {
            *self._settings.peers,
            *self._discovered_peers,
            *(m.name for m in members),
        }
        return sorted(names - {self._settings.name})

    @property
    def _queried_peers(self) -> list[str]:
        """Names of the processes to query.

        A volatile process outside the group that has found the leader queries it and
        those of its settings only, because there can be many such processes.
        """
        named_age_ms = self._now_ms - self._leader_named_ms
        is_outside = self._is_verified and not self._is_member
        is_observer = is_outside and self._settings.volatile
        if not is_observer or named_age_ms >= LEADER_NAME_MAX_AGE_MS:
            return self._peer_names
        names = {*self._settings.peers, self._known_leader}
        return sorted(names - {self._settings.name})

    def _query_former_members(self) -> None:
        """Query removed members for some time, which shows them where the group is.

        A process whose folder was lost may know no other member that it can reach.
        """
        for name, removed_ms in list(self._former_members.items()):
            if self._now_ms - removed_ms > FORMER_MEMBER_QUERY_DURATION_MS:
                del self._former_members[name]
            else:
                self._query(name)

    def _discover_peers(self, names: Iterable[str]) -> None:
        """Query processes that are not in the settings, and remember them."""
        known = {*self._peer_names, self._settings.name}
        for name in names:
            if name in known:
                continue
            if len(self._discovered_peers) >= MAX_DISCOVERED_PEERS:
                del self._discovered_peers[next(iter(self._discovered_peers))]
            known.add(name)
            self._discovered_peers[name] = None
            self._log_event(PEER_DISCOVERED, peer=name)
            self._query(name)

    def _query_all(self) -> None:
        self._query_sent_ms = self._now_ms
        for name in self._queried_peers:
            self._query(name)

    def _query(self, name: str) -> None:
        query = StatusQuery(
            identity=self._identity,
            group=self._group,
            failure_domain=self._settings.failure_domain,
            nonce=self._nonce,
        )
        self._send(name, query)

    def _newest_membership(self) -> Membership:
        known = [reply.membership for reply in self._status_replies.values()]
        return max([self._log.membership, *known], key=lambda m: m.index)

    def _has_group(self, reply: StatusReply) -> bool:
        return bool(reply.group) and bool(reply.membership.members)

    def _learn_leader(self, reply: StatusReply) -> None:
        # Right after a restart, others may still name this process.
        if reply.leader not in ("", self._settings.name) and self._has_group(reply):
            self._known_leader = reply.leader
            self._leader_named_ms = self._now_ms

    def _peers_to_report(self) -> tuple[str, ...]:
        """Return where the group is; a member tells this by its membership."""
        if self._log.membership.members or self._is_bootstrapping:
            return ()
        names = {self._known_leader}
        names.update(m.name for m in self._newest_membership().members)
        return tuple(sorted(filter(None, names)))

    def _forget_silent_leader(self) -> None:
        """Forget a leader that is not heard from, unlike a voter that campaigns.

        A removed member would otherwise ask a former leader to join.
        """
        silent_ms = self._now_ms - self._last_leader_contact_ms
        limit_ms = max(MAX_QUERY_INTERVAL_MS, 2 * self._settings.election_timeout_ms)
        if silent_ms > limit_ms and not self._is_recorded_leader:
            self._leader = ""

    def _on_unknown_group(self, sender: str) -> None:
        """Query the status again soon, because the sender already has a group."""
        self._discover_peers([sender])
        if self._now_ms - self._query_sent_ms >= UNKNOWN_GROUP_INTERVAL_MS:
            self._query_all()
