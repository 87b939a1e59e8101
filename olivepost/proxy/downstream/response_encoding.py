"""Encoding of final responses as HTTP/1.1, without I/O."""

from __future__ import annotations

from olivepost.proxy.exchange import Response, ResponseKind
from olivepost.proxy.http1.encoding import response_head
from olivepost.units import MILLISECOND


def encode_response(response: Response, closes: bool) -> list[bytes | memoryview]:
    """Encodes a final response as head and body.

    If `closes` is true, the head announces that the connection ends after the response.
    """
    headers = {"ETag": f'"{response.etag}"'} if response.etag is not None else {}
    if response.kind is ResponseKind.SERVED and response.body is not None:
        head = response_head(200, response.body.length, headers, closes)
        return [head, *response.body.parts()]
    if response.kind is ResponseKind.NOT_MODIFIED:
        return [response_head(304, None, headers, closes)]
    if response.kind is ResponseKind.REJECTED:
        if response.retry_after is not None:
            headers["X-Come-Back-Ms"] = str(max(1, response.retry_after // MILLISECOND))
        return [response_head(503, 0, headers, closes)]
    return [response_head(502, 0, headers, closes)]
