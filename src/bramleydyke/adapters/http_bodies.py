"""Twisted HTTP client whose response bodies are limited in size."""

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
"""Time limit for establishing a TCP connection."""


class BodyTooLargeError(Exception):
    """A response body is larger than the limit given to ``read_body``."""


class _BodyCollector(Protocol):
    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.done: Deferred[bytes] = Deferred(lambda _: self._abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.size += len(data)
        if self.size > self.limit:
            self._finish(Failure(BodyTooLargeError()))
            self._abort()
            return
        self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        # The body of a response without a length ends with the connection
        # (HTTP/1.0); Twisted reports that as PotentialDataLoss.
        complete = reason.check(ResponseDone, PotentialDataLoss)
        self._finish(b"".join(self.parts) if complete else reason)

    def _finish(self, result: bytes | Failure) -> None:
        if not self.done.called:
            self.done.callback(result)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()


def read_body(response: Any, *, limit: int) -> Deferred[bytes]:
    """Reads the body of a response.

    Args:
        response: Response of an agent from ``new_agent``.
        limit: Maximum size in bytes.

    Returns:
        A Deferred of the body. It fails with ``BodyTooLargeError``, or with
        the reason if the connection ends before the body is complete.
        Cancelling it aborts the connection.
    """
    collector = _BodyCollector(limit)
    response.deliverBody(collector)
    return collector.done


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Creates endpoints for IP addresses, without name resolution.

    Twisted's default resolves each host in a thread, even an IP address. Such
    a thread cannot be cancelled and delays the exit of the process.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(
            self.reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S
        )


def new_agent(reactor: Any) -> Agent:
    """Returns an HTTP client that opens a new connection for each request.

    The server may close a reused connection at any time, and a request sent
    at that moment has an unknown outcome. A new connection either cannot be
    established, so that the request was not sent, or is open when the request
    is sent.
    """
    pool = HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(reactor, _AddressEndpoints(reactor), pool=pool)


def failed_before_sending(failure: Failure) -> bool:
    """Returns whether a request failed before any byte of it was sent."""
    return failure.check(ConnectError) is not None
