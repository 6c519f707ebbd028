"""Bounded bodies of HTTP answers, and the agent that asks for them."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

CONNECT_TIMEOUT_S = 2.0
"""Wait for a TCP connection."""


class BodyTooLargeError(Exception):
    """The body of an answer is over its bound."""


class _Collector(Protocol):
    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.done: Deferred[bytes] = Deferred(lambda _: self._abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.size += len(data)
        if self.size > self.limit:
            self._end(Failure(BodyTooLargeError()))
            self._abort()
            return
        self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        # Answers without a length end with the connection (HTTP/1.0).
        whole = reason.check(ResponseDone, PotentialDataLoss)
        self._end(b"".join(self.parts) if whole else reason)

    def _end(self, result: bytes | Failure) -> None:
        if not self.done.called:
            self.done.callback(result)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()


def read_body(response: Any, *, limit: int) -> Deferred[bytes]:
    """Returns an answer's body, or fails if it is over ``limit`` bytes."""
    collector = _Collector(limit)
    response.deliverBody(collector)
    return collector.done


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to addresses only.

    The default looks each host up in a thread, addresses as well; such a
    thread cannot be cancelled and keeps the process from ending.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(
            self.reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S
        )


def new_agent(reactor: Any) -> Agent:
    """Returns an HTTP client that uses a new connection for each request.

    A reused connection may be closed by the server at any time; a request
    that was being sent then has an unknown outcome. A new connection either
    cannot be made, and the request was not sent, or is known to be open.
    """
    pool = HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(reactor, _AddressEndpoints(reactor), pool=pool)


def not_sent(failure: Failure) -> bool:
    """Tells whether a request failed before any byte of it was sent."""
    return failure.check(ConnectError) is not None
