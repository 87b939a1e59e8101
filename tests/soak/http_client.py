"""Requests and responses of a soak's clients on the wire."""

from __future__ import annotations

import socket
import time

from tests.soak.oracle import ClientRequest, Oracle, Outcome


def encode_request(request: ClientRequest) -> bytes:
    """Returns the bytes of a request."""
    method = "PUT" if request.class_name == "order" else "GET"
    key_field = f"X-Dedupe-Key: {request.key}\r\n" if request.key else ""
    retry_field = "X-Repeat: 1\r\n" if request.is_retry else ""
    return (
        f"{method} /api/v2/{request.class_name}/{request.name}/slice-0 HTTP/1.1\r\nHost: b\r\n"
        f"X-Call-Id: {request.id}\r\nX-Patience-Ms: {int(request.timeout_s * 1_000)}\r\nX-Set: 17\r\n"
        f"{key_field}{retry_field}\r\n"
    ).encode()


def send_request(oracle: Oracle, sock: socket.socket, request: ClientRequest, data: bytes = b"") -> bool:
    """Records a request in the oracle, then sends the request, or only `data` if `data` is not empty.

    `data` has the last bytes of a request whose other bytes the caller has already sent. Returns whether the
    request was sent; if not, the connection failed and no response is expected.
    """
    request.sent_at = time.monotonic()
    oracle.add_request(request)
    try:
        sock.sendall(data or encode_request(request))
    except OSError:
        request.outcome = Outcome.DISCONNECTED
        request.ended_at = time.monotonic()
        return False
    request.sent_at = time.monotonic()
    return True


def read_response(sock: socket.socket, request: ClientRequest) -> bool:
    """Reads a response and records it in `request`; returns whether the connection can be used again."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            data += receive(sock)
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {key.lower(): value for key, value in (line.split(": ", 1) for line in lines[1:])}
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            body += receive(sock)
    except TimeoutError:
        # The outcome stays PENDING. The oracle reports this as a violation if it expects a response.
        return False
    except OSError:
        request.ended_at = time.monotonic()
        # If part of a response has arrived, the client can tell that the response is incomplete. The oracle
        # therefore does not report that the proxy closed the connection.
        request.outcome = Outcome.COMPLETED if data else Outcome.CLOSED
        return False
    request.ended_at = time.monotonic()
    request.status = int(lines[0].split()[1])
    request.etag = headers.get("etag", "").strip('"')
    request.body = body
    request.outcome = Outcome.COMPLETED
    return headers.get("connection") != "close"


def receive(sock: socket.socket) -> bytes:
    """Returns the next bytes; raises ConnectionError at the end of the stream."""
    data = sock.recv(65_536)
    if not data:
        raise ConnectionError("closed by the proxy")
    return data
