"""The Raft protocol of one member without I/O: elections, log, reads and membership changes.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
Ongaro's dissertation (2014). The caller passes in the time and the messages; each call returns the
actions that the caller has to carry out in the returned order.

Time is divided into terms. A term has at most one leader, because each voter grants one vote per
term and a candidate needs a majority. The leader appends entries and replicates them. An entry of
the leader's own term is committed, together with all entries before it, once a majority holds it;
an entry of an older term is never committed by counting copies alone (section 5.4.2). A voter votes
only for a candidate whose log is at least as up to date as its own, so a leader holds every
committed entry (section 5.4.1). Members reject messages from a leader of an older term.

The new role after each event:

| role | message from the leader | election timeout | majority responds | later term seen |
| --- | --- | --- | --- | --- |
| follower | follower | pre-candidate | - | follower in it |
| pre-candidate | follower | pre-candidate again | candidate in the next term | follower in it |
| candidate | follower | pre-candidate | leader, appends a no-op | follower in it |
| leader | impossible in its term | follower unless a majority responds | leader | follower in it |

A partitioned member does not increase the term while it is a pre-candidate, and a voter that
recently heard from a leader does not vote, so a member that reconnects does not depose the leader
(pre-vote, dissertation section 9.6). A leader that reaches no majority steps down within its
election timeout (check-quorum, section 6.2). Voters are added or removed one at a time by an entry
that takes effect when it is appended (section 4.1), and only after the leader has committed an
entry of its own term.

A member that lost its disk must not rejoin under its old name, because it could vote twice in a
term. A minority commits nothing. An entry whose proposer got no response may or may not be in the
log.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from dockthread.raft.actions import (
    Action,
    ApplyEntry,
    PersistEntries,
    PersistentState,
    PersistSnapshot,
    RaftTiming,
    ReadIndexReady,
    RestoreSnapshot,
    Role,
    RoleChanged,
    SendMessage,
)
from dockthread.raft.log import RaftLog
from dockthread.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from dockthread.raft.progress import NEVER, Progress, ProgressTracker

MAX_ENTRIES_PER_MESSAGE: Final = 64
# Maximum number of committed entries that a new voter may lack: a voter that is further behind would
# delay commits (dissertation, section 4.2.1).
MAX_NEW_VOTER_LAG: Final = MAX_ENTRIES_PER_MESSAGE


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority has acknowledged a heartbeat round."""

    token: int
    index: int
    heartbeat_round: int


