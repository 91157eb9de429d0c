"""Requests a seat's status from an ingress three times, and then checks one seat out.

python example/ask.py [127.0.0.1:6380]
"""

from __future__ import annotations

import secrets
import socket
import sys

import hiredis


def send_command(sock: socket.socket, *args: str) -> object:
    """Send a command and return the answer."""
    parts = [f"${len(arg)}\r\n{arg}\r\n" for arg in args]
    sock.sendall(f"*{len(args)}\r\n{''.join(parts)}".encode())
    reader = hiredis.Reader(encoding="utf-8")
    while (answer := reader.gets()) is False:
        data = sock.recv(65536)
        if not data:
            raise ConnectionError("the ingress closed the connection")
        reader.feed(data)
    return answer


def main() -> None:
    """Send the requests, and print each answer."""
    host, port = (sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:6380").rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        print("PING:", send_command(sock, "PING"))
        for verb, request_class in [("API.READ", "seat-status")] * 3 + [
            ("API.WRITE", "seat-checkout")
        ]:
            request_terms = f"c={request_class},t=klein,d=2000,units=1,spread=1,first=0"
            print(
                f"{request_class}:",
                send_command(sock, verb, "00000000b4d65521", secrets.token_hex(8), request_terms),
            )


if __name__ == "__main__":
    main()
