"""A client reads a long value slowly and sends further requests, while its ingress is restarted."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand_ins_2"))

from platform_stand_ins import (  # noqa: E402
    HOST,
    Ingress,
    Trial,
    VoidTrialError,
    encode,
    play,
    settings,
    split,
)

VALUE_BYTES = 512 * 1024  # Of up to 4 MiB.
RECEIVE_BUFFER_BYTES = 16 * 1024
READ_BYTES = 8 * 1024
READ_PAUSE_S = 0.05  # 160 kB a second, so that the value takes 3.3 s.
TERM_AFTER_S = 0.3
NEXT_REQUEST_S = 0.4
DEADLINE_MS = 4000
WORK_S = 0.05
LIMIT_S = 20.0
LONG_ID = f"{0xC000:016x}"
HEAD = b"$%d\r\n" % VALUE_BYTES
BACKENDS = [(f"{hall}{number}", f"hall-{hall}") for hall in "abc" for number in (1, 2)]


def request(number: int) -> tuple[str, bytes]:
    """Return a request's id and command."""
    wire_id = f"{0xC000 + number:016x}"
    terms = f"c=seat-status,t=mittel,d={DEADLINE_MS},units=1,spread=1,first=0"
    return wire_id, encode("API.READ", f"{number + 1:016x}", wire_id, terms)


async def send_on(sock: socket.socket, trial: Trial) -> None:
    """Send a further request now and then, for as long as the connection stands."""
    loop = asyncio.get_running_loop()
    for number in range(1, 20):
        await asyncio.sleep(NEXT_REQUEST_S)
        wire_id, command = request(number)
        try:
            await loop.sock_sendall(sock, command)
        except OSError as error:
            trial.record.add(f"client  request {wire_id} cannot be sent: {error!r}")
            return
        trial.record.add(f"request {wire_id} is sent")


async def read_slowly(sock: socket.socket, trial: Trial) -> bytes:
    """Read until the long value has come whole, or the connection ends."""
    loop = asyncio.get_running_loop()
    data = b""
    try:
        async with asyncio.timeout(LIMIT_S):
            while len(data) < len(HEAD) + VALUE_BYTES + 2:
                part = await loop.sock_recv(sock, READ_BYTES)
                if not part:
                    trial.record.add(f"client  the connection ended after {len(data)} bytes")
                    break
                data += part
                await asyncio.sleep(READ_PAUSE_S)
    except (OSError, TimeoutError) as error:
        trial.record.add(f"client  after {len(data)} bytes: {error!r}")
    trial.record.add(f"answer  to {LONG_ID}: {data[:30]!r}..., {len(data)} bytes")
    return data


async def ask(ingress: Ingress, trial: Trial) -> bytes:
    """Send all requests on one connection; return what came of the first answer."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        await loop.sock_connect(sock, split(ingress.address))
        await loop.sock_sendall(sock, request(0)[1])
        trial.record.add(f"request {LONG_ID} is sent")
        reading = asyncio.create_task(read_slowly(sock, trial))
        await asyncio.sleep(TERM_AFTER_S)
        if trial.has_trouble:
            assert ingress.process is not None
            ingress.process.send_signal(signal.SIGTERM)
            trial.record.add("SIGTERM")
        sending = asyncio.create_task(send_on(sock, trial))
        data = await reading
        sending.cancel()
    return data


async def scenario(trial: Trial) -> list[str]:
    """Play the case."""
    backends = await trial.backends(BACKENDS, WORK_S)
    for backend in backends:
        backend.value_bytes_by_id[LONG_ID] = VALUE_BYTES
    discovery = await trial.discovery(backends)
    ingress = trial.ingress("n0")
    ingress.configure(settings(1), 0, discovery)
    trial.start(ingress)
    await ingress.wait_until_ready()
    data = await ask(ingress, trial)
    if not data.startswith(HEAD):
        raise VoidTrialError(f"the long value was not begun: {data[:30]!r}")
    whole_bytes = len(HEAD) + VALUE_BYTES + 2
    if len(data) >= whole_bytes:
        return []
    return [f"request {LONG_ID} got {len(data)} of {whole_bytes} bytes of its answer"]


sys.exit(play(CASE, scenario))