class RaftCore:
    """The state of one member and its transitions.

    The class has more than 20 methods, like etcd's `raft`: each message affects the term, the role
    and the log together, so smaller classes would have to access each other's state. The log and
    the progress of other members are separate classes because they are independent of the role.

    Attributes:
        member_id: this member's name.
        now: time of the last call in ms.
        term: the current term.
        voted_for: the candidate that received this member's vote in the term; empty for none.
        log: the snapshot and the entries after it.
        commit_index: index of the last entry that is known to be committed.
        applied_index: index of the last entry that was returned to be applied.
        role: this member's role in the current term.
        leader_id: name of the leader; empty if unknown.
        learners: non-voting members to which a leader replicates the log.
    """

    def __init__(  # noqa: PLR0913  all arguments are required
        self,
        member_id: str,
        voters: Iterable[str],
        stored: PersistentState,
        timing: RaftTiming,
        rng: random.Random,
        now: float,
    ) -> None:
        """Start as a follower.

        Args:
            member_id: this member's name; a member that is not a voter never campaigns.
            voters: the initial voters; ignored if `stored` has voters.
            stored: the state read from disk.
            timing: election timeout and heartbeat interval.
            rng: source of the random part of election timeouts.
            now: the current time in ms.
        """
        self.member_id = member_id
        self.now = now
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = RaftLog(stored, voters)
        self.commit_index = self.log.snapshot_index
        self.applied_index = self.log.snapshot_index
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.learners: set[str] = set()
        self._timing = timing
        self._rng = rng
        self._actions: list[Action] = []
        self._votes: set[str] = set()  # voters that granted their vote to this candidate
        self._progress = ProgressTracker()
        self._heartbeat_round = 0
        self._pending_reads: deque[PendingRead] = deque()
        self._last_leader_contact = NEVER
        self._transfer_until = (
            NEVER  # time in ms until which a leadership transfer blocks proposals
        )
        self._reset_election_timer()

    # Queries

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters after the last membership change in the log."""
        return self.log.voters_at(self.log.last_index)

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` must be called next."""
        return self._heartbeat_due if self.role is Role.LEADER else self._election_due

    def has_quorum(self, members: Iterable[str]) -> bool:
        """Return whether these members are a majority of the voters."""
        voters = self.voters
        return 2 * len(set(members) & set(voters)) > len(voters)

    def responded_within(self, window_ms: float) -> set[str]:
        """Return the members that responded to this leader in the last `window_ms`.

        The set is empty if this member is not the leader.
        """
        if self.role is not Role.LEADER:
            return set()
        return self._progress.responded_within(window_ms, self.now)

    def has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed."""
        return self.log.term_at(self.commit_index) == self.term

    # Events: each method returns the resulting actions

    def tick(self, now: float) -> list[Action]:
        """Send heartbeats, step down or campaign if the deadline has passed."""
        self.now = now
        if self.role is Role.LEADER:
            if now >= self._heartbeat_due:
                self._check_quorum()
        elif now >= self._election_due:
            self._reset_election_timer()
            if self.member_id in self.voters:
                self._campaign(pre_vote=True)
        return self._take_actions()

    def propose(
        self, now: float, data: bytes, kind: int = EntryKind.COMMAND
    ) -> tuple[int | None, list[Action]]:
        """Append an entry, and return its index and the actions.

        The index is None if this member is not the leader, is transferring leadership, or must not
        make this change of voters now.
        """
        self.now = now
        is_allowed = kind != EntryKind.VOTERS or self._may_change_voters(
            tuple(data.decode().split())
        )
        if self.role is not Role.LEADER or now < self._transfer_until or not is_allowed:
            return None, self._take_actions()
        self._append_entries((Entry(self.term, kind, data),))
        self._replicate()
        self._advance_commit()
        return self.log.last_index, self._take_actions()

    def read_index(self, now: float, token: int) -> tuple[bool, list[Action]]:
        """Start a linearizable read, which `ReadIndexReady` completes (dissertation, section 6.4).

        Returns:
            Whether the read was accepted, and the actions. It is rejected if this member is not the
            leader or has not committed an entry of its term yet.
        """
        self.now = now
        if self.role is not Role.LEADER or not self.has_committed_in_term():
            return False, self._take_actions()
        self._send_heartbeats()
        self._pending_reads.append(PendingRead(token, self.commit_index, self._heartbeat_round))
        self._complete_reads()
        return True, self._take_actions()

    def transfer_leadership(self, now: float) -> list[Action]:
        """Ask the voter with the longest matching log to campaign.

        Among equals, the voter that responded last is asked.
        """
        self.now = now
        peers = [voter for voter in self.voters if voter != self.member_id]
        if self.role is Role.LEADER and peers:
            target = max(
                peers,
                key=lambda peer: (
                    self._progress.match_index(peer),
                    self._progress.last_response_at(peer),
                ),
            )
            self._transfer_until = now + self._timing.election_timeout_ms
            self._send_entries(target)
            self._send(target, TimeoutNow(self.term, self.member_id))
        return self._take_actions()

    def compact(self, index: int, snapshot: bytes) -> list[Action]:
        """Replace the applied entries up to `index` with a snapshot."""
        if self.log.snapshot_index < index <= self.applied_index:
            term = self.log.term_at(index)
            voters = self.log.voters_at(index)
            self._replace_by_snapshot(index, term, voters, snapshot, discards_log=False)
        return self._take_actions()

    def step(self, now: float, message: Message) -> list[Action]:
        """Handle a message from another member."""
        self.now = now
        if message.term > self.term:
            if self._should_ignore_vote_request(message):
                return self._take_actions()
            if not _is_pre_vote(message):
                is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
                self._become_follower(message.term, message.sender if is_from_leader else "")
        if message.term < self.term and not isinstance(message, AppendEntriesResponse):
            self._reject_old_term(message)
        else:
            self._handle(message)
        return self._take_actions()

    def _handle(self, message: Message) -> None:
        """Handle a message that is not from an older term; drop an older `AppendEntriesResponse`."""
        match message:
            case VoteRequest():
                self._handle_vote_request(message)
            case VoteResponse():
                self._handle_vote_response(message)
            case AppendEntries() | InstallSnapshot() if message.term == self.term:
                self._handle_from_leader(message)
            case AppendEntriesResponse() if message.term == self.term:
                if self.role is Role.LEADER:
                    self._handle_append_response(message)
            case TimeoutNow():
                if self.member_id in self.voters and self.role is not Role.LEADER:
                    self._campaign(pre_vote=False, leadership_transfer=True)

    # Elections

    def _should_ignore_vote_request(self, message: Message) -> bool:
        """Return whether the message is a vote request that arrives while the leader is alive.

        A vote request of a leadership transfer is never ignored.
        """
        if not isinstance(message, VoteRequest) or message.leadership_transfer:
            return False
        since_contact_ms = self.now - self._last_leader_contact
        return self.role is Role.LEADER or since_contact_ms < self._timing.election_timeout_ms

    def _reject_old_term(self, message: Message) -> None:
        """Reject a message from an older term, and reply with the current term."""
        if isinstance(message, VoteRequest):
            response = VoteResponse(self.term, self.member_id, False, message.pre_vote)
            self._send(message.sender, response)
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._respond_to_leader(message, success=False, match_index=0)

    def _campaign(self, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Ask all voters for their votes, either as pre-candidate or as candidate in a new term."""
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader_id = ""
        self._votes = {self.member_id}
        if not pre_vote:
            self.term += 1
            self.voted_for = self.member_id
            self._persist_hard_state()
        self._reset_election_timer()
        self._announce_role()
        request = VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            sender=self.member_id,
            last_index=self.log.last_index,
            last_term=self.log.term_at(self.log.last_index),
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )
        for peer in self.voters:
            if peer != self.member_id:
                self._send(peer, request)
        self._count_votes()

    def _is_log_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date (section 5.4.1)."""
        last_term = self.log.term_at(self.log.last_index)
        return (request.last_term, request.last_index) >= (last_term, self.log.last_index)

    def _handle_vote_request(self, request: VoteRequest) -> None:
        if request.pre_vote:
            self._handle_pre_vote_request(request)
            return
        granted = self.voted_for in ("", request.sender) and self._is_log_up_to_date(request)
        if granted:
            self.voted_for = request.sender
            self._persist_hard_state()
            self._reset_election_timer()
        self._send(request.sender, VoteResponse(self.term, self.member_id, granted))

    def _handle_pre_vote_request(self, request: VoteRequest) -> None:
        granted = (
            request.term > self.term
            and self._is_log_up_to_date(request)
            and not self._should_ignore_vote_request(request)
        )
        term = request.term if granted else self.term
        self._send(request.sender, VoteResponse(term, self.member_id, granted, pre_vote=True))

    def _handle_vote_response(self, response: VoteResponse) -> None:
        expected_role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if response.pre_vote else self.term
        is_current = self.role is expected_role and response.term == expected_term
        if is_current and response.granted:
            self._votes.add(response.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        if not self.has_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        """Become leader and append a no-op, which commits the older entries with it (section 8)."""
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self._pending_reads.clear()
        self._announce_role()
        self._append_entries((Entry(self.term, EntryKind.NO_OP),))
        self._progress.reset(self.voters, self.log.last_index + 1, self.now)
        self._send_heartbeats()
        self._advance_commit()

    def _become_follower(self, term: int, leader_id: str) -> None:
        has_changed = (
            term != self.term or self.role is not Role.FOLLOWER or leader_id != self.leader_id
        )
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist_hard_state()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._pending_reads.clear()
        self._reset_election_timer()
        if has_changed:
            self._announce_role()

    def _check_quorum(self) -> None:
        """Send heartbeats if a majority has responded recently; otherwise step down.

        Without this, a leader in a minority partition would continue after the majority has elected
        another one.
        """
        responding_members = self.responded_within(self._timing.election_timeout_ms)
        if self.has_quorum(responding_members | {self.member_id}):
            self._send_heartbeats()
        else:
            self._become_follower(self.term, "")

    def _reset_election_timer(self) -> None:
        """Restart the election timer with 1 to 2 times the minimum timeout (section 5.2)."""
        timeout = self._timing.election_timeout_ms * self._rng.uniform(1.0, 2.0)
        self._election_due = self.now + timeout
        self._heartbeat_due = self.now

    # Log replication on a follower

    def _handle_from_leader(self, message: AppendEntries | InstallSnapshot) -> None:
        if self.role is not Role.FOLLOWER or self.leader_id != message.sender:
            self._become_follower(message.term, message.sender)
        self._last_leader_contact = self.now
        self._reset_election_timer()
        if isinstance(message, InstallSnapshot):
            success, match_index = self._accept_snapshot(message)
        else:
            success, match_index = self._accept_entries(message)
        self._respond_to_leader(message, success, match_index)

    def _respond_to_leader(
        self, message: AppendEntries | InstallSnapshot, success: bool, match_index: int
    ) -> None:
        response = AppendEntriesResponse(
            self.term, self.member_id, success, match_index, message.heartbeat_round
        )
        self._send(message.sender, response)

    def _accept_entries(self, message: AppendEntries) -> tuple[bool, int]:
        """Append a leader's entries; return success and the match index of the response.

        An entry that conflicts with one in the log replaces it and all entries after it (section
        5.3).
        """
        log = self.log
        previous_index = message.previous_index
        if previous_index > log.last_index:
            return False, log.last_index
        if (
            previous_index >= log.snapshot_index
            and log.term_at(previous_index) != message.previous_term
        ):
            return False, max(log.snapshot_index, previous_index - 1)
        for index, entry in enumerate(message.entries, previous_index + 1):
            if index <= log.snapshot_index:
                continue
            if index > log.last_index or log.term_at(index) != entry.term:
                self._append_entries(message.entries[index - previous_index - 1 :], index)
                break
        match_index = previous_index + len(message.entries)
        self._commit_up_to(min(message.commit_index, match_index))
        return True, match_index

    def _accept_snapshot(self, message: InstallSnapshot) -> tuple[bool, int]:
        """Install a leader's snapshot; return success and the match index of the response."""
        index = message.last_index
        if index <= self.commit_index:
            return True, self.commit_index
        log = self.log
        is_in_log = log.snapshot_index < index <= log.last_index
        matches_log = is_in_log and log.term_at(index) == message.last_term
        self.commit_index = index
        self.applied_index = index
        self._replace_by_snapshot(
            index,
            message.last_term,
            message.voters,
            message.snapshot,
            discards_log=not matches_log,
        )
        self._actions.append(RestoreSnapshot(index, message.snapshot))
        return True, index

    def _replace_by_snapshot(
        self, index: int, term: int, voters: tuple[str, ...], snapshot: bytes, discards_log: bool
    ) -> None:
        self.log.install_snapshot(index, term, voters, snapshot, discards_log)
        self._actions.append(PersistSnapshot(index, term, voters, snapshot, discards_log))

    def _append_entries(self, entries: tuple[Entry, ...], first_index: int = 0) -> None:
        """Replace the log from `first_index` on with entries; 0 means append at the end."""
        first_index = first_index or self.log.last_index + 1
        self.log.truncate_and_append(first_index, entries)
        self._persist(first_index, entries)

    def _persist_hard_state(self) -> None:
        self._persist(self.log.last_index + 1, ())

    def _persist(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        action = PersistEntries(self.term, self.voted_for, first_index, entries, self.commit_index)
        self._actions.append(action)

    def _commit_up_to(self, index: int) -> None:
        """Commit the log up to an index and apply the newly committed entries."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry_at(self.applied_index)
            self._actions.append(ApplyEntry(self.applied_index, entry))
        if self.role is Role.LEADER and self.member_id not in self.voters:
            self._become_follower(self.term, "")

    # Log replication on a leader

    def _handle_append_response(self, response: AppendEntriesResponse) -> None:
        peer = response.sender
        progress = self._progress.get_or_create(peer, next_index=1)
        progress.acknowledge(response.heartbeat_round, self.now)
        if response.success:
            progress.accept(response.match_index)
            self._advance_commit()
        else:
            progress.back_off(response.match_index)
        is_behind = (
            progress.next_index <= self.log.last_index
            or progress.notified_commit < self.commit_index
        )
        if is_behind and progress.in_flight_round is None:
            self._send_entries(peer)
        self._complete_reads()

    def _advance_commit(self) -> None:
        """Commit up to the last entry of this term that a majority holds (section 5.4.2)."""
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                break
            if self.has_quorum(self._progress.members_holding(index) | {self.member_id}):
                self._commit_up_to(index)
                self._replicate()
                break

    def _may_change_voters(self, voters: tuple[str, ...]) -> bool:
        """Return whether the set of voters may change to `voters` now.

        Only one voter may be added or removed at a time, no other change may be pending, the leader
        must have committed an entry of its term, and a new voter must be responsive and nearly up
        to date.
        """
        current_voters = set(self.voters)
        is_single_change = len(set(voters) ^ current_voters) <= 1
        is_pending = any(
            entry.kind == EntryKind.VOTERS for entry in self.log.entries_after(self.commit_index)
        )
        responsive_members = self.responded_within(self._timing.election_timeout_ms)
        min_match_index = self.commit_index - MAX_NEW_VOTER_LAG
        are_new_voters_ready = all(
            voter in responsive_members and self._progress.match_index(voter) >= min_match_index
            for voter in set(voters) - current_voters
        )
        return (
            is_single_change
            and are_new_voters_ready
            and bool(voters)
            and not is_pending
            and self.has_committed_in_term()
        )

    # Sending

    def _peers(self) -> list[str]:
        """Return all other voters and the learners, in a fixed order."""
        members = {*self.voters, *self.learners}
        return [member for member in sorted(members) if member != self.member_id]

    def _send_heartbeats(self) -> None:
        """Start a heartbeat round, which also resends entries that may have been lost."""
        self._heartbeat_round += 1
        self._heartbeat_due = self.now + self._timing.heartbeat_interval_ms
        self._progress.clear_in_flight()
        for peer in self._peers():
            self._send_entries(peer)

    def _replicate(self) -> None:
        """Send new entries to every peer that has none in flight."""
        for peer in self._peers():
            if self._progress_of(peer).in_flight_round is None:
                self._send_entries(peer)

    def _progress_of(self, peer: str) -> Progress:
        return self._progress.get_or_create(peer, next_index=self.log.last_index + 1)

    def _send_entries(self, peer: str) -> None:
        """Send a peer the entries it lacks, a snapshot, or only the commit index."""
        progress = self._progress_of(peer)
        progress.notified_commit = self.commit_index
        log = self.log
        previous = progress.next_index - 1
        if previous < log.snapshot_index:
            self._send_snapshot(peer)
            progress.in_flight_round = self._heartbeat_round
            return
        entries = log.entries_after(previous, MAX_ENTRIES_PER_MESSAGE)
        message = AppendEntries(
            term=self.term,
            sender=self.member_id,
            previous_index=previous,
            previous_term=log.term_at(previous),
            entries=entries,
            commit_index=self.commit_index,
            heartbeat_round=self._heartbeat_round,
        )
        self._send(peer, message)
        if entries:
            progress.in_flight_round = self._heartbeat_round

    def _send_snapshot(self, peer: str) -> None:
        message = InstallSnapshot(
            term=self.term,
            sender=self.member_id,
            last_index=self.log.snapshot_index,
            last_term=self.log.snapshot_term,
            voters=self.log.snapshot_voters,
            snapshot=self.log.snapshot,
            heartbeat_round=self._heartbeat_round,
        )
        self._send(peer, message)

    def _complete_reads(self) -> None:
        """Complete, in order, the reads whose heartbeat round a majority has acknowledged."""
        while self._pending_reads:
            read = self._pending_reads[0]
            confirming_members = self._progress.members_acknowledging(read.heartbeat_round)
            if not self.has_quorum(confirming_members | {self.member_id}):
                return
            self._pending_reads.popleft()
            self._actions.append(ReadIndexReady(read.token, read.index))

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(SendMessage(to, message))

    def _announce_role(self) -> None:
        self._actions.append(RoleChanged(self.role, self.term, self.leader_id))

    def _take_actions(self) -> list[Action]:
        actions = self._actions
        self._actions = []
        return actions


def _is_pre_vote(message: Message) -> bool:
    """Return whether the message is a pre-vote, whose term must not be adopted.

    No member is in that term yet. A rejected pre-vote carries the voter's own term, which is
    adopted.
    """
    if isinstance(message, VoteRequest):
        return message.pre_vote
    return isinstance(message, VoteResponse) and message.pre_vote and message.granted
