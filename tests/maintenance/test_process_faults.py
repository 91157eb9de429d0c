"""A cluster of real processes under faults: no more grants at once than the limit allows."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from dockthread.lab.maintenance.process_cluster import ProcessCluster
from tests.maintenance.cluster_scenarios import (
    all_have_drained,
    call_work,
    every_member_knows_a_leader,
    is_granted,
    is_unavailable_at,
    none_drained,
    play,
    until,
)


def test_a_grant_survives_the_death_of_its_leader_and_of_all_members(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        await until(lambda: is_granted(cluster, leader, "s-0"))
        cluster.kill(leader)  # immediately after it has reported the grant
        rest = [name for name in cluster.names if name != leader]
        await until(lambda: cluster.leader(rest))
        await until(lambda: all_have_drained(cluster, "s-0", rest))
        for name in rest:
            cluster.kill(name)
        for name in cluster.names:
            cluster.start(name)
        await until(lambda: all_have_drained(cluster, "s-0", cluster.names))

    play(tmp_path, scenario)


def test_a_minority_grants_nothing_and_adopts_what_was_committed_once_healed(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        rest = [name for name in cluster.names if name != leader]
        cluster.cut({leader})
        status, _ = await call_work(cluster, leader, "s-0")
        assert status == 503, "a partitioned leader reaches no majority"
        other = await until(lambda: cluster.leader(rest))
        await until(lambda: is_granted(cluster, other, "s-1"))
        await until(lambda: all_have_drained(cluster, "s-1", rest))
        assert await cluster.drained_targets(leader) == set()
        cluster.heal()
        await until(lambda: all_have_drained(cluster, "s-1", cluster.names))

    play(tmp_path, scenario)


def test_the_majority_grants_when_five_are_cut_three_to_two_and_the_cut_moves(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        few = {leader, next(name for name in cluster.names if name != leader)}
        many = [name for name in cluster.names if name not in few]
        cluster.cut(few)
        other = await until(lambda: cluster.leader(many))
        await until(lambda: is_granted(cluster, other, "s-0"))
        assert {
            status
            for status, _ in await asyncio.gather(
                *(call_work(cluster, name, "s-1") for name in few)
            )
        } == {503}
        cluster.heal()
        await until(lambda: all_have_drained(cluster, "s-0", cluster.names))
        few = {other, many[0] if other != many[0] else many[1]}
        many = [name for name in cluster.names if name not in few]
        cluster.cut(few)
        other = await until(lambda: cluster.leader(many))
        assert (await call_work(cluster, other, "s-0", "done"))[0] == 200
        await until(lambda: none_drained(cluster, many, but="s-1"))
        cluster.heal()
        await until(lambda: none_drained(cluster, cluster.names, but="s-1"))

    play(tmp_path, scenario, size=5)


def test_a_leader_that_reaches_nobody_is_replaced_and_slow_links_only_delay(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        rest = [name for name in cluster.names if name != leader]
        cluster.cut({leader}, both=False)  # only messages from the leader are dropped
        other = await until(lambda: cluster.leader(rest))
        await until(lambda: is_granted(cluster, other, "s-0"))
        cluster.heal()
        cluster.delay(200.0)
        await until(lambda: all_have_drained(cluster, "s-0", cluster.names))

    play(tmp_path, scenario)


def test_an_ingress_in_a_crash_loop_does_not_block_the_others(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        bad = next(name for name in cluster.names if name != leader)
        rest = [name for name in cluster.names if name != bad]
        for turn in range(4):
            cluster.kill(bad)
            uid = f"s-{turn}"
            assert await until(lambda uid=uid: is_granted(cluster, rest[0], uid))  # type: ignore[misc]
            cluster.start(bad)
            await until(lambda uid=uid: all_have_drained(cluster, uid, rest))  # type: ignore[misc]
            assert (await call_work(cluster, rest[1], uid, "done"))[0] == 200
        await until(lambda: none_drained(cluster, cluster.names))

    play(tmp_path, scenario)


def test_a_stopped_leader_grants_nothing_when_it_continues(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        rest = [name for name in cluster.names if name != leader]
        cluster.signal(leader, signal.SIGSTOP)
        # The stopped leader reads this call only after SIGCONT, when it has been replaced.
        asked = asyncio.create_task(call_work(cluster, leader, "s-0"))
        other = await until(lambda: cluster.leader(rest))
        await until(lambda: is_granted(cluster, other, "s-1"))
        cluster.signal(leader, signal.SIGCONT)
        await asked
        await until(lambda: all_have_drained(cluster, "s-1", cluster.names))

    play(tmp_path, scenario)


async def rejection_of(cluster: ProcessCluster, name: str) -> str:
    status, answer = await cluster.call(name, "GET", "/_fleet")
    return str(answer) if status == 503 else ""


def test_an_ingress_with_a_corrupt_log_serves_and_takes_no_part(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        victim = next(name for name in cluster.names if name != leader)
        cluster.kill(victim)
        path = cluster.folder / victim / "log" / "log"
        data = bytearray(path.read_bytes())
        data[24] ^= 0xFF
        path.write_bytes(data)
        cluster.start(victim)
        answer = await until(lambda: rejection_of(cluster, victim))
        assert "is spoilt at byte 0" in answer
        assert (await cluster.call(victim, "GET", "/_ready"))[0] == 200, (
            "an ingress without a log still serves requests"
        )
        leader = await until(cluster.leader)
        await until(lambda: is_granted(cluster, leader, "s-0"))

    play(tmp_path, scenario)


def test_a_failed_ingress_is_waited_for_until_the_failure_timeout_is_committed(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        rest = [name for name in cluster.names if name != leader]
        cluster.signal(rest[0], signal.SIGSTOP)
        assert (await call_work(cluster, leader, "s-0"))[0] == 200
        await until(lambda: is_unavailable_at(cluster, "s-0", leader))
        _, answer = await cluster.call(leader, "GET", "/_work")
        assert set(answer["work"][0]["held"]) == {leader, rest[1]}
        cluster.signal(rest[0], signal.SIGCONT)
        await until(lambda: all_have_drained(cluster, "s-0", cluster.names))
        assert (await call_work(cluster, rest[1], "s-0", "done"))[0] == 200
        await until(lambda: none_drained(cluster, cluster.names))

    play(tmp_path, scenario)
