"""Small HTTP server for readiness, reports, metrics and other nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.web.resource import Resource
from twisted.web.server import Site

from bramleydyke.endpoints import parse_endpoint

MAX_BODY_BYTES = 65_536
"""Largest body that is read; reports have a few hundred bytes."""

IDLE_CONNECTION_S = 30
"""Time after which a connection without requests is closed."""


class HttpReply(NamedTuple):
    """Answer to a request."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[str, str, bytes], HttpReply]
"""Answers a method, path and body."""


class _Root(Resource):
    isLeaf = True  # noqa: N815 - name given by twisted

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler

    def render(self, request: Any) -> bytes:
        """Answers a request through the handler."""
        body = request.content.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            reply = HttpReply(413)
        else:
            path = request.path.decode("ascii", "replace")
            reply = self.handler(request.method.decode("ascii"), path, body)
        request.setResponseCode(reply.status)
        request.setHeader("Content-Type", reply.content_type)
        return reply.body


def listen_http(reactor: Any, endpoint: str, handler: Handler) -> Any:
    """Listens for HTTP requests at ``ip:port``; returns twisted's port."""
    address = parse_endpoint(endpoint)
    assert address is not None, endpoint
    site = Site(_Root(handler), timeout=IDLE_CONNECTION_S)
    site.noisy = False
    site.log = lambda _: None
    site.displayTracebacks = False
    return reactor.listenTCP(address[1], site, interface=address[0])
