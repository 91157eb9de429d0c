"""A file short of `Group` at SIGHUP: does a keyed request run in one hall alone?"""

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

WORK_S = 0.08
WINDOW_S = 2.5
REQUESTS_PER_S = 16
LOAD_S = 30.0
RELOAD_AT_S = 4.0
RESET_EVERY = 10  # one keyed command of so many has run when its connection is reset
FETCH = stand_ins.request_class("clip-fetch", "pure", 600, 2000)
MARK = {**stand_ins.request_class("clip-mark", "token", 600, 2500), "Group": "zone"}


class Halls:
    """What ran in each hall: a hall's backends drop a repeat of a key for `WINDOW_S`."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._commands = 0
        self.resets = 0
        self._ran_at: dict[tuple[str, str], float] = {}
        self.effects: dict[str, list[str]] = {}  # the backends that ran a key, by key

    async def work(self, backend: Backend, command: list[bytes]) -> bytes | None:
        """Run a command, unless its hall has run its key lately."""
        key = stand_ins.terms_of(command).get("k", "")
        now = time.monotonic()
        if key:
            self._commands += 1
            if now - self._ran_at.get((backend.hall, key), -WINDOW_S) < WINDOW_S:
                self._record.add(f"backend {backend.uid} drops the repeat of k={key}")
            else:
                self._ran_at[backend.hall, key] = now
                self.effects.setdefault(key, []).append(f"{backend.uid} in {backend.hall}")
        is_reset = bool(key) and self._commands % RESET_EVERY == 0
        await asyncio.sleep(WORK_S)
        if is_reset:
            self.resets += 1
            raise stand_ins.ResetUnderRequestError
        return b"done %b" % command[2]


async def case(record: Record, platform: Platform) -> int:
    """Run one ingress over two halls, and send SIGHUP with a file that is short of a key."""
    halls = Halls(record)
    backends = [
        Backend(f"s-{number}", "hall-b" if number % 2 else "hall-a", record, halls.work)
        for number in range(8)
    ]
    for backend in backends:
        await backend.open()
    discovery = Discovery([backend.target() for backend in backends])
    port, management_port = stand_ins.free_ports(2)
    config = {
        "name": "n0",
        "listen": f"{stand_ins.LOOPBACK}:{port}",
        "discovery": await discovery.open(),
        "management": f"{stand_ins.LOOPBACK}:{management_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known,
        "settings": stand_ins.settings([FETCH, MARK]),
    }
    environ = {"NODE_CONFIG": str(platform.write_config("config.json", config))}
    ingress = await platform.start("ingress", environ)
    address = (stand_ins.LOOPBACK, port)
    management = (stand_ins.LOOPBACK, management_port)
    await stand_ins.wait_until(lambda: stand_ins.ping(address), 15, "the ingress is not ready")

    clients = Clients(address, record)
    tasks = []
    for number in range(int(LOAD_S * REQUESTS_PER_S)):
        if stand_ins.TROUBLE and number == int(RELOAD_AT_S * REQUESTS_PER_S):
            mark_without_group = {name: MARK[name] for name in MARK if name != "Group"}
            config["settings"] = stand_ins.settings([FETCH, mark_without_group])
            platform.write_config("config.json", config)
            platform.signal("ingress", ingress, signal.SIGHUP)
        if number % 2:
            request = clients.ask("API.READ", "c=clip-fetch,t=mittel", 2000)
        else:
            terms = f"c=clip-mark,t=mittel,k={0xC0DE0000 + number:016x}"
            request = clients.ask("API.WRITE", terms, 2500, "moment")
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)

    _, figures = await stand_ins.call(management, "GET", "/_vars")
    for line in figures.splitlines():
        if line.startswith("app_config"):
            record.add(f"figure {line}")
    served = sum(answer.kind == "served" for answer in clients.answers)
    record.add(f"{served} of {len(clients.answers)} requests served")
    record.add(f"{halls.resets} connections were reset under a keyed request that had run")
    if ingress.returncode is not None or served < len(clients.answers) / 2 or not halls.resets:
        raise CaseNotRunError("too little was served, or no connection was reset")
    twice = {key: ran for key, ran in halls.effects.items() if len(ran) > 1}
    for key, ran in twice.items():
        record.add(f"k={key} ran {len(ran)} times within its window: {', '.join(ran)}")
    record.add(f"{len(twice)} of {len(halls.effects)} keyed requests ran more than once")
    return stand_ins.BROKEN if twice else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.main(HERE, case)
