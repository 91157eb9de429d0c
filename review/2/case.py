"""SIGHUP with shorter deadlines, then SIGTERM: are the requests taken before still answered?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins  # noqa: E402
from stand_ins import Backend, CaseNotRunError, Clients, Discovery, Platform, Record  # noqa: E402

USUAL_WORK_S = 0.4  # the page: 280 to 490 ms
COSTLY_WORK_S = 4.9  # 12.25 times the usual work; the page: 5.1 to 30 times
USUAL_REQUESTS = 78
COSTLY_REQUESTS = 2  # 2 of 80 are 2.5% of the class; the page: 0.66 to 2.7%
REQUESTS_PER_S = 16
COSTLY = b"costly"
STATUS = stand_ins.request_class("seat-status", "pure", 1500, 4000)
CHECKOUT = stand_ins.request_class("seat-checkout", "side_effect", 3000, 12000)
NEW_DEADLINE = {"HardLimit": 2_000_000, "Aim": 1_500_000}
RELOAD_AFTER_S = 0.5  # after the costly requests were sent
TERM_AFTER_S = 1.5
# SIGKILL comes no sooner than the longest deadline (counted as 3 s) and 0.7 s more after SIGTERM.
KILL_AFTER_TERM_S = 3.75


async def work(_: Backend, command: list[bytes]) -> bytes | None:
    """Serve a request: nearly all take the usual time."""
    await asyncio.sleep(COSTLY_WORK_S if command[4:] == [COSTLY] else USUAL_WORK_S)
    return b"done %b" % command[2]


async def case(record: Record, platform: Platform) -> int:
    """Send some costly requests, then a new configuration, then SIGTERM."""
    backends = [Backend(f"s-{number}", "hall-a", record, work) for number in range(4)]
    for backend in backends:
        await backend.open()
    discovery = Discovery([backend.target() for backend in backends])
    port = stand_ins.free_ports(1)[0]
    config = {
        "name": "n0",
        "listen": f"{stand_ins.LOOPBACK}:{port}",
        "discovery": await discovery.open(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known,
        "settings": stand_ins.settings([STATUS, CHECKOUT]),
    }
    environ = {"NODE_CONFIG": str(platform.write_config("config.json", config))}
    ingress = await platform.start("ingress", environ)
    address = (stand_ins.LOOPBACK, port)
    await stand_ins.wait_until(lambda: stand_ins.ping(address), 15, "the ingress is not ready")

    clients = Clients(address, record)
    terms = "c=seat-checkout,t=mittel"
    tasks = []
    for _ in range(USUAL_REQUESTS):
        tasks.append(asyncio.create_task(clients.ask("API.WRITE", terms, 12000, "usual")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    costly_tasks = [
        asyncio.create_task(clients.ask("API.WRITE", terms, 12000, COSTLY.decode()))
        for _ in range(COSTLY_REQUESTS)
    ]
    await asyncio.sleep(RELOAD_AFTER_S)
    if stand_ins.TROUBLE:
        config["settings"] = stand_ins.settings([STATUS | NEW_DEADLINE, CHECKOUT | NEW_DEADLINE])
        platform.write_config("config.json", config)
        platform.signal("ingress", ingress, signal.SIGHUP)
    await asyncio.sleep(TERM_AFTER_S - RELOAD_AFTER_S)
    platform.signal("ingress", ingress, signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_TERM_S)
    killed_at = time.monotonic()
    platform.signal("ingress", ingress, signal.SIGKILL)
    record.add(f"exit code of the ingress, if it had ended before: {ingress.returncode}")
    costly = await asyncio.gather(*costly_tasks)
    await asyncio.gather(*tasks)

    runs = {run.request for backend in backends for run in backend.runs}
    forwarded = [answer for answer in costly if answer.request in runs]
    usual_served = sum(answer.kind == "served" for answer in clients.answers)
    if not forwarded or usual_served < USUAL_REQUESTS / 2:
        raise CaseNotRunError("too little was served, or no costly request was sent on")
    # What SIGKILL finds unanswered is not lost here; what the ingress closed before it is.
    lost = [
        answer
        for answer in forwarded
        if answer.kind not in ("served", "refused", "failed") and answer.ended_at < killed_at
    ]
    record.add(f"{len(lost)} of {len(forwarded)} costly requests lost before SIGKILL")
    return stand_ins.BROKEN if lost else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.main(HERE, case)
