"""A toy environment for an ingress: a few licence nodes and the discovery agent that lists them.

    python example/toy_server.py [--discovery 127.0.0.1:8500] [--nodes 3] [--work-ms 50]

The nodes listen on free loopback ports, which discovery lists.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json

import hiredis


class Node:
    """A licence node that grants every request after some work."""

    def __init__(self, number: int, work_ms: float) -> None:
        self.uid = f"toy-{number}"
        self.work_ms = work_ms
        self.inflight = 0

    async def start(self) -> str:
        """Listen on a free port, and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection until it closes."""
        parser = hiredis.Reader()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while args := parser.gets():
                    writer.write(await self.answer(args))
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, args: list[bytes]) -> bytes:
        """Return the answer to a command, with the current load of the node."""
        self.inflight += 1
        await asyncio.sleep(self.work_ms / 1000)
        self.inflight -= 1
        answer_value = b"%b says yes to %b" % (self.uid.encode(), args[2])
        load_report = b"inflight=%d,qps=1,queue=0" % self.inflight
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (
            len(answer_value),
            answer_value,
            len(load_report),
            load_report,
        )


async def serve_discovery(targets: list[dict[str, object]], address: str) -> None:
    """Serve the list of nodes at an address until cancelled."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the list once, or keep a watch open with a heartbeat every 2 s."""
        request_head = await reader.readuntil(b"\r\n\r\n")
        message = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"
        if b"watch=1" not in request_head.split(b"\r\n")[0]:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(message), message)
            )
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(message), message))
                await writer.drain()
                await asyncio.sleep(2)
                message = b"\n"  # Heartbeat: the list has not changed.
        except ConnectionError:
            writer.close()

    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(serve, host, int(port))
    print("discovery at {}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


async def main() -> None:
    """Start the nodes and the discovery agent."""
    parser = argparse.ArgumentParser(
        description="Toy licence nodes and their discovery, on loopback."
    )
    parser.add_argument("--discovery", default="127.0.0.1:8500")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=50)
    options = parser.parse_args()
    nodes = [Node(number, options.work_ms) for number in range(options.nodes)]
    targets: list[dict[str, object]] = [
        {
            "uid": node.uid,
            "endpoint": await node.start(),
            "az": "hall-a",
            "model": "type-a",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for node in nodes
    ]
    await serve_discovery(targets, options.discovery)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
