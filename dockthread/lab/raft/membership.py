"""Faults that change the set of voters: lost disks, and voters that are added or removed.

They respect the failure assumptions of Raft: a disk is lost only if a majority remains of every set
of voters that is the latest in some member's log.
"""

from __future__ import annotations

from typing import Final

from dockthread.lab.raft.cluster import SimulatedCluster, SimulatedMember
from dockthread.raft.actions import PersistentState
from dockthread.raft.core import RaftCore
from dockthread.raft.log import RaftLog
from dockthread.raft.messages import EntryKind

# Bounds of the delay between the loss of a disk and the start of the replacing member.
RESTART_DELAY_RANGE_MS: Final = (10, 500)
# Delay between the loss of a disk and the first attempt of an operator to replace the voter.
REPLACEMENT_DELAY_MS: Final = 600.0
REPLACEMENT_RETRY_INTERVAL_MS: Final = 400.0
MIN_VOTERS: Final = 2  # a removal never leaves fewer voters than this
REMOVAL_THRESHOLD: Final = 3  # with more voters than this, a change always removes a voter


class MembershipFaults:
    """Injects lost disks and changes of the voters into a simulated cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster

    def lose_disk(self) -> None:
        """Erase the disk of a random member, and start a new member that replaces it.

        The new member has no vote until a majority has added it.
        """
        cluster = self._cluster
        member = cluster.random_running_member()
        if member is None or not self._may_lose_disk(member.name):
            return
        cluster.kill_member(member)
        if cluster.seeded_defect == "same-name-without-memory":
            member.disk = PersistentState()
            delay = cluster.rng.uniform(*RESTART_DELAY_RANGE_MS)
            cluster.schedule(delay, cluster.start_member, member)
            return
        member.is_removed = True
        replacement = SimulatedMember(f"{member.name.split('.')[0]}.{len(cluster.members)}")
        cluster.members[replacement.name] = replacement
        cluster.schedule(
            cluster.rng.uniform(*RESTART_DELAY_RANGE_MS), cluster.start_member, replacement
        )
        cluster.schedule(REPLACEMENT_DELAY_MS, self._replace_voter, member.name, replacement.name)

    def change_voters(self) -> None:
        """Let each leader remove a random voter or add a running member as a voter."""
        cluster = self._cluster
        for member, core in cluster.running_leaders():
            voters = set(core.voters)
            if any(cluster.members[name].is_removed for name in voters):
                continue  # a voter that lost its disk must be replaced first
            candidates = [
                other.name
                for other in cluster.members.values()
                if other.core is not None and other.name not in voters
            ]
            is_removal = len(voters) > REMOVAL_THRESHOLD or (
                len(voters) > MIN_VOTERS and not candidates
            )
            changed_names = (
                {cluster.rng.choice(sorted(voters))} if is_removal else set(candidates[:1])
            )
            if cluster.seeded_defect == "many-changes-at-once":
                changed_names = set(cluster.rng.sample(sorted(cluster.members), 2))
            if voters ^ changed_names:
                self._propose_voters(member, core, voters ^ changed_names)

    def _may_lose_disk(self, name: str) -> bool:
        """Return whether a member may lose its disk.

        The latest set of voters in every log must keep a majority without this member, and must not
        contain a member that has already lost its disk.
        """
        members = self._cluster.members.values()
        remaining = [member for member in members if not member.is_removed]
        logs = [
            member.core.log if member.core else RaftLog(member.disk, ()) for member in remaining
        ]
        voter_sets = {log.voters_at(log.last_index) for log in logs}
        remaining_names = {member.name for member in remaining} - {name}
        removed_names = {member.name for member in members if member.is_removed}
        return all(
            2 * len(remaining_names & set(voters)) > len(voters) and not removed_names & set(voters)
            for voters in voter_sets
            if voters
        )

    def _replace_voter(self, old_voter: str, new_voter: str) -> None:
        """Ask every leader to add the new voter and then remove the old one; retry until done."""
        cluster = self._cluster
        voters = cluster.newest_voters()
        if new_voter in voters and old_voter not in voters:
            return
        cluster.schedule(REPLACEMENT_RETRY_INTERVAL_MS, self._replace_voter, old_voter, new_voter)
        for member, core in cluster.running_leaders():
            core.learners.add(new_voter)
            current_voters = set(core.voters)
            next_voters = (
                current_voters - {old_voter}
                if new_voter in current_voters
                else current_voters | {new_voter}
            )
            self._propose_voters(member, core, next_voters)

    def _propose_voters(self, member: SimulatedMember, core: RaftCore, voters: set[str]) -> None:
        data = " ".join(sorted(voters)).encode()
        _, actions = core.propose(self._cluster.now, data, EntryKind.VOTERS)
        self._cluster.carry_out(member, actions)
