"""HTTP calls to the store and to other nodes, each with its own timeout."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from bramleydyke.ports import Clock

CONNECT_TIMEOUT_S = 1.0
"""Wait for a connection; a VM that is cut off never answers."""

IDLE_CONNECTION_S = 8.0
"""Time for which an unused connection is kept."""

Done = Callable[[int | None, bytes], None]
"""Takes the status and body; the status is None if no whole answer came."""


class HttpCalls:
    """HTTP client that keeps connections.

    Attributes:
        content_type: Sent with each body.
    """

    def __init__(
        self, *, reactor: Any, clock: Clock, content_type: str, connections: int = 4
    ) -> None:
        self.clock = clock
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = connections
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.pool = pool
        self.agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        self.headers = Headers({"Content-Type": [content_type]})

    def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        done: Done,
        body: bytes | None = None,
    ) -> None:
        """Makes a call; ``done`` is called once.

        A connection whose answer is overdue may have gone silent, so it is
        closed.
        """
        producer = None if body is None else FileBodyProducer(BytesIO(body))
        headers = self.headers if body is not None else None
        request = self.agent.request(method.encode(), url.encode(), headers, producer)
        status: list[int] = []

        def read(response: Any) -> Deferred[bytes]:
            status.append(response.code)
            return readBody(response)

        def finish(result: Any) -> None:
            if timer.active():
                timer.cancel()
            if isinstance(result, bytes):
                done(status[0], result)
            else:
                done(None, b"")

        request.addCallback(read)
        timer = self.clock.callLater(timeout_s, request.cancel)
        request.addBoth(finish)

    def close(self) -> Any:
        """Closes the kept connections."""
        return self.pool.closeCachedConnections()
