"""A cluster of real processes under faults: concurrent grants never exceed the limit."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from dockthread.lab.maintenance.process_cluster import ProcessCluster
from tests.maintenance.cluster_scenarios import (
    all_have_drained,
    call_maintenance,
    every_member_knows_a_leader,
    is_granted,
    is_unavailable_at,
    no_backend_drained,
    run_scenario,
    wait_until,
)


def test_a_grant_survives_a_crash_of_the_leader_and_of_all_members(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        await wait_until(lambda: is_granted(cluster, leader, "s-0"))
        cluster.kill(leader)  # immediately after it has reported the grant
        other_members = [name for name in cluster.names if name != leader]
        await wait_until(lambda: cluster.leader(other_members))
        await wait_until(lambda: all_have_drained(cluster, "s-0", other_members))
        for name in other_members:
            cluster.kill(name)
        for name in cluster.names:
            cluster.start(name)
        await wait_until(lambda: all_have_drained(cluster, "s-0", cluster.names))

    run_scenario(tmp_path, scenario)


def test_a_minority_grants_nothing_and_adopts_the_committed_grants_once_healed(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        other_members = [name for name in cluster.names if name != leader]
        cluster.cut({leader})
        status, _ = await call_maintenance(cluster, leader, "s-0")
        assert status == 503, "a partitioned leader reaches no majority"
        new_leader = await wait_until(lambda: cluster.leader(other_members))
        await wait_until(lambda: is_granted(cluster, new_leader, "s-1"))
        await wait_until(lambda: all_have_drained(cluster, "s-1", other_members))
        assert await cluster.drained_targets(leader) == set()
        cluster.heal()
        await wait_until(lambda: all_have_drained(cluster, "s-1", cluster.names))

    run_scenario(tmp_path, scenario)


def test_the_majority_of_five_grants_while_two_are_partitioned_and_the_partition_moves(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        minority = {leader, next(name for name in cluster.names if name != leader)}
        majority = [name for name in cluster.names if name not in minority]
        cluster.cut(minority)
        new_leader = await wait_until(lambda: cluster.leader(majority))
        await wait_until(lambda: is_granted(cluster, new_leader, "s-0"))
        assert {
            status
            for status, _ in await asyncio.gather(
                *(call_maintenance(cluster, name, "s-1") for name in minority)
            )
        } == {503}
        cluster.heal()
        await wait_until(lambda: all_have_drained(cluster, "s-0", cluster.names))
        minority = {new_leader, majority[0] if new_leader != majority[0] else majority[1]}
        majority = [name for name in cluster.names if name not in minority]
        cluster.cut(minority)
        new_leader = await wait_until(lambda: cluster.leader(majority))
        assert (await call_maintenance(cluster, new_leader, "s-0", "done"))[0] == 200
        await wait_until(lambda: no_backend_drained(cluster, majority, except_backend="s-1"))
        cluster.heal()
        await wait_until(lambda: no_backend_drained(cluster, cluster.names, except_backend="s-1"))

    run_scenario(tmp_path, scenario, size=5)


def test_a_leader_whose_messages_are_lost_is_replaced_and_slow_links_only_delay(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        other_members = [name for name in cluster.names if name != leader]
        cluster.cut({leader}, both=False)  # only messages from the leader are dropped
        new_leader = await wait_until(lambda: cluster.leader(other_members))
        await wait_until(lambda: is_granted(cluster, new_leader, "s-0"))
        cluster.heal()
        cluster.delay(200.0)
        await wait_until(lambda: all_have_drained(cluster, "s-0", cluster.names))

    run_scenario(tmp_path, scenario)


def test_an_ingress_in_a_crash_loop_does_not_block_the_others(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        crashing_member = next(name for name in cluster.names if name != leader)
        other_members = [name for name in cluster.names if name != crashing_member]
        for round_number in range(4):
            cluster.kill(crashing_member)
            backend = f"s-{round_number}"
            assert await wait_until(
                lambda backend=backend: is_granted(  # type: ignore[misc]
                    cluster, other_members[0], backend
                )
            )
            cluster.start(crashing_member)
            await wait_until(
                lambda backend=backend: all_have_drained(  # type: ignore[misc]
                    cluster, backend, other_members
                )
            )
            assert (await call_maintenance(cluster, other_members[1], backend, "done"))[0] == 200
        await wait_until(lambda: no_backend_drained(cluster, cluster.names))

    run_scenario(tmp_path, scenario)


def test_a_paused_leader_grants_nothing_when_it_resumes(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        other_members = [name for name in cluster.names if name != leader]
        cluster.signal(leader, signal.SIGSTOP)
        # The paused leader reads this call only after SIGCONT, when another leader is elected.
        call = asyncio.create_task(call_maintenance(cluster, leader, "s-0"))
        new_leader = await wait_until(lambda: cluster.leader(other_members))
        await wait_until(lambda: is_granted(cluster, new_leader, "s-1"))
        cluster.signal(leader, signal.SIGCONT)
        await call
        await wait_until(lambda: all_have_drained(cluster, "s-1", cluster.names))

    run_scenario(tmp_path, scenario)


async def rejection_text(cluster: ProcessCluster, name: str) -> str:
    status, answer = await cluster.call(name, "GET", "/_fleet")
    return str(answer) if status == 503 else ""


def test_an_ingress_with_a_corrupt_log_serves_but_does_not_join_the_fleet(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        corrupt_member = next(name for name in cluster.names if name != leader)
        cluster.kill(corrupt_member)
        path = cluster.folder / corrupt_member / "log" / "log"
        data = bytearray(path.read_bytes())
        data[24] ^= 0xFF
        path.write_bytes(data)
        cluster.start(corrupt_member)
        answer = await wait_until(lambda: rejection_text(cluster, corrupt_member))
        assert "is corrupt at byte 0" in answer
        assert (await cluster.call(corrupt_member, "GET", "/_ready"))[0] == 200, (
            "an ingress without a log still serves requests"
        )
        leader = await wait_until(cluster.leader)
        await wait_until(lambda: is_granted(cluster, leader, "s-0"))

    run_scenario(tmp_path, scenario)


def test_a_failed_ingress_is_awaited_until_the_failure_timeout_and_drains_once_it_resumes(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await wait_until(lambda: every_member_knows_a_leader(cluster))
        leader = await cluster.leader()
        other_members = [name for name in cluster.names if name != leader]
        cluster.signal(other_members[0], signal.SIGSTOP)
        assert (await call_maintenance(cluster, leader, "s-0"))[0] == 200
        await wait_until(lambda: is_unavailable_at(cluster, "s-0", leader))
        _, answer = await cluster.call(leader, "GET", "/_work")
        assert set(answer["work"][0]["held"]) == {leader, other_members[1]}
        cluster.signal(other_members[0], signal.SIGCONT)
        await wait_until(lambda: all_have_drained(cluster, "s-0", cluster.names))
        assert (await call_maintenance(cluster, other_members[1], "s-0", "done"))[0] == 200
        await wait_until(lambda: no_backend_drained(cluster, cluster.names))

    run_scenario(tmp_path, scenario)
