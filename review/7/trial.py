"""A client sends a batch of requests in two pieces while its ingress is restarted as planned."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand_ins_2"))

from platform_stand_ins import (  # noqa: E402
    Ingress,
    Trial,
    VoidTrialError,
    encode,
    play,
    read_answer,
    settings,
    split,
)

REQUESTS = 24
DEADLINE_MS = 4000
# SIGTERM; the first piece comes while "clients use the connections they have", the rest while the
# ingress drains. The client takes less than the 2 s that a slow one may take for a head.
FIRST_PIECE_S = 0.3
REST_S = 1.0
FIRST_PIECE_BYTES = 60
ANSWER_SLACK_S = 0.5
WORK_S = 0.05
BACKENDS = [(f"{hall}{number}", f"hall-{hall}") for hall in "abc" for number in (1, 2)]


def batch() -> tuple[list[str], bytes]:
    """Return the ids of the requests, and their commands one behind another."""
    ids = [f"{0xA000 + number:016x}" for number in range(REQUESTS)]
    terms = f"c=seat-status,t=mittel,d={DEADLINE_MS},units=1,spread=1,first=0"
    commands = [
        encode("API.READ", f"{number + 1:016x}", wire_id, terms)
        for number, wire_id in enumerate(ids)
    ]
    return ids, b"".join(commands)


async def read_answers(reader: asyncio.StreamReader, trial: Trial) -> list[bytes]:
    """Read answers until there is one for each request, the connection ends, or time is up."""
    answers: list[bytes] = []
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000.0 + ANSWER_SLACK_S):
            while len(answers) < REQUESTS:
                answers.append(await read_answer(reader))
                trial.record.add(f"answer  {answers[-1]!r}")
    except TimeoutError:
        trial.record.add("client  no further answer in time; the connection is open")
    except (OSError, EOFError) as error:
        trial.record.add(f"client  the ingress ended the connection: {type(error).__name__}")
    return answers


async def send_batch(ingress: Ingress, trial: Trial) -> list[str]:
    """Send the batch in two pieces, and return the requests that got no whole answer."""
    reader, writer = await asyncio.open_connection(*split(ingress.address))
    writer.write(encode("PING"))
    if await read_answer(reader) != b"+PONG\r\n":
        raise VoidTrialError("no PONG")
    ids, data = batch()
    if trial.has_trouble:
        assert ingress.process is not None
        ingress.process.send_signal(signal.SIGTERM)
        trial.record.add("SIGTERM")
    await asyncio.sleep(FIRST_PIECE_S)
    writer.write(data[:FIRST_PIECE_BYTES])
    trial.record.add(f"request {ids[0]}: its first {FIRST_PIECE_BYTES} bytes are sent")
    await asyncio.sleep(REST_S - FIRST_PIECE_S)
    writer.write(data[FIRST_PIECE_BYTES:])
    trial.record.add(f"request {ids[0]} to {ids[-1]}: the other bytes are sent, in one write")
    answers = await read_answers(reader, trial)
    writer.close()
    return ids[len(answers) :]


async def scenario(trial: Trial) -> list[str]:
    """Play the case."""
    backends = await trial.backends(BACKENDS, WORK_S)
    discovery = await trial.discovery(backends)
    ingress = trial.ingress("n0")
    ingress.configure(settings(1), 0, discovery)
    trial.start(ingress)
    await ingress.wait_until_ready()
    lost = await send_batch(ingress, trial)
    return [
        f"request {wire_id} was written whole to an open connection and got no answer"
        for wire_id in lost
    ]


sys.exit(play(CASE, scenario))
