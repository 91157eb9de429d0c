"""A new class at SIGHUP, in an ingress that reports to Graphite: does each request get an answer?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins  # noqa: E402
from stand_ins import Backend, CaseNotRunError, Clients, Discovery, Platform, Record  # noqa: E402

WORK_S = 0.05
REQUESTS_PER_S = 20
LOAD_S = 20.0
RELOAD_AT_S = 4.0
# The page: classes appear, and are in use after 1.2 s.
IN_USE_AFTER_S = 1.2
STATUS = stand_ins.request_class("seat-status", "pure", 1500, 4000)
CHECKOUT = stand_ins.request_class("seat-checkout", "side_effect", 3000, 12000)
RELEASE = stand_ins.request_class("seat-release", "pure", 1500, 4000)
# Up to half a second after its time an answer only earns nothing; later, or never, it is lost. Time
# limits on sockets are 50 ms longer.
LATE_S = 0.5 + 0.05


async def work(backend: Backend, command: list[bytes]) -> bytes | None:
    """Serve a request."""
    await asyncio.sleep(WORK_S)
    return b"%b for %b" % (backend.uid.encode(), command[2])


async def receive_graphite(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read what a Graphite receiver is sent."""
    with contextlib.suppress(OSError, asyncio.CancelledError):
        while await reader.read(65536):
            pass
    writer.close()


async def case(record: Record, platform: Platform) -> int:
    """Run one ingress under a light load, and send SIGHUP with a new class in the file."""
    backends = [Backend(f"s-{number}", "hall-a", record, work) for number in range(3)]
    for backend in backends:
        await backend.open()
    discovery = Discovery([backend.target() for backend in backends])
    graphite = await asyncio.start_server(receive_graphite, stand_ins.LOOPBACK, 0)
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
    config_path = platform.write_config("config.json", config)
    operator_file = platform.folder / "dockthread.ini"
    graphite_port = graphite.sockets[0].getsockname()[1]
    operator_file.write_text(
        f"[telemetry]\ninterval = 10s\n\n[graphite main]\naddress = 127.0.0.1:{graphite_port}\n"
    )
    environ = {"NODE_CONFIG": str(config_path), "DOCKTHREAD_CONFIG": str(operator_file)}
    ingress = await platform.start("ingress", environ)
    address = (stand_ins.LOOPBACK, port)
    await stand_ins.wait_until(lambda: stand_ins.ping(address), 15, "the ingress is not ready")

    clients = Clients(address, record)
    tasks = []
    for number in range(int(LOAD_S * REQUESTS_PER_S)):
        at_s = number / REQUESTS_PER_S
        if stand_ins.TROUBLE and number == int(RELOAD_AT_S * REQUESTS_PER_S):
            config["settings"] = stand_ins.settings([STATUS, CHECKOUT, RELEASE])
            platform.write_config("config.json", config)
            platform.signal("ingress", ingress, signal.SIGHUP)
        is_new_in_use = stand_ins.TROUBLE and at_s > RELOAD_AT_S + IN_USE_AFTER_S
        if is_new_in_use and number % 5 == 0:
            request = clients.ask("API.READ", "c=seat-release,t=mittel", 4000)
        elif number % 5 == 1:
            request = clients.ask("API.WRITE", "c=seat-checkout,t=mittel", 12000, "body")
        else:
            request = clients.ask("API.READ", "c=seat-status,t=mittel", 4000)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)

    counts: dict[str, int] = {}
    for answer in clients.answers:
        counts[answer.kind] = counts.get(answer.kind, 0) + 1
    record.add(f"answers: {counts}")
    if ingress.returncode is not None or counts.get("served", 0) < RELOAD_AT_S * REQUESTS_PER_S / 2:
        raise CaseNotRunError("the ingress did not serve before the reload")
    # A client waits for longer than LATE_S, so `none` is later than that, or never.
    assert clients.patience_s > LATE_S
    lost = [answer for answer in clients.answers if answer.kind in ("none", "closed")]
    record.add(f"{len(lost)} of {len(clients.answers)} requests got no final answer")
    errors = [line for line in platform.log_of("ingress").splitlines() if "KeyError" in line]
    record.add(f"{len(errors)} lines of the log name a KeyError, the first: {errors[:1]}")
    return stand_ins.BROKEN if lost else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.main(HERE, case)
